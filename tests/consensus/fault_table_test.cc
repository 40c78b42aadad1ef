#include <catch2/catch.hpp>
#include <functional>

#include "cell_harness.h"
#include "consensus/membership.h"

namespace ferryrock::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kLimit = seconds(30);

SimulatedMember& awaitLeader(CellHarness& cell) {
  REQUIRE(cell.runUntil([&] { return cell.leader() != nullptr; }, kLimit));
  return *cell.leader();
}

/// The follower at position `which` among the members other than the leader.
SimulatedMember& follower(CellHarness& cell, std::size_t which) {
  std::vector<SimulatedMember*> followers;
  for (std::size_t number = 0; number < cell.memberCount(); ++number) {
    if (&cell.member(number) != cell.leader()) {
      followers.push_back(&cell.member(number));
    }
  }
  return *followers.at(which);
}

void commit(CellHarness& cell, int count) {
  for (int number = 0; number < count; ++number) {
    REQUIRE(cell.propose(awaitLeader(cell), "command").accepted);
    cell.runFor(milliseconds(5));
  }
  const LogIndex last = awaitLeader(cell).log->lastIndex();
  REQUIRE(cell.runUntil([&] { return cell.oracle().committed() >= last; }, kLimit));
}

void partitionOff(CellHarness& cell, const SimulatedMember& member, Duration duration) {
  for (std::size_t number = 0; number < cell.memberCount(); ++number) {
    cell.cut(member.node, cell.member(number).node, duration);
    cell.cut(cell.member(number).node, member.node, duration);
  }
}

/// Checks that nothing is committed for 20 s.
void checkNoProgress(CellHarness& cell) {
  const LogIndex before = cell.oracle().committed();
  cell.runFor(seconds(20));
  CHECK(cell.oracle().committed() == before);
}

void leaderStopsBeforeSync(CellHarness& cell) {
  SimulatedMember& leader = awaitLeader(cell);
  REQUIRE(cell.propose(leader, "unsynced").accepted);
  cell.stop(leader);
  commit(cell, 3);
  cell.start(leader);
}

void leaderStopsAfterCommit(CellHarness& cell) {
  SimulatedMember& leader = awaitLeader(cell);
  const LogIndex index = cell.propose(leader, "committed, not acknowledged").index;
  REQUIRE(cell.runUntil([&] { return cell.oracle().committed() >= index; }, kLimit));
  cell.stop(leader);
  CHECK(awaitLeader(cell).log->lastIndex() >= index);
  commit(cell, 3);
  cell.start(leader);
}

void leaderPartitionedOffForAnHour(CellHarness& cell) {
  SimulatedMember& old_leader = awaitLeader(cell);
  cell.runFor(seconds(1));
  const TimePoint cut_at = cell.localTime(old_leader);
  CHECK(old_leader.log->leadershipConfirmedAt(cut_at) > cut_at - milliseconds(400));
  partitionOff(cell, old_leader, minutes(60));
  cell.runFor(milliseconds(300));
  CHECK(old_leader.log->leadershipConfirmedAt(cell.localTime(old_leader)).value_or(cut_at) <= cut_at);
  cell.runFor(seconds(3));
  CHECK(old_leader.log->role() != Role::Leader);
  CHECK_FALSE(old_leader.log->hasLease(cell.localTime(old_leader)));
  const Term term = awaitLeader(cell).log->term();
  commit(cell, 20);
  cell.runFor(minutes(60));
  commit(cell, 3);
  CHECK(awaitLeader(cell).log->term() == term);
}

void leaderCannotReceive(CellHarness& cell) {
  SimulatedMember& old_leader = awaitLeader(cell);
  for (std::size_t which : {0, 1}) {
    cell.cut(follower(cell, which).node, old_leader.node, seconds(20));
  }
  cell.runFor(seconds(3));
  CHECK(old_leader.log->role() != Role::Leader);
  commit(cell, 3);
}

void followerMissesFiveHundred(CellHarness& cell) {
  SimulatedMember& late = follower(cell, 0);
  cell.stop(late);
  commit(cell, 500);
  const std::uint64_t snapshots = cell.counts().snapshots_installed;
  cell.start(late);
  REQUIRE(cell.runUntil([&] { return late.applied == cell.oracle().committed(); }, kLimit));
  CHECK(cell.counts().snapshots_installed > snapshots);
}

