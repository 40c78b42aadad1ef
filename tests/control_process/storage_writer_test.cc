#include "control_process/storage_writer.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <optional>

#include "http/fixture.h"
#include "storage/memory_file_system.h"

namespace ferryrock::control_process {
namespace {

constexpr MemberId kMember{1};

consensus::PersistEffect writeOf(std::uint64_t sequence) {
  consensus::PersistEffect write;
  write.sequence = sequence;
  wire::LogEntry entry;
  entry.index = LogIndex(sequence);
  entry.term = Term(1);
  entry.payload = "entry " + std::to_string(sequence);
  write.entries.push_back(entry);
  return write;
}

/// A writer on a disk in memory, with what it has told.
struct WriterFixture {
  explicit WriterFixture(storage::MemoryDisk& disk) {
    auto storage = storage::createLogStorage(disk.open(), kMember);
    recovered = storage->recover();
    writer.emplace(
        loop.dispatcher(), std::move(storage),
        [this](std::uint64_t sequence) { persisted.push_back(sequence); },
        [this](const std::string& reason) { failures.push_back(reason); });
  }

  http::Loop loop;
  consensus::RecoveredState recovered;
  std::vector<std::uint64_t> persisted;
  std::vector<std::string> failures;
  std::optional<StorageWriter> writer;
};

}  // namespace

TEST_CASE("writes are acknowledged once each, in their order, and share syncs") {
  constexpr std::uint64_t kWrites = 2000;
  storage::MemoryDisk disk(1);
  std::vector<std::uint64_t> expected(kWrites);
  std::iota(expected.begin(), expected.end(), 1);
  {
    WriterFixture fixture(disk);
    const std::uint64_t syncs_before = disk.syncs();
    for (const std::uint64_t sequence : expected) {
      fixture.writer->submit(writeOf(sequence));
    }
    REQUIRE(fixture.loop.runUntil([&] { return fixture.persisted.size() == kWrites; }));
    CHECK(fixture.persisted == expected);
    CHECK(fixture.failures.empty());
    fixture.writer.reset();
    CHECK(disk.syncs() - syncs_before <= kWrites);
  }
  disk.crash();
  WriterFixture again(disk);
  CHECK(again.recovered.entries.size() == kWrites);
}

TEST_CASE("nothing is acknowledged that a crash would lose") {
  storage::MemoryDisk disk(2);
  std::size_t acknowledged = 0;
  {
    WriterFixture fixture(disk);
    for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
      fixture.writer->submit(writeOf(sequence));
      if (sequence == 25) {
        REQUIRE(fixture.loop.runUntil([&] { return !fixture.persisted.empty(); }));
      }
    }
    acknowledged = fixture.persisted.size();
    fixture.writer.reset();
  }
  disk.crash();
  WriterFixture again(disk);
  CHECK(again.recovered.entries.size() >= acknowledged);
}

struct DiskFault {
  std::string name;
  std::function<void(storage::MemoryDisk&)> cause;
  std::string says;
};

TEST_CASE("after a failed write nothing more is written or acknowledged, and the process is told once") {
  const auto fault = GENERATE(values<DiskFault>({
      {"failed sync", [](storage::MemoryDisk& disk) { disk.setSyncsFail(true); }, "SyncFailed"},
      {"full disk", [](storage::MemoryDisk& disk) { disk.setCapacity(disk.bytes() + 10); }, "DiskFull"},
  }));
  INFO(fault.name);
  storage::MemoryDisk disk(3);
  WriterFixture fixture(disk);
  fixture.writer->submit(writeOf(1));
  REQUIRE(fixture.loop.runUntil([&] { return fixture.persisted.size() == 1; }));
  fault.cause(disk);
  fixture.writer->submit(writeOf(2));
  REQUIRE(fixture.loop.runUntil([&] { return !fixture.failures.empty(); }));
  CHECK_THAT(fixture.failures.front(), Catch::Contains(fault.says));

  disk.setSyncsFail(false);
  disk.setCapacity(std::nullopt);
  fixture.writer->submit(writeOf(3));
  fixture.writer.reset();
  fixture.loop.runFor(std::chrono::milliseconds(5));
  CHECK(fixture.persisted == std::vector<std::uint64_t>{1});
  CHECK(fixture.failures.size() == 1);
}

TEST_CASE("a writer that tries again acknowledges what was refused, in order, once the disk takes it") {
  const auto fault = GENERATE(values<DiskFault>({
      {"failed sync", [](storage::MemoryDisk& disk) { disk.setSyncsFail(true); }, "SyncFailed"},
      {"full disk", [](storage::MemoryDisk& disk) { disk.setCapacity(disk.bytes() + 10); }, "DiskFull"},
  }));
  INFO(fault.name);
  storage::MemoryDisk disk(3);
  std::vector<std::uint64_t> persisted;
  std::vector<std::string> failures;
  std::size_t recoveries = 0;
  {
    http::Loop loop;
    auto storage = storage::createLogStorage(disk.open(), kMember);
    storage->recover();
    fault.cause(disk);
    StorageWriter writer(
        loop.dispatcher(), std::move(storage), [&](std::uint64_t sequence) { persisted.push_back(sequence); },
        [&](const std::string& reason) { failures.push_back(reason); }, [&] { ++recoveries; },
        std::chrono::milliseconds(20));
    writer.submit(writeOf(1));
    REQUIRE(loop.runUntil([&] { return !failures.empty(); }));
    writer.submit(writeOf(2));
    loop.runFor(std::chrono::milliseconds(100));
    CHECK(persisted.empty());
    CHECK(failures.size() == 1);
    disk.setSyncsFail(false);
    disk.setCapacity(std::nullopt);
    REQUIRE(loop.runUntil([&] { return persisted.size() == 2; }));
    CHECK(persisted == std::vector<std::uint64_t>{1, 2});
    CHECK(recoveries == 1);
  }
  disk.crash();
  CHECK(storage::createLogStorage(disk.open(), kMember)->recover().entries.size() == 2);
}

}  // namespace ferryrock::control_process
