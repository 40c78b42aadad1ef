#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "services/subscribed_fleet.h"

/// Updates of a cell to routers in a fleet that is too large to send every replica to every router. Entries
/// are counted at several fleet sizes to detect growth as routers x replicas.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

TEST_CASE("The replica entries sent to routers grow with the routers, not with routers x replicas") {
  constexpr std::size_t kRouters = 24;
  const auto entriesFor = [](std::size_t routers, std::size_t replicas) {
    SubscribedFleet fleet(routers, replicas);
    fleet.cluster.entries_sent = 0;
    fleet.cluster.kill(*fleet.cluster.leader());  // the next leader has to send tables to all routers
    for (RunningRouter* router : fleet.routers) {
      fleet.call(*router, "m1");
    }
    fleet.cluster.runFor(10s);
    return fleet.cluster.entries_sent;
  };
  const std::size_t small = entriesFor(kRouters, 600);
  const std::size_t more_replicas = entriesFor(kRouters, 1200);
  const std::size_t more_routers = entriesFor(2 * kRouters, 1200);
  INFO(small << " entries, " << more_replicas << " with twice the replicas, " << more_routers
             << " with twice the routers as well");
  CHECK(more_replicas <= small + small / 4);
  CHECK(more_routers <= 2 * more_replicas + more_replicas / 4);
  CHECK(small <= kRouters * 100);
}

TEST_CASE("A call for a model that its router has no replica of is sent within 60 ms") {
  SubscribedFleet fleet(20, 600);
  for (RunningRouter* router : fleet.routers) {
    for (const char* model : {"m1", "m7", "m39"}) {
      const TimePoint called_at = fleet.cluster.now();
      fleet.call(*router, model);
      fleet.cluster.runFor(150ms);
      CHECK(fleet.last_sent > called_at);
      CHECK(fleet.last_sent - called_at <= 60ms);
    }
  }
  CHECK(fleet.refused() == 0);
}

TEST_CASE("Calls of all routers are distributed over all replicas of a service without models") {
  constexpr std::size_t kRouters = 40;
  constexpr std::size_t kReplicas = 600;
  constexpr std::size_t kCallsEach = 20;
  constexpr std::size_t kPlain = kReplicas / kPlainShare;
  SubscribedFleet fleet(kRouters, kReplicas);
  for (std::size_t i = 0; i < kCallsEach; ++i) {
    for (RunningRouter* router : fleet.routers) {
      fleet.call(*router, "");
    }
    fleet.cluster.runFor(50ms);
  }
  std::size_t used = 0;
  std::size_t busiest = 0;
  for (std::size_t i = 0; i < kReplicas; i += kPlainShare) {
    const std::size_t calls = fleet.sent_to[ReplicaId(SubscribedFleet::nameAt(i))];
    used += calls > 0 ? 1 : 0;
    busiest = std::max(busiest, calls);
  }
  CHECK(used == kPlain);
  CHECK(busiest <= 3 * kRouters * kCallsEach / kPlain);
}

TEST_CASE("Leave notices of many replicas bind in time, and no router sends calls there afterwards") {
  SubscribedFleet fleet(40, 800);
  for (RunningRouter* router : fleet.routers) {
    for (const char* model : {"m1", "m2", "m3"}) {
      fleet.call(*router, model);
    }
  }
  fleet.cluster.runFor(3s);
  std::map<std::size_t, std::pair<ServiceMember*, std::uint64_t>> notices;
  for (std::size_t i = 0; i < 800; i += 40) {
    for (const std::size_t number : {i, i + 1}) {
      fleet.leaving.insert(number);
      ServiceMember& member = fleet.cluster.member(number % 3);
      notices[number] = {&member, fleet.cluster.report(member, fleet.reportOf(number))};
    }
  }
  fleet.cluster.runFor(900ms);
  std::size_t bound = 0;
  for (const auto& [number, notice] : notices) {
    bound += ServiceCluster::codeOf(*notice.first, notice.second) == ResultCode::Ok ? 1 : 0;
  }
  CHECK(bound == notices.size());
  fleet.sent_to.clear();
  for (int i = 0; i < 20; ++i) {
    for (RunningRouter* router : fleet.routers) {
      for (const char* model : {"", "m1", "m2"}) {
        fleet.call(*router, model);
      }
    }
    fleet.cluster.runFor(50ms);
  }
  for (const auto& [number, notice] : notices) {
    CHECK(fleet.sent_to[ReplicaId(SubscribedFleet::nameAt(number))] == 0);
  }
}

