#include <catch2/catch.hpp>

#include "storage/log_records.h"
#include "storage_fixture.h"

namespace ferryrock::storage {
namespace {

/// The kind of sync that a defective file system omits.
enum class SkippedSync { None, SegmentSync, SnapshotSync, FolderSync };

/// Forwards all operations except the syncs of one kind.
class SyncSkippingFileSystem : public FileSystem {
 public:
  SyncSkippingFileSystem(std::unique_ptr<FileSystem> files, SkippedSync skipped)
      : files_(std::move(files)), skipped_(skipped) {}

  std::vector<std::string> list() override { return files_->list(); }
  bool exists(const std::string& path) override { return files_->exists(path); }
  std::string read(const std::string& path) override { return files_->read(path); }
  void append(const std::string& path, std::string_view bytes) override { files_->append(path, bytes); }
  void truncate(const std::string& path, std::uint64_t size) override { files_->truncate(path, size); }
  void rename(const std::string& from, const std::string& to) override { files_->rename(from, to); }
  void remove(const std::string& path) override { files_->remove(path); }
  void sync(const std::string& path) override {
    const SkippedSync kind = isTemporaryName(path) ? SkippedSync::SnapshotSync : SkippedSync::SegmentSync;
    if (kind != skipped_) {
      files_->sync(path);
    }
  }
  void syncFolder() override {
    if (skipped_ != SkippedSync::FolderSync) {
      files_->syncFolder();
    }
  }

 private:
  std::unique_ptr<FileSystem> files_;
  SkippedSync skipped_;
};

/// True if everything that was written is recovered after a crash; false if data is lost or recovery fails.
bool survivesCrash(SkippedSync skipped, std::uint64_t seed) {
  MemoryDisk disk(seed);
  WriteBuilder make;
  {
    auto files = std::make_unique<SyncSkippingFileSystem>(disk.open(), skipped);
    const auto storage = createLogStorage(std::move(files), kMember, kSmallSegment);
    storage->recover();
    storage->persist({make.hardState(2, 1)});
    storage->persist({make.entries(1, 6)});
    storage->persist({make.snapshot(4)});
    storage->persist({make.entries(7, 7)});
  }
  disk.crash();
  std::string recovered;
  const ResultCode fault = faultOf([&] { recovered = describe(recoverFrom(disk.open())); });
  return fault == ResultCode::Ok && recovered == "term 2 vote 1 snapshot 4 5/1 6/1 7/1";
}

TEST_CASE("each kind of sync is needed: without it a crash loses acknowledged writes") {
  constexpr std::uint64_t kSeeds = 50;
  for (const SkippedSync skipped :
       {SkippedSync::None, SkippedSync::SegmentSync, SkippedSync::SnapshotSync, SkippedSync::FolderSync}) {
    std::uint64_t lost = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      lost += survivesCrash(skipped, seed) ? 0 : 1;
    }
    INFO("skipped " << static_cast<int>(skipped) << ", lost " << lost);
    CHECK((lost > 0) == (skipped != SkippedSync::None));
  }
}

}  // namespace
}  // namespace ferryrock::storage
