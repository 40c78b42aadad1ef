#include <catch2/catch.hpp>

#include "services/retry_fleet.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

/// Disruptions beside replicas that refuse calls.
struct RetryEvent {
  const char* name;
  void (*trigger)(RetryFleet& fleet);
};

void nothing(RetryFleet&) {}
void restartAllTwice(RetryFleet& fleet) {
  fleet.cluster.schedule(3s, [&fleet] { fleet.restartRouters(1); });
  fleet.cluster.schedule(6s, [&fleet] { fleet.restartRouters(1); });
}
void restartMostThreeTimes(RetryFleet& fleet) {
  for (const Duration at : {Duration(1500ms), Duration(4s), Duration(7s)}) {
    fleet.cluster.schedule(at, [&fleet] { fleet.restartRouters(0.55); });
  }
}
void cutHalfOff(RetryFleet& fleet) {
  fleet.cluster.schedule(1s, [&fleet] { fleet.cutRoutersOff(0.5); });
  fleet.cluster.schedule(9s, [&fleet] { fleet.cluster.heal(); });
}
void loseLeaders(RetryFleet& fleet) {
  fleet.cluster.schedule(2s, [&fleet] { fleet.killLeader(2s); });
  fleet.cluster.schedule(8s, [&fleet] { fleet.killLeader(2s); });
}
void loseAllMembers(RetryFleet& fleet) {
  fleet.cluster.schedule(3s, [&fleet] {
    for (std::size_t i = 0; i < 3; ++i) {
      fleet.killMember(i, 1s);
    }
  });
}
void loseEverything(RetryFleet& fleet) {
  loseAllMembers(fleet);
  restartAllTwice(fleet);
}
void loseLinksToLeader(RetryFleet& fleet) {
  fleet.cluster.schedule(2s, [&fleet] {
    if (const ServiceMember* leader = fleet.cluster.leader()) {
      for (const RunningRouter* router : fleet.routers) {
        fleet.cluster.cutLink(leader->node, router->node);
      }
    }
  });
}
void drawSeveral(RetryFleet& fleet) {
  for (int i = 0; i < 6; ++i) {
    fleet.cluster.schedule(std::chrono::milliseconds(fleet.random.below(12'000)), [&fleet] {
      switch (fleet.random.below(6)) {
        case 0:
          fleet.restartRouters(fleet.random.unit());
          break;
        case 1:
          fleet.cutRoutersOff(fleet.random.unit());
          break;
        case 2:
          fleet.cluster.heal();
          break;
        case 3:
          fleet.killLeader(1s);
          break;
        case 4:
          fleet.killMember(fleet.random.below(3), 2s);
          break;
        default:
          fleet.failures = {fleet.random.unit() / 2, fleet.random.unit() / 4, fleet.random.unit() / 4};
      }
    });
  }
}

TEST_CASE("Routers that restart, are cut off or lose their leader keep the retry budget together") {
  const auto event = GENERATE(
      RetryEvent{"nothing", nothing}, RetryEvent{"all routers restart twice", restartAllTwice},
      RetryEvent{"most routers restart three times", restartMostThreeTimes},
      RetryEvent{"half of the routers are cut off", cutHalfOff}, RetryEvent{"leaders are lost", loseLeaders},
      RetryEvent{"all members are lost", loseAllMembers},
      RetryEvent{"all members are lost and all routers restart", loseEverything},
      RetryEvent{"the leader is there but can't be reached", loseLinksToLeader},
      RetryEvent{"disruptions drawn at random", drawSeveral});
  const auto routers = GENERATE(std::size_t{9}, std::size_t{40});
  const auto seed = GENERATE(range(1, 4));
  INFO(event.name << ", " << routers << " routers, seed " << seed);
  RetryFleet fleet(routers, 6, static_cast<std::uint64_t>(seed));
  fleet.callFor(12s, 30);
  fleet.failures = {0.8, 0, 0};
  event.trigger(fleet);
  fleet.callFor(14s, 60);
  fleet.failures = {};
  fleet.callFor(4s, 30);
  CHECK(fleet.oracle.worstExcess() <= 0);
}

TEST_CASE("Retries that waited for replicas in a backoff keep the retry budget when they are sent") {
  const auto seed = GENERATE(range(1, 4));
  INFO("seed " << seed);
  RetryFleet fleet(9, 6, static_cast<std::uint64_t>(seed));
  fleet.callFor(12s, 30);
  fleet.queue_time = 1350ms;
  fleet.backOffFor(11'600ms);
  fleet.callFor(100ms, 1000);
  fleet.callFor(1400ms, 5);
  fleet.queue_time = 0s;
  fleet.failures = {1, 0, 0};
  fleet.callFor(13s, 10);
  CHECK(fleet.oracle.worstExcess() <= 0);
}

TEST_CASE("A large fleet can use most of its retry budget") {
  const auto routers = GENERATE(std::size_t{9}, std::size_t{92});
  INFO(routers << " routers");
  RetryFleet fleet(routers, 6, 1);
  fleet.callFor(12s, 30);
  fleet.failures = {0.5, 0, 0};
  fleet.callFor(14s, 30);
  CHECK(fleet.oracle.worstUse() >= 0.5);
  CHECK(fleet.oracle.worstExcess() <= 0);
}

}  // namespace
}  // namespace ferryrock::services