TEST_CASE("A leave notice doesn't wait for the next regular status of each router") {
  constexpr std::size_t kReplicas = 600;
  constexpr Duration kNoticeLimit = 150ms;  // routers report their status every 250 ms
  SubscribedFleet fleet(40, kReplicas);
  fleet.cluster.runFor(2s);
  ServiceMember& leader = *fleet.cluster.leader();
  const auto sendNotice = [&fleet, &leader](std::size_t number) {
    fleet.leaving.insert(number);
    return fleet.cluster.report(leader, fleet.reportOf(number));
  };
  std::size_t late = 0;
  std::size_t noticed = 0;
  for (std::size_t number = 0; number + kPlainShare < kReplicas; number += 2 * kPlainShare) {
    // The second notice arrives during the pause after the round of updates for the first.
    const std::uint64_t first = sendNotice(number);
    fleet.cluster.runFor(6ms);
    const std::uint64_t second = sendNotice(number + kPlainShare);
    fleet.cluster.runFor(kNoticeLimit);
    for (const std::uint64_t notice : {first, second}) {
      late += ServiceCluster::codeOf(leader, notice) == ResultCode::Ok ? 0 : 1;
      ++noticed;
    }
    fleet.cluster.runFor(13ms * (noticed % 7));
  }
  INFO(late << " of " << noticed << " were late");
  CHECK(late == 0);
}

TEST_CASE(
    "A leave notice waits only for silent routers that may use the replica, until they are out of contact") {
  SubscribedFleet fleet(20, 600);
  RunningRouter& user = *fleet.routers.front();
  fleet.call(user, "m1");
  fleet.cluster.runFor(2s);
  REQUIRE(fleet.sent_to.size() == 1);
  const std::string used = fleet.sent_to.begin()->first.value;
  const auto number = static_cast<std::size_t>(std::stoul(used.substr(1)));
  fleet.cluster.isolate(user.node);
  fleet.leaving.insert(number);
  ServiceMember& leader = *fleet.cluster.leader();
  const std::uint64_t held_up = fleet.cluster.report(leader, fleet.reportOf(number));
  fleet.cluster.runFor(900ms);
  CHECK(ServiceCluster::codeOf(leader, held_up) == ResultCode::NotBoundEverywhere);
  // A router that is out of contact doesn't block the notice.
  fleet.cluster.runFor(3s);
  const std::uint64_t free = fleet.cluster.report(leader, fleet.reportOf(number));
  fleet.cluster.runFor(900ms);
  CHECK(ServiceCluster::codeOf(leader, free) == ResultCode::Ok);
  fleet.cluster.heal();
  fleet.cluster.runFor(2s);
  fleet.sent_to.clear();
  for (int i = 0; i < 20; ++i) {
    fleet.call(user, "m1");
    fleet.cluster.runFor(20ms);
  }
  CHECK(fleet.sent_to[ReplicaId(used)] == 0);
}

TEST_CASE("No call is refused during a change of leader, and the new leader knows every replica") {
  SubscribedFleet fleet(20, 600);
  const auto callAll = [&fleet] {
    for (RunningRouter* router : fleet.routers) {
      fleet.call(*router, "");
      fleet.call(*router, "m1");
    }
  };
  callAll();
  fleet.cluster.runFor(2s);
  fleet.cluster.kill(*fleet.cluster.leader());
  for (int i = 0; i < 60; ++i) {
    callAll();
    fleet.cluster.runFor(100ms);
  }
  CHECK(fleet.refused() == 0);
  REQUIRE(fleet.cluster.leader() != nullptr);
  fleet.cluster.runFor(8s);
  for (RunningRouter* router : fleet.routers) {
    fleet.call(*router, "m38");
  }
  fleet.cluster.runFor(500ms);
  CHECK(fleet.refused() == 0);
}

TEST_CASE("Unchanged reports are relayed to the leader, and only one in sixteen to the other members") {
  constexpr std::size_t kReplicas = 600;
  constexpr std::size_t kSeconds = 10;
  const auto relayedReports = [=](std::size_t members) {
    SubscribedFleet fleet(4, kReplicas, members);
    fleet.cluster.replica_reports_relayed = 0;
    fleet.cluster.runFor(1s * kSeconds);
    return fleet.cluster.replica_reports_relayed;
  };
  for (const std::size_t members : {3, 5, 9}) {
    const std::size_t relayed = relayedReports(members);
    INFO(relayed << " of " << members << " members");
    CHECK(relayed <= kReplicas * kSeconds + kReplicas * kSeconds * members / 16);
  }
}

}  // namespace
}  // namespace ferryrock::services
