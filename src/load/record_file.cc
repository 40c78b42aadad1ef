#include "load/record_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "common/error.h"

namespace ferryrock::load {

namespace {

constexpr int kFileMode = 0644;

}  // namespace

RecordFile::RecordFile(const std::string& file)
    : file_(file), descriptor_(::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode)) {
  if (descriptor_ < 0) {
    throw Error(ResultCode::UnreadableFile, "'" + file + "' can't be written: " + std::strerror(errno), file);
  }
}

RecordFile::~RecordFile() {
  ::close(descriptor_);
}

void RecordFile::append(const std::string& line) {
  const std::string bytes = line + "\n";
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::write(descriptor_, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno != EINTR) {
      throw Error(ResultCode::StorageFailed, "'" + file_ + "': " + std::strerror(errno), file_);
    }
    written += count > 0 ? static_cast<std::size_t>(count) : 0;
  }
}

void RecordFile::sync() {
  if (::fsync(descriptor_) != 0) {
    throw Error(ResultCode::StorageFailed, "'" + file_ + "': " + std::strerror(errno), file_);
  }
}

}  // namespace ferryrock::load
