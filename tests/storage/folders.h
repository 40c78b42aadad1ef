#pragma once

#include <memory>
#include <string>

#include "storage/log_storage.h"
#include "storage/memory_file_system.h"

namespace ferryrock::storage {

/// A data folder that outlives the file systems opened on it, so that the same tests run on each kind.
class Folder {
 public:
  virtual ~Folder() = default;
  virtual std::unique_ptr<FileSystem> open() = 0;
  /// Replaces the contents of a file and syncs.
  void write(const std::string& path, std::string_view bytes);
  std::string read(const std::string& path) { return open()->read(path); }
};

class MemoryFolder : public Folder {
 public:
  std::unique_ptr<FileSystem> open() override { return disk_.open(); }

 private:
  MemoryDisk disk_{1};
};

/// A new folder in the system's temporary directory; removed on destruction.
class PosixFolder : public Folder {
 public:
  PosixFolder();
  ~PosixFolder() override;
  PosixFolder(const PosixFolder&) = delete;
  PosixFolder& operator=(const PosixFolder&) = delete;
  std::unique_ptr<FileSystem> open() override { return createPosixFileSystem(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

enum class FolderKind { Memory, Posix };

std::unique_ptr<Folder> makeFolder(FolderKind kind);

}  // namespace ferryrock::storage
