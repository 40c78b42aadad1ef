#include "control_process/journal_writer.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http/fixture.h"
#include "storage/memory_file_system.h"

namespace ferryrock::control_process {
namespace {

using Records = std::vector<std::string>;

/// A writer on a disk in memory, with the failures that it reported.
struct JournalFixture {
  explicit JournalFixture(storage::MemoryDisk& disk) {
    auto journal = std::make_unique<storage::RecordJournal>(disk.open());
    recovered = journal->recover();
    writer.emplace(loop.dispatcher(), std::move(journal),
                   [this](const std::string& reason) { failures.push_back(reason); });
  }

  http::Loop loop;
  Records recovered;
  Records failures;
  std::optional<JournalWriter> writer;
};

TEST_CASE("a journal writer writes what is queued before it ends, in order") {
  storage::MemoryDisk disk(1);
  {
    JournalFixture fixture(disk);
    fixture.writer->append("a");
    fixture.writer->rotate();
    fixture.writer->append("b");
    fixture.writer->append("c");
  }
  disk.crash();
  CHECK(JournalFixture(disk).recovered == Records{"a", "b", "c"});
}

TEST_CASE("a journal writer reports a record that it can't write and goes on with the next") {
  storage::MemoryDisk disk(1);
  {
    JournalFixture fixture(disk);
    disk.setCapacity(0);
    fixture.writer->append("lost");
    REQUIRE(fixture.loop.runUntil([&] { return !fixture.failures.empty(); }));
    disk.setCapacity(std::nullopt);
    fixture.writer->append("kept");
  }
  CHECK(JournalFixture(disk).recovered == Records{"kept"});
}

}  // namespace
}  // namespace ferryrock::control_process
