#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

#include "folders.h"
#include "storage/frame.h"
#include "storage/log_records.h"
#include "storage_fixture.h"

namespace ferryrock::storage {
namespace {

/// Writes two segments and a snapshot: hard state, entries 1..6, a snapshot up to entry 4, entries 7 and 8.
void writeSampleLog(Folder& folder) {
  WriteBuilder make;
  const auto storage = createLogStorage(folder.open(), kMember, kSmallSegment);
  storage->recover();
  storage->persist({make.hardState(2, 1)});
  storage->persist({make.entries(1, 6)});
  storage->persist({make.snapshot(4)});
  storage->persist({make.entries(7, 7)});
  storage->persist({make.entries(8, 8)});
}

constexpr const char* kAll = "term 2 vote 1 snapshot 4 5/1 6/1 7/1 8/1";
constexpr const char* kWithoutLast = "term 2 vote 1 snapshot 4 5/1 6/1 7/1";

/// Writes entries 9 to 11, each to a separate segment.
void writeOneEntryPerSegment(Folder& folder) {
  WriteBuilder make;
  const auto storage = createLogStorage(folder.open(), kMember, 1);
  storage->recover();
  for (std::uint64_t index = 9; index <= 11; ++index) {
    storage->persist({make.entries(index, index)});
  }
}

std::string flipped(std::string bytes, std::size_t position) {
  bytes.at(position) = static_cast<char>(bytes.at(position) ^ 0x10);
  return bytes;
}

FrameScan scanOf(const std::string& bytes) {
  return scanFrames(bytes);
}

struct FaultRow {
  const char* name;
  std::function<void(Folder&)> damage;
  ResultCode fault;          ///< thrown by recover(); Ok: none
  const char* recovered;     ///< expected state if fault is Ok
  const char* message = "";  ///< expected part of the error message
};

const std::vector<FaultRow> kFaults{
    {"none", [](Folder&) {}, ResultCode::Ok, kAll},
    {"torn tail: the last frame's end is missing",
     [](Folder& folder) {
       const std::string bytes = folder.read(segmentName(2));
       folder.write(segmentName(2), bytes.substr(0, bytes.size() - 1));
     },
     ResultCode::Ok, kWithoutLast},
    {"torn tail: the last frame is damaged",
     [](Folder& folder) {
       const std::string bytes = folder.read(segmentName(2));
       folder.write(segmentName(2), flipped(bytes, bytes.size() - 1));
     },
     ResultCode::Ok, kWithoutLast},
    {"torn tail: zeros after the last frame",
     [](Folder& folder) {
       folder.write(segmentName(2), folder.read(segmentName(2)) + std::string(100, '\0'));
     },
     ResultCode::Ok, kAll},
    {"torn tail: a next segment without a complete header",
     [](Folder& folder) { folder.write(segmentName(3), "FRF1"); }, ResultCode::Ok, kAll},
    {"a byte of an earlier frame flipped",
     [](Folder& folder) {
       const std::string bytes = folder.read(segmentName(2));
       folder.write(segmentName(2), flipped(bytes, scanOf(bytes).frames.at(1).offset + kFrameHeaderBytes));
     },
     ResultCode::CorruptRecord, "", "followed by a valid one"},
    {"the size of an earlier frame flipped",
     [](Folder& folder) {
       const std::string bytes = folder.read(segmentName(2));
       folder.write(segmentName(2), flipped(bytes, scanOf(bytes).frames.at(1).offset + 4));
     },
     ResultCode::CorruptRecord, "", "followed by a valid one"},
    {"the last frame of an earlier segment is missing",
     [](Folder& folder) {
       const std::string bytes = folder.read(segmentName(1));
       folder.write(segmentName(1), bytes.substr(0, bytes.size() - 1));
     },
     ResultCode::CorruptRecord, "", "followed by another segment"},
    {"a frame in the middle is missing",
     [](Folder& folder) {
       const std::string bytes = folder.read(segmentName(2));
       const FrameScan scan = scanOf(bytes);
       const std::string rest = bytes.substr(scan.frames.at(2).offset);
       folder.write(segmentName(2), bytes.substr(0, scan.frames.at(1).offset) + rest);
     },
     ResultCode::CorruptRecord, "", "follows record"},
    {"a segment in the middle is missing",
     [](Folder& folder) {
       writeOneEntryPerSegment(folder);
       folder.open()->remove(segmentName(3));
     },
     ResultCode::CorruptRecord, "", "follows record"},
    {"the snapshot is damaged",
     [](Folder& folder) {
       const std::string name = snapshotName(LogIndex{4});
       folder.write(name, flipped(folder.read(name), 60));
     },
     ResultCode::CorruptRecord, "", "checksum does not match"},
    {"the snapshot is missing", [](Folder& folder) { folder.open()->remove(snapshotName(LogIndex{4})); },
     ResultCode::CorruptRecord, "", "snapshot"},
    {"the snapshot has the name of another one",
     [](Folder& folder) { folder.open()->rename(snapshotName(LogIndex{4}), snapshotName(LogIndex{5})); },
     ResultCode::CorruptRecord, "", "another index"},
    {"a snapshot is half written",
     [](Folder& folder) { folder.write(temporaryName(snapshotName(LogIndex{6})), "half"); }, ResultCode::Ok,
     kAll},
    {"a segment has the name of another one",
     [](Folder& folder) { folder.open()->rename(segmentName(2), segmentName(4)); }, ResultCode::CorruptRecord,
     "", "another segment"},
    {"a segment's name has no number", [](Folder& folder) { folder.write("segment-x", "x"); },
     ResultCode::CorruptRecord, "", "name"},
    {"an unrelated file is ignored", [](Folder& folder) { folder.write("notes", "x"); }, ResultCode::Ok,
     kAll},
    {"a segment without a header",
     [](Folder& folder) {
       const std::uint64_t next_frame = scanOf(folder.read(segmentName(2))).frames.back().number + 1;
       folder.write(segmentName(3), encodeFrame(next_frame, encodeRecords({entryOf(9, 1)})));
     },
     ResultCode::CorruptRecord, "", "begin with its header"},
    {"a valid frame without decodable records",
     [](Folder& folder) {
       const std::uint64_t next_frame = scanOf(folder.read(segmentName(2))).frames.back().number + 1;
       folder.write(segmentName(3), encodeFrame(next_frame, "x"));
     },
     ResultCode::CorruptRecord, "", "cannot be decoded"},
    {"an unsupported format",
     [](Folder& folder) {
       const Records header{SegmentHeader{kStorageFormat + 1, kMember, 3}};
       const std::uint64_t next_frame = scanOf(folder.read(segmentName(2))).frames.back().number + 1;
       folder.write(segmentName(3), encodeFrame(next_frame, encodeRecords(header)));
     },
     ResultCode::WrongDataFolder, "", "format"},
};

std::string messageOf(const std::function<void()>& action) {
  try {
    action();
  } catch (const Error& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("recovery truncates a torn tail and rejects any other damage") {
  const FolderKind kind = GENERATE(FolderKind::Memory, FolderKind::Posix);
  for (const FaultRow& row : kFaults) {
    INFO(row.name << ", " << (kind == FolderKind::Memory ? "memory" : "posix"));
    const auto folder = makeFolder(kind);
    writeSampleLog(*folder);
    row.damage(*folder);
    consensus::RecoveredState recovered;
    const auto recover = [&] { recovered = recoverFrom(folder->open()); };
    const std::string message = messageOf(recover);
    CHECK_THAT(message, Catch::Contains(row.message));
    CHECK(faultOf(recover) == row.fault);
    if (row.fault == ResultCode::Ok) {
      CHECK(describe(recovered) == row.recovered);
    }
  }
}

TEST_CASE("the folder of another member is rejected") {
  const auto folder = makeFolder(GENERATE(FolderKind::Memory, FolderKind::Posix));
  writeSampleLog(*folder);
  const auto recover = [&] { createLogStorage(folder->open(), MemberId{8})->recover(); };
  CHECK(faultOf(recover) == ResultCode::WrongDataFolder);
  CHECK_THAT(messageOf(recover), Catch::Contains("member 7") && Catch::Contains("member 8"));
}

TEST_CASE("a flipped bit before the last frame is rejected, not skipped as a torn tail") {
  MemoryFolder folder;
  writeSampleLog(folder);
  const std::string bytes = folder.read(segmentName(2));
  const std::size_t last_frame = scanOf(bytes).frames.back().offset;
  for (std::size_t position = 0; position < last_frame; ++position) {
    INFO("byte " << position);
    folder.write(segmentName(2), flipped(bytes, position));
    CHECK(faultOf([&] { recoverFrom(folder.open()); }) == ResultCode::CorruptRecord);
  }
}

TEST_CASE("a last frame truncated at any byte is dropped at recovery") {
  MemoryFolder folder;
  writeSampleLog(folder);
  const std::string bytes = folder.read(segmentName(2));
  for (std::size_t size = scanOf(bytes).frames.back().offset; size < bytes.size(); ++size) {
    folder.write(segmentName(2), bytes.substr(0, size));
    CHECK(describe(recoverFrom(folder.open())) == kWithoutLast);
  }
}

struct WriteFaultRow {
  const char* name;
  std::function<void(MemoryDisk&)> inject_fault;
  ResultCode fault;
};

TEST_CASE("a failed write blocks further writes and keeps the synced data") {
  const std::vector<WriteFaultRow> rows{
      {"disk full", [](MemoryDisk& disk) { disk.setCapacity(disk.bytes() + 10); }, ResultCode::DiskFull},
      {"failed sync", [](MemoryDisk& disk) { disk.setSyncsFail(true); }, ResultCode::SyncFailed},
  };
  for (const WriteFaultRow& row : rows) {
    INFO(row.name);
    MemoryDisk disk(1);
    WriteBuilder make;
    {
      const auto storage = createLogStorage(disk.open(), kMember, kSmallSegment);
      storage->recover();
      storage->persist({make.entries(1, 2)});
      row.inject_fault(disk);
      CHECK(faultOf([&] { storage->persist({make.entries(3, 3)}); }) == row.fault);
      disk.setCapacity(std::nullopt);
      disk.setSyncsFail(false);
      CHECK(faultOf([&] { storage->persist({make.entries(3, 3)}); }) == ResultCode::StorageFailed);
    }
    disk.crash();
    const std::string recovered = describe(recoverFrom(disk.open()));
    const bool kept = recovered == "term 0 vote 0 1/1 2/1" || recovered == "term 0 vote 0 1/1 2/1 3/1";
    CHECK(kept);
  }
}

TEST_CASE("writes before recovery are rejected") {
  MemoryDisk disk(1);
  WriteBuilder make;
  const auto storage = createLogStorage(disk.open(), kMember, kSmallSegment);
  CHECK(faultOf([&] { storage->persist({make.entries(1, 1)}); }) == ResultCode::StorageFailed);
  CHECK(disk.bytes() == 0);
}

TEST_CASE("a group commit needs one sync, and snapshots bound the size of the folder") {
  MemoryDisk disk(1);
  WriteBuilder make;
  const auto storage = createLogStorage(disk.open(), kMember, kDefaultSegmentBytes);
  storage->recover();
  const std::uint64_t before = disk.syncs();
  storage->persist({make.hardState(1), make.entries(1, 50), make.entries(51, 100)});
  CHECK(disk.syncs() == before + 1);
  std::uint64_t largest = 0;
  for (std::uint64_t last = 200; last <= 5000; last += 100) {
    storage->persist({make.entries(last - 99, last), make.snapshot(last - 50)});
    largest = std::max(largest, disk.bytes());
  }
  constexpr std::uint64_t kThreeRounds = 3ULL * 100 * 64;
  CHECK(largest < kThreeRounds);
}

}  // namespace
}  // namespace ferryrock::storage
