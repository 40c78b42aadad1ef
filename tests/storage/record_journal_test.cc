#include "storage/record_journal.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "common/error.h"
#include "storage/frame.h"
#include "storage/memory_file_system.h"

namespace ferryrock::storage {
namespace {

using Records = std::vector<std::string>;

/// Opens the journal anew, as a process that starts does; returns the records that it finds.
Records recovered(MemoryDisk& disk) {
  return RecordJournal(disk.open()).recover();
}

TEST_CASE("Appended records survive a crash of the process and a power loss") {
  const std::uint64_t seed = GENERATE(range(1, 20));
  MemoryDisk disk(seed);
  {
    RecordJournal journal(disk.open());
    CHECK(journal.recover().empty());
    journal.append("a");
    journal.append("b");
  }
  CHECK(recovered(disk) == Records{"a", "b"});
  disk.crash();
  CHECK(recovered(disk) == Records{"a", "b"});
}

TEST_CASE("Records are removed once two periods have begun after them") {
  MemoryDisk disk(1);
  {
    RecordJournal journal(disk.open());
    journal.recover();
    journal.append("a");
    journal.rotate();
    journal.append("b");
  }
  {
    RecordJournal journal(disk.open());
    CHECK(journal.recover() == Records{"a", "b"});
    journal.append("c");
    journal.rotate();
  }
  CHECK(recovered(disk) == Records{"c"});
  {
    RecordJournal journal(disk.open());
    journal.recover();
    journal.rotate();
  }
  CHECK(recovered(disk).empty());
}

TEST_CASE("A record that a full disk cut off makes no other record unreadable") {
  MemoryDisk disk(1);
  {
    RecordJournal journal(disk.open());
    journal.recover();
    journal.append("a");
    disk.setCapacity(disk.bytes() + 10);
    CHECK_THROWS_AS(journal.append("lost"), Error);
    CHECK_THROWS_AS(journal.append("lost too"), Error);
    disk.setCapacity(std::nullopt);
    journal.append("b");
  }
  CHECK(recovered(disk) == Records{"a", "b"});
}

TEST_CASE("A damaged record leaves the records of other files readable") {
  MemoryDisk disk(1);
  {
    RecordJournal journal(disk.open());
    journal.recover();
    journal.append("a");
    journal.rotate();
    journal.append("b");
  }
  disk.damage("records-1", kFrameHeaderBytes);
  CHECK(recovered(disk) == Records{"b"});
}

}  // namespace
}  // namespace ferryrock::storage
