#include <algorithm>
#include <catch2/catch.hpp>

#include "storage_fixture.h"

namespace ferryrock::storage {
namespace {

using Writes = std::vector<consensus::PersistEffect>;

struct CrashRow {
  const char* name;
  std::vector<Writes> before;  ///< synced
  Writes interrupted;          ///< the crash is injected at each file operation of this write in turn
  std::vector<std::string> valid_states;  ///< valid recovered states: none to all of `interrupted`
  Writes after;                           ///< written after recovery if the last valid state was recovered
  std::string recovered_after;            ///< state recovered after `after` was written
};

std::vector<CrashRow> crashRows() {
  WriteBuilder make;
  return {
      {"first hard state",
       {},
       {make.hardState(1, 2)},
       {"term 0 vote 0", "term 1 vote 2"},
       {make.entries(1, 1)},
       "term 1 vote 2 1/1"},
      {"one group commit is all or nothing",
       {{make.hardState(1)}, {make.entries(1, 2)}},
       {make.hardState(2, 1), make.entries(3, 4, 2)},
       {"term 1 vote 0 1/1 2/1", "term 2 vote 1 1/1 2/1 3/2 4/2"},
       {make.entries(5, 5, 2)},
       "term 2 vote 1 1/1 2/1 3/2 4/2 5/2"},
      {"conflicting entries replaced",
       {{make.hardState(1)}, {make.entries(1, 4)}},
       {make.replacement(3, 3, 2)},
       {"term 1 vote 0 1/1 2/1 3/1 4/1", "term 1 vote 0 1/1 2/1 3/2"},
       {make.entries(4, 4, 2)},
       "term 1 vote 0 1/1 2/1 3/2 4/2"},
      {"segment rollover",
       {{make.hardState(3, 2)}, {make.entries(1, 10)}},
       {make.entries(11, 20)},
       {"term 3 vote 2 1/1 2/1 3/1 4/1 5/1 6/1 7/1 8/1 9/1 10/1",
        "term 3 vote 2 1/1 2/1 3/1 4/1 5/1 6/1 7/1 8/1 9/1 10/1 11/1 12/1 13/1 14/1 15/1 16/1 17/1 18/1 "
        "19/1 20/1"},
       {make.entries(21, 21)},
       "term 3 vote 2 1/1 2/1 3/1 4/1 5/1 6/1 7/1 8/1 9/1 10/1 11/1 12/1 13/1 14/1 15/1 16/1 17/1 18/1 "
       "19/1 20/1 21/1"},
      {"own snapshot",
       {{make.hardState(2, 1)}, {make.entries(1, 6)}},
       {make.snapshot(4)},
       {"term 2 vote 1 1/1 2/1 3/1 4/1 5/1 6/1", "term 2 vote 1 snapshot 4 5/1 6/1"},
       {make.entries(7, 7)},
       "term 2 vote 1 snapshot 4 5/1 6/1 7/1"},
      {"later snapshot replaces an earlier one",
       {{make.hardState(2, 1)}, {make.entries(1, 6)}, {make.snapshot(2)}},
       {make.snapshot(5)},
       {"term 2 vote 1 snapshot 2 3/1 4/1 5/1 6/1", "term 2 vote 1 snapshot 5 6/1"},
       {make.entries(7, 7)},
       "term 2 vote 1 snapshot 5 6/1 7/1"},
      {"snapshot from the leader past the end of the log",
       {{make.hardState(2, 1)}, {make.entries(1, 3)}},
       {make.snapshot(9, 2)},
       {"term 2 vote 1 1/1 2/1 3/1", "term 2 vote 1 snapshot 9"},
       {make.entries(10, 10, 2)},
       "term 2 vote 1 snapshot 9 10/2"},
      {"snapshot from the leader that conflicts with the log",
       {{make.hardState(2, 1)}, {make.entries(1, 8)}},
       {make.snapshot(6, 2)},
       {"term 2 vote 1 1/1 2/1 3/1 4/1 5/1 6/1 7/1 8/1", "term 2 vote 1 snapshot 6"},
       {make.entries(7, 7, 2)},
       "term 2 vote 1 snapshot 6 7/2"},
  };
}

/// Runs the row with a crash at the given file operation of the interrupted write; returns false if the write
/// finished before that operation.
bool crashAt(const CrashRow& row, std::uint64_t operation, std::uint64_t seed) {
  MemoryDisk disk(seed);
  bool crashed = false;
  {
    const auto storage = createLogStorage(disk.open(), kMember, kSmallSegment);
    storage->recover();
    for (const Writes& writes : row.before) {
      storage->persist(writes);
    }
    disk.crashAfter(operation);
    try {
      storage->persist(row.interrupted);
    } catch (const DiskCrashed&) {
      crashed = true;
    }
  }
  disk.crash();
  std::string recovered = describe(recoverFrom(disk.open()));
  CHECK(std::find(row.valid_states.begin(), row.valid_states.end(), recovered) != row.valid_states.end());
  if (!crashed) {
    CHECK(recovered == row.valid_states.back());
  }
  CHECK(describe(recoverFrom(disk.open())) == recovered);
  if (recovered == row.valid_states.back()) {
    const auto storage = createLogStorage(disk.open(), kMember, kSmallSegment);
    storage->recover();
    storage->persist(row.after);
    recovered = row.recovered_after;
  }
  disk.crash();
  CHECK(describe(recoverFrom(disk.open())) == recovered);
  return crashed;
}

TEST_CASE("a crash at any file operation of a write leaves a state before or after it") {
  constexpr std::uint64_t kSeeds = 20;
  for (const CrashRow& row : crashRows()) {
    INFO(row.name);
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      INFO("seed " << seed);
      std::uint64_t operation = 0;
      while (crashAt(row, operation, seed)) {
        ++operation;
        INFO("operation " << operation);
      }
      CHECK(operation > 0);
    }
  }
}

}  // namespace
}  // namespace ferryrock::storage
