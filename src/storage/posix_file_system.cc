#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <map>
#include <system_error>
#include <utility>

#include "common/error.h"
#include "storage/log_storage.h"

namespace ferryrock::storage {
namespace {

constexpr const char* kLockName = "lock";
constexpr mode_t kFileMode = 0640;

/// Owns a file descriptor and closes it on destruction.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int descriptor) : descriptor_(descriptor) {}
  ~Descriptor() { reset(); }
  Descriptor(Descriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, kClosed)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    if (this != &other) {
      reset();
      descriptor_ = std::exchange(other.descriptor_, kClosed);
    }
    return *this;
  }
  int get() const { return descriptor_; }

 private:
  static constexpr int kClosed = -1;
  void reset() {
    if (descriptor_ != kClosed) {
      ::close(descriptor_);
    }
  }
  int descriptor_ = kClosed;
};

[[noreturn]] void fail(ResultCode code, const std::string& operation, const std::string& path, int number) {
  const bool full = number == ENOSPC || number == EDQUOT;
  throw Error(full ? ResultCode::DiskFull : code,
              operation + " failed: " + std::generic_category().message(number), path);
}

class PosixFileSystem : public FileSystem {
 public:
  explicit PosixFileSystem(const std::string& data_folder) : root_(data_folder) {
    std::error_code fault;
    const bool created = std::filesystem::create_directories(root_, fault);
    if (fault) {
      fail(ResultCode::StorageFailed, "creating the data folder", root_.string(), fault.value());
    }
    folder_ = openFile(root_, O_RDONLY | O_DIRECTORY);
    if (created) {
      const std::filesystem::path parent = std::filesystem::absolute(root_).lexically_normal().parent_path();
      syncDescriptor(openFile(parent, O_RDONLY | O_DIRECTORY), parent);
    }
    lock_ = openFile(root_ / kLockName, O_RDWR | O_CREAT);
    if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0) {
      throw Error(ResultCode::DataFolderLocked, "another process uses the data folder", root_.string());
    }
  }

  std::vector<std::string> list() override {
    std::vector<std::string> names;
    std::error_code fault;
    for (const auto& entry : std::filesystem::directory_iterator(root_, fault)) {
      const std::string name = entry.path().filename().string();
      if (name != kLockName && entry.is_regular_file()) {
        names.push_back(name);
      }
    }
    if (fault) {
      fail(ResultCode::StorageFailed, "listing the data folder", root_.string(), fault.value());
    }
    return names;
  }

  bool exists(const std::string& path) override { return std::filesystem::exists(root_ / path); }

  std::string read(const std::string& path) override {
    const Descriptor file = openFile(root_ / path, O_RDONLY);
    struct stat status {};
    if (::fstat(file.get(), &status) != 0) {
      fail(ResultCode::StorageFailed, "reading the size", fullName(path), errno);
    }
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t bytes_read = 0;
    while (bytes_read < bytes.size()) {
      const ssize_t count = ::read(file.get(), bytes.data() + bytes_read, bytes.size() - bytes_read);
      if (count < 0 && errno != EINTR) {
        fail(ResultCode::StorageFailed, "reading", fullName(path), errno);
      }
      if (count == 0) {
        break;
      }
      bytes_read += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    bytes.resize(bytes_read);
    return bytes;
  }

  void append(const std::string& path, std::string_view bytes) override {
    const int file = writable(path);
    while (!bytes.empty()) {
      const ssize_t count = ::write(file, bytes.data(), bytes.size());
      if (count < 0 && errno != EINTR) {
        fail(ResultCode::StorageFailed, "writing", fullName(path), errno);
      }
      bytes.remove_prefix(count > 0 ? static_cast<std::size_t>(count) : 0);
    }
  }

  void truncate(const std::string& path, std::uint64_t size) override {
    if (::ftruncate(writable(path), static_cast<off_t>(size)) != 0) {
      fail(ResultCode::StorageFailed, "truncating", fullName(path), errno);
    }
  }

  void sync(const std::string& path) override {
    if (::fdatasync(writable(path)) != 0) {
      fail(ResultCode::SyncFailed, "syncing", fullName(path), errno);
    }
  }

  void rename(const std::string& from, const std::string& to) override {
    open_files_.erase(from);
    open_files_.erase(to);
    if (::rename((root_ / from).c_str(), (root_ / to).c_str()) != 0) {
      fail(ResultCode::StorageFailed, "renaming", fullName(from), errno);
    }
  }

  void remove(const std::string& path) override {
    open_files_.erase(path);
    if (::unlink((root_ / path).c_str()) != 0) {
      fail(ResultCode::StorageFailed, "removing", fullName(path), errno);
    }
  }

  void syncFolder() override { syncDescriptor(folder_, root_); }

 private:
  static Descriptor openFile(const std::filesystem::path& path, int flags) {
    const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
    if (descriptor < 0) {
      fail(ResultCode::StorageFailed, "opening", path.string(), errno);
    }
    return Descriptor(descriptor);
  }

  static void syncDescriptor(const Descriptor& descriptor, const std::filesystem::path& path) {
    if (::fsync(descriptor.get()) != 0) {
      fail(ResultCode::SyncFailed, "syncing", path.string(), errno);
    }
  }

  /// Opens the file for appending on first use and keeps it open, so that a failed write-back is reported to
  /// the descriptor that wrote.
  int writable(const std::string& path) {
    auto found = open_files_.find(path);
    if (found == open_files_.end()) {
      found = open_files_.emplace(path, openFile(root_ / path, O_RDWR | O_CREAT | O_APPEND)).first;
    }
    return found->second.get();
  }

  std::string fullName(const std::string& path) const { return (root_ / path).string(); }

  std::filesystem::path root_;
  Descriptor folder_;
  Descriptor lock_;
  std::map<std::string, Descriptor> open_files_;
};

}  // namespace

std::unique_ptr<FileSystem> createPosixFileSystem(const std::string& data_folder) {
  return std::make_unique<PosixFileSystem>(data_folder);
}

}  // namespace ferryrock::storage
