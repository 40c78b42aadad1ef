#include "folders.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace ferryrock::storage {

void Folder::write(const std::string& path, std::string_view bytes) {
  const auto files = open();
  if (files->exists(path)) {
    files->remove(path);
  }
  files->append(path, bytes);
  files->sync(path);
  files->syncFolder();
}

PosixFolder::PosixFolder() {
  path_ = (std::filesystem::temp_directory_path() / "ferryrock-storage-XXXXXX").string();
  if (::mkdtemp(path_.data()) == nullptr) {
    throw std::runtime_error("mkdtemp failed: cannot create a temporary folder");
  }
}

PosixFolder::~PosixFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::unique_ptr<Folder> makeFolder(FolderKind kind) {
  if (kind == FolderKind::Memory) {
    return std::make_unique<MemoryFolder>();
  }
  return std::make_unique<PosixFolder>();
}

}  // namespace ferryrock::storage
