#include "common/bounded_output.h"

#include <poll.h>
#include <unistd.h>

#include <utility>

namespace ferryrock {
namespace {

/// Upper bound of one write: a pipe that polls as writable accepts PIPE_BUF (4,096) bytes without blocking.
constexpr std::size_t kMaxWriteBytes = 4096;
constexpr std::size_t kMaxLineBytes = 4000;

bool acceptsBytes(int descriptor) {
  pollfd state{descriptor, POLLOUT, 0};
  return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

}  // namespace

void BoundedOutput::add(std::string line) {
  const std::scoped_lock lock(mutex_);
  addLocked(std::move(line));
  flushLocked();
}

void BoundedOutput::addLocked(std::string line) {
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes);
  }
  if (bytes_ + line.size() + 1 > max_bytes_) {
    ++dropped_;
    ++unreported_drops_;
    return;
  }
  line += '\n';
  bytes_ += line.size();
  lines_.push_back(std::move(line));
}

void BoundedOutput::flush() {
  const std::scoped_lock lock(mutex_);
  flushLocked();
}

std::uint64_t BoundedOutput::dropped() const {
  const std::scoped_lock lock(mutex_);
  return dropped_;
}

void BoundedOutput::flushLocked() {
  while (!lines_.empty() && acceptsBytes(descriptor_)) {
    std::string batch;
    while (!lines_.empty() && batch.size() + lines_.front().size() <= kMaxWriteBytes) {
      batch += lines_.front();
      bytes_ -= lines_.front().size();
      lines_.pop_front();
    }
    const ssize_t written = ::write(descriptor_, batch.data(), batch.size());
    if (written < 0 || static_cast<std::size_t>(written) < batch.size()) {
      const std::size_t done = written < 0 ? 0 : static_cast<std::size_t>(written);
      std::string rest = batch.substr(done);
      bytes_ += rest.size();
      lines_.push_front(std::move(rest));
      return;
    }
  }
  if (lines_.empty() && unreported_drops_ > 0) {
    addLocked(R"({"level":"warning","part":"log","event":"log.dropped","lines":)" +
              std::to_string(std::exchange(unreported_drops_, 0)) + "}");
  }
}

}  // namespace ferryrock