void secondLossRightAfterRepair(CellHarness& cell) {
  SimulatedMember& repaired = follower(cell, 0);
  SimulatedMember& lost = follower(cell, 1);
  cell.stop(repaired);
  commit(cell, 10);
  cell.loseDisk(repaired);
  cell.start(repaired);
  cell.stop(lost);
  checkNoProgress(cell);
  cell.start(lost);
  commit(cell, 3);
  cell.stop(repaired);
}

void majorityLosesItsDisks(CellHarness& cell) {
  SimulatedMember& first = follower(cell, 0);
  SimulatedMember& second = follower(cell, 1);
  cell.loseDisk(first);
  cell.loseDisk(second);
  cell.start(first);
  cell.start(second);
  cell.runFor(seconds(2));
  checkNoProgress(cell);
  cell.stop(first);
  cell.stop(second);
}

void allRestartAtOnce(CellHarness& cell) {
  REQUIRE(cell.propose(awaitLeader(cell), "unsynced").accepted);
  const LogIndex committed = cell.oracle().committed();
  for (std::size_t number = 0; number < cell.memberCount(); ++number) {
    cell.stop(cell.member(number));
  }
  for (std::size_t number = 0; number < cell.memberCount(); ++number) {
    cell.start(cell.member(number));
  }
  CHECK(awaitLeader(cell).log->lastIndex() >= committed);
  commit(cell, 3);
}

void leadersClockJumps(CellHarness& cell) {
  awaitLeader(cell).clock_offset += std::chrono::hours(1);
  cell.runFor(seconds(2));
  commit(cell, 3);
}

void changeOfMembersInterrupted(CellHarness& cell) {
  const MemberId id{9};
  SimulatedMember& added = cell.addProcess(id, NodeName{"control-9"});
  cell.start(added);
  const auto known = [&] { return findMember(awaitLeader(cell).log->membership(), id); };
  for (int step = 0; step < 20 && (known() == nullptr || !known()->voter); ++step) {
    SimulatedMember& leader = awaitLeader(cell);
    const TimePoint now = cell.localTime(leader);
    Proposal change = known() == nullptr
                          ? leader.log->addLearner({id, added.node, "", "", false, DiskId{}}, now)
                          : leader.log->promote(id, now);
    cell.handle(leader, std::move(change.effects));
    cell.runFor(milliseconds(step));
    cell.stop(leader);
    cell.runFor(seconds(1));
    cell.start(leader);
    cell.runFor(seconds(2));
  }
  REQUIRE(known() != nullptr);
  CHECK(known()->voter);
}

struct FaultRow {
  const char* name;
  std::function<void(CellHarness&)> inject;
  bool expects_progress;  ///< a majority of the disks is intact, so the cell must commit more entries
};

TEST_CASE("a cell survives each fault of the table, and makes no progress without a majority of disks") {
  const std::vector<FaultRow> rows{
      {"leader stopped between append and sync", leaderStopsBeforeSync, true},
      {"leader stopped between commit and response", leaderStopsAfterCommit, true},
      {"leader partitioned off for an hour, then healed", leaderPartitionedOffForAnHour, true},
      {"leader can send but not receive", leaderCannotReceive, true},
      {"follower restarted after 500 entries", followerMissesFiveHundred, true},
      {"member restarted on an empty disk, then a second member stopped", secondLossRightAfterRepair, true},
      {"majority of the disks lost", majorityLosesItsDisks, false},
      {"all members restarted at once", allRestartAtOnce, true},
      {"leader's clock jumps ahead by an hour", leadersClockJumps, true},
      {"membership change interrupted at each step", changeOfMembersInterrupted, true},
  };
  for (const FaultRow& row : rows) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      INFO(row.name << ", seed " << seed);
      HarnessSettings settings;
      settings.seed = seed;
      CellHarness cell(settings);
      commit(cell, 10);
      CHECK_NOTHROW(row.inject(cell));
      if (row.expects_progress) {
        commit(cell, 5);
      }
    }
  }
}

}  // namespace
}  // namespace ferryrock::consensus
