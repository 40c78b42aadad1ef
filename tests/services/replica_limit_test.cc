#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "services/limited_fleet.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

TEST_CASE("All routers together don't exceed the call rate limit of a replica") {
  const auto seed = GENERATE(range(1, 5));
  INFO("seed " << seed);
  LimitedFleet fleet(9, 4, static_cast<std::uint64_t>(seed));
  fleet.callFor(4s, 16);
  fleet.setLimit(0, 1.2);
  fleet.setLimit(1, 1);
  fleet.callFor(15s, 16);
  CHECK(fleet.oracle(0).excess() <= 0);
  CHECK(fleet.oracle(1).excess() <= 0);
}

TEST_CASE(
    "If all replicas have limits, nearly all of their capacity is used and excess calls are refused at "
    "once") {
  LimitedFleet fleet(9, 2, 3);
  fleet.setLimit(0, 3);
  fleet.setLimit(1, 2);
  fleet.callFor(4s, 16);
  fleet.answered = 0;
  fleet.refusals.clear();
  fleet.retry_after.clear();
  fleet.callFor(20s, 16);
  CHECK(fleet.oracle(0).excess() <= 0);
  CHECK(fleet.oracle(1).excess() <= 0);
  CHECK(fleet.answered >= 90);
  CHECK(fleet.refusals.size() == 1);
  CHECK(fleet.refusals[ResultCode::ReplicaLimited] > 150);
  CHECK(
      std::all_of(fleet.retry_after.begin(), fleet.retry_after.end(),
                  [](const std::optional<Duration>& announced) { return announced && *announced > 100ms; }));
  CHECK(fleet.max_refusal_time < 50ms);
}

TEST_CASE("No call waits for credit or is refused while another replica has no limit") {
  LimitedFleet fleet(9, 2, 4);
  fleet.setLimit(0, 1);
  fleet.callFor(15s, 16);
  CHECK(fleet.refused() == 0);
  CHECK(fleet.oracle(0).excess() <= 0);
  for (RunningRouter* router : fleet.routers) {
    CHECK(router->logic->counts().limit_waits == 0);
  }
}

TEST_CASE("A replica gets its full share of calls again soon after its limit ends") {
  LimitedFleet fleet(9, 4, 5);
  fleet.callFor(5s, 32);
  fleet.setLimit(0, 1);
  fleet.callFor(10s, 32);
  fleet.setLimit(0, std::nullopt);
  fleet.callFor(8s, 32);
  const TimePoint from = fleet.cluster.now();
  fleet.callFor(5s, 32);
  CHECK(fleet.oracle(0).arrivals(from, fleet.cluster.now()) > 20);
}

TEST_CASE("A limit reaches routers that haven't observed it themselves") {
  LimitedFleet fleet(40, 4, 6);
  fleet.callFor(2s, 20);
  fleet.setLimit(0, 1);
  fleet.callFor(2s, 20);
  for (RunningRouter* router : fleet.routers) {
    CHECK(router->logic->replicaLimits().size() == 1);
  }
}

/// An event in the fleet while calls arrive.
struct LimitEvent {
  const char* name;
  void (*trigger)(LimitedFleet& fleet);
};

void killLeader(LimitedFleet& fleet) {
  if (ServiceMember* leader = fleet.cluster.leader()) {
    fleet.cluster.kill(*leader);
    fleet.cluster.schedule(5s, [&fleet, leader] { fleet.cluster.start(*leader); });
  }
}
void killAllMembers(LimitedFleet& fleet) {
  for (std::size_t i = 0; i < 3; ++i) {
    ServiceMember& member = fleet.cluster.member(i);
    fleet.cluster.kill(member);
    fleet.cluster.schedule(6s, [&fleet, &member] { fleet.cluster.start(member); });
  }
}
void freezeLeader(LimitedFleet& fleet) {
  if (ServiceMember* leader = fleet.cluster.leader()) {
    fleet.cluster.freeze(*leader, 4s);
  }
}
void cutRouters(LimitedFleet& fleet) {
  for (std::size_t i = 0; i < fleet.routers.size(); i += 2) {
    fleet.excludeRouter(i, 8s);
    fleet.cluster.isolate(fleet.routers[i]->node);
  }
  fleet.cluster.schedule(5s, [&fleet] { fleet.cluster.heal(); });
}
void restartRouters(LimitedFleet& fleet) {
  for (std::size_t i = 0; i < fleet.routers.size(); i += 3) {
    fleet.excludeRouter(i, 3s);
    fleet.cluster.restart(*fleet.routers[i]);
  }
}
void changeLimits(LimitedFleet& fleet) {
  fleet.setLimit(0, 0.4);
  fleet.cluster.schedule(3s, [&fleet] { fleet.setLimit(0, 6); });
  fleet.cluster.schedule(6s, [&fleet] { fleet.setLimit(0, 1); });
}
void nothing(LimitedFleet&) {}

TEST_CASE("A replica's limit holds over all routers during failures of members and routers") {
  const auto event = GENERATE(LimitEvent{"nothing", nothing}, LimitEvent{"the leader is killed", killLeader},
                              LimitEvent{"all members are killed", killAllMembers},
                              LimitEvent{"the leader freezes", freezeLeader},
                              LimitEvent{"half of the routers are cut off", cutRouters},
                              LimitEvent{"a third of the routers restart", restartRouters},
                              LimitEvent{"the limit changes several times", changeLimits});
  const auto routers = GENERATE(std::size_t{9}, std::size_t{60});
  const auto copies = GENERATE(std::size_t{1}, std::size_t{4});
  const auto seed = GENERATE(range(1, 4));
  INFO(event.name << ", " << routers << " routers, " << copies << " copies, seed " << seed);
  LimitedFleet fleet(routers, copies, static_cast<std::uint64_t>(seed));
  fleet.callFor(3s, 24);
  fleet.setLimit(0, 1.2);
  fleet.callFor(5s, 24);
  event.trigger(fleet);
  fleet.callFor(14s, 24);
  CHECK(fleet.oracle(0).excess() <= 0);
}

TEST_CASE("The number of messages about a limit doesn't grow with the number of routers") {
  std::map<std::size_t, std::size_t> messages;
  for (const std::size_t routers : {std::size_t{20}, std::size_t{80}}) {
    LimitedFleet fleet(routers, 4, 8);
    fleet.callFor(3s, 24);
    fleet.setLimit(0, 1);
    fleet.callFor(5s, 24);
    const std::size_t before = fleet.cluster.limit_messages;
    fleet.callFor(20s, 24);
    messages[routers] = fleet.cluster.limit_messages - before;
  }
  CHECK(messages[20] > 0);
  CHECK(messages[80] <= 2 * messages[20]);
}

}  // namespace
}  // namespace ferryrock::services
