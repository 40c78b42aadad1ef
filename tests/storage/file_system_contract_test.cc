#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <functional>

#include "folders.h"
#include "storage_fixture.h"

namespace ferryrock::storage {
namespace {

struct ContractRow {
  const char* name;
  std::function<bool(FileSystem&)> holds;
};

std::vector<std::string> sortedNames(FileSystem& files) {
  std::vector<std::string> names = files.list();
  std::sort(names.begin(), names.end());
  return names;
}

const std::vector<ContractRow> kContract{
    {"an empty folder lists nothing", [](FileSystem& files) { return files.list().empty(); }},
    {"append creates the file and appends at its end",
     [](FileSystem& files) {
       files.append("a", "one");
       files.append("a", "two");
       return files.read("a") == "onetwo" && files.exists("a");
     }},
    {"an empty append creates an empty file",
     [](FileSystem& files) {
       files.append("a", "");
       return files.exists("a") && files.read("a").empty();
     }},
    {"append after truncate continues at the new end",
     [](FileSystem& files) {
       files.append("a", "abcdef");
       files.truncate("a", 2);
       files.append("a", "x");
       return files.read("a") == "abx";
     }},
    {"rename replaces the target and keeps the bytes",
     [](FileSystem& files) {
       files.append("a", "new");
       files.append("b", "old");
       files.rename("a", "b");
       files.append("b", "er");
       return sortedNames(files) == std::vector<std::string>{"b"} && files.read("b") == "newer";
     }},
    {"remove discards the contents",
     [](FileSystem& files) {
       files.append("a", "old");
       files.remove("a");
       const bool gone = !files.exists("a");
       files.append("a", "new");
       return gone && files.read("a") == "new";
     }},
    {"reading a missing file fails",
     [](FileSystem& files) { return faultOf([&files] { files.read("a"); }) == ResultCode::StorageFailed; }},
    {"removing a missing file fails",
     [](FileSystem& files) { return faultOf([&files] { files.remove("a"); }) == ResultCode::StorageFailed; }},
    {"renaming a missing file fails",
     [](FileSystem& files) {
       return faultOf([&files] { files.rename("a", "b"); }) == ResultCode::StorageFailed;
     }},
    {"all byte values are preserved",
     [](FileSystem& files) {
       std::string bytes;
       for (int value = 0; value < 256; ++value) {
         bytes += static_cast<char>(value);
       }
       files.append("a", bytes);
       files.sync("a");
       files.syncFolder();
       return files.read("a") == bytes;
     }},
};

TEST_CASE("both file systems fulfil the same contract") {
  const FolderKind kind = GENERATE(FolderKind::Memory, FolderKind::Posix);
  for (const ContractRow& row : kContract) {
    INFO(row.name << ", " << (kind == FolderKind::Memory ? "memory" : "posix"));
    const auto folder = makeFolder(kind);
    const auto files = folder->open();
    CHECK(row.holds(*files));
  }
}

TEST_CASE("a folder is locked by one file system at a time and keeps its files") {
  const auto folder = makeFolder(GENERATE(FolderKind::Memory, FolderKind::Posix));
  auto files = folder->open();
  files->append("a", "kept");
  files->sync("a");
  files->syncFolder();
  CHECK(faultOf([&folder] { folder->open(); }) == ResultCode::DataFolderLocked);
  files.reset();
  CHECK(folder->read("a") == "kept");
}

TEST_CASE("a missing data folder is created, a file in its place is rejected") {
  const PosixFolder parent;
  const std::string nested = parent.path() + "/deep/data";
  createPosixFileSystem(nested)->append("a", "x");
  CHECK(std::filesystem::exists(nested + "/a"));
  CHECK(faultOf([&nested] { createPosixFileSystem(nested + "/a"); }) == ResultCode::StorageFailed);
}

}  // namespace
}  // namespace ferryrock::storage
