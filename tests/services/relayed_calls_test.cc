#include <algorithm>
#include <catch2/catch.hpp>

#include "services/partitioned_fleet.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr Duration kContactTime = 3s;
constexpr double kCallsPerSecond = 40;

double shareServed(const FirstAttempts& attempts) {
  return attempts.sent == 0 ? 1 : static_cast<double>(attempts.served) / static_cast<double>(attempts.sent);
}

PartitionKind anyKind() {
  return GENERATE(PartitionKind::Silent, PartitionKind::Reset, PartitionKind::Refused);
}

TEST_CASE("While all routers but one are partitioned, that one relays the calls of the others") {
  const PartitionKind kind = anyKind();
  INFO("kind " << static_cast<int>(kind));
  PartitionedFleet fleet(9, 4, 11);
  fleet.callFor(5s, kCallsPerSecond, false);
  fleet.partition({0, 1, 2, 3, 4, 5, 6, 7}, kind);
  fleet.callFor(kContactTime, kCallsPerSecond, false);
  fleet.callFor(9s, kCallsPerSecond, true);
  CHECK(shareServed(fleet.partitioned) > 0.95);
  CHECK(shareServed(fleet.others) > 0.95);
}

TEST_CASE("A partitioned router's calls run at most once each") {
  const PartitionKind kind = anyKind();
  const auto seed = GENERATE(range(1, 4));
  INFO("kind " << static_cast<int>(kind) << ", seed " << seed);
  PartitionedFleet fleet(6, 4, static_cast<std::uint64_t>(seed));
  for (int i = 0; i < 4; ++i) {
    fleet.callFor(1s, kCallsPerSecond, true);
    fleet.partition({0, 1, static_cast<std::size_t>(2 + i % 2)}, kind);
    fleet.callFor(2s, kCallsPerSecond, true);
    fleet.heal();
  }
  fleet.callFor(2s, kCallsPerSecond, true);
  const auto twice = std::find_if(fleet.runs_by_call.begin(), fleet.runs_by_call.end(),
                                  [](const auto& item) { return item.second > 1; });
  CHECK(twice == fleet.runs_by_call.end());
}

TEST_CASE("A router whose connections are refused records no crash of a replica") {
  PartitionedFleet fleet(9, 4, 12);
  fleet.callFor(5s, kCallsPerSecond, false);
  fleet.partition({0, 1, 2}, PartitionKind::Reset);
  fleet.callFor(10s, kCallsPerSecond, false);
  CHECK(fleet.crashesRecorded() == 0);
}

TEST_CASE("A router that reaches no replica by any path refuses calls at once, for another router") {
  PartitionedFleet fleet(3, 4, 13);
  fleet.callFor(5s, kCallsPerSecond, false);
  fleet.partition({0, 1, 2}, PartitionKind::Silent);
  fleet.callFor(4s, kCallsPerSecond, false);
  fleet.resetCounts();
  fleet.refusals.clear();
  fleet.callFor(5s, kCallsPerSecond, true);
  CHECK(fleet.partitioned.served == 0);
  CHECK(fleet.refusals[ResultCode::RouterPartitioned] > 100);
}

TEST_CASE("After a partition the routers use their own connections again, without calls that fail") {
  const PartitionKind kind = anyKind();
  INFO("kind " << static_cast<int>(kind));
  PartitionedFleet fleet(9, 4, 14);
  fleet.callFor(5s, kCallsPerSecond, false);
  fleet.partition({0, 1, 2}, kind);
  fleet.callFor(8s, kCallsPerSecond, false);
  fleet.heal();
  fleet.callFor(3s, kCallsPerSecond, true);
  fleet.cluster.runFor(1s);
  CHECK(shareServed(fleet.partitioned) > 0.98);
  CHECK(shareServed(fleet.others) > 0.98);
  const std::size_t relayed = fleet.relayed;
  fleet.callFor(5s, kCallsPerSecond, false);
  CHECK(fleet.relayed == relayed);
}

TEST_CASE("While no router is partitioned, no call is relayed") {
  PartitionedFleet fleet(9, 4, 15);
  fleet.callFor(20s, kCallsPerSecond, true);
  CHECK(fleet.relayed == 0);
  CHECK(shareServed(fleet.others) > 0.99);
}

TEST_CASE("Replicas that are silent for most of a second lose no call, get none twice and are used again") {
  PartitionedFleet fleet(9, 4, 17);
  fleet.callFor(5s, kCallsPerSecond, true);
  for (std::size_t replica = 0; replica < 4; ++replica) {
    fleet.silence(replica, 900ms);
    fleet.callFor(2s, kCallsPerSecond, true);
  }
  fleet.cluster.runFor(2s);
  CHECK(fleet.others.failed() == 0);
  CHECK(fleet.crashesRecorded() == 0);
  CHECK(fleet.relayed == 0);
  CHECK(std::all_of(fleet.runs_by_call.begin(), fleet.runs_by_call.end(),
                    [](const auto& item) { return item.second == 1; }));
}

TEST_CASE("Partitioned routers keep being served while there is no leader") {
  PartitionedFleet fleet(9, 4, 16);
  fleet.callFor(5s, kCallsPerSecond, false);
  fleet.cluster.kill(*fleet.cluster.leader());
  fleet.partition({0, 1, 2}, PartitionKind::Silent);
  fleet.callFor(kContactTime, kCallsPerSecond, false);
  fleet.callFor(4s, kCallsPerSecond, true);
  CHECK(shareServed(fleet.partitioned) > 0.9);
}

}  // namespace
}  // namespace ferryrock::services
