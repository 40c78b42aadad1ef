#include "emulator/link/relay_buffer.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace ferryrock::emulator {
namespace {

RelayProgress failure() {
  const bool later = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return later ? RelayProgress::Blocked : RelayProgress::Broken;
}

}  // namespace

RelayProgress RelayBuffer::readFrom(int descriptor) {
  const ssize_t length = ::recv(descriptor, bytes_.data(), bytes_.size(), 0);
  if (length < 0) {
    return failure();
  }
  if (length == 0) {
    return RelayProgress::Ended;
  }
  begin_ = 0;
  end_ = static_cast<std::size_t>(length);
  return RelayProgress::Moved;
}

void RelayBuffer::fill(std::string_view bytes) {
  begin_ = 0;
  end_ = std::min(bytes.size(), bytes_.size());
  std::copy_n(bytes.begin(), end_, bytes_.begin());
}

RelayProgress RelayBuffer::writeTo(int descriptor) {
  const ssize_t length = ::send(descriptor, bytes_.data() + begin_, end_ - begin_, MSG_NOSIGNAL);
  if (length < 0) {
    return failure();
  }
  begin_ += static_cast<std::size_t>(length);
  return RelayProgress::Moved;
}

}  // namespace ferryrock::emulator
