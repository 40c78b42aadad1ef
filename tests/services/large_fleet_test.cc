#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "services/service_cluster.h"

/// Updates of a leader to many routers: their rate must stay bounded however often routers report, and
/// routers that are gone must get none.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

struct LargeFleet {
  explicit LargeFleet(std::size_t size) : cluster(3, 1) {
    REQUIRE(cluster.runUntil([this] { return cluster.leader() != nullptr; }));
    for (std::size_t i = 0; i < size; ++i) {
      routers.push_back(&cluster.addRouter("edge-" + std::to_string(i)));
    }
    REQUIRE(cluster.replaceAcknowledged(1));
    cluster.runFor(4s);
  }
  /// Makes calls at each router wait for a model that no replica has loaded.
  void waitForModel() {
    for (ScriptedRouter* router : routers) {
      router->model_calls = {{ServiceName("llm"), ModelName("m1"), "", 1, 0, 1}};
    }
  }
  std::size_t sentUpdates() const {
    std::size_t sent = 0;
    for (const ScriptedRouter* router : routers) {
      sent += router->sent_updates;
    }
    return sent;
  }
  ServiceCluster cluster;
  std::vector<ScriptedRouter*> routers;
};

TEST_CASE("A leave notice that can't bind yet causes no endless exchange of updates and statuses") {
  constexpr std::size_t kRouters = 30;
  LargeFleet fleet(kRouters);
  ServiceMember& leader = *fleet.cluster.leader();
  wire::ReplicaReport report = makeReport("r1", "desk", 1);
  fleet.cluster.report(leader, report);
  fleet.waitForModel();
  fleet.cluster.runFor(1s);
  fleet.routers.front()->silent = true;
  report.leaving = true;
  report.sequence = 2;
  fleet.cluster.report(leader, report);
  const std::size_t before = fleet.routers.back()->updates;
  fleet.cluster.runFor(800ms);
  CHECK_FALSE(fleet.routers.back()->replicas.at(ReplicaId("r1")).accepting);
  // Four regular statuses, the notice, and a margin for updates that happen to coincide with them.
  CHECK(fleet.routers.back()->updates - before <= 12);
}

TEST_CASE("Updates to a large fleet stay bounded while all routers constantly report waiting calls") {
  constexpr std::size_t kRouters = 200;
  constexpr int kStatusRounds = 50;
  LargeFleet fleet(kRouters);
  fleet.waitForModel();
  const std::size_t before = fleet.sentUpdates();
  for (int i = 0; i < kStatusRounds; ++i) {
    for (ScriptedRouter* router : fleet.routers) {
      fleet.cluster.sendStatus(*router);
    }
    fleet.cluster.runFor(10ms);
  }
  const std::size_t sent = fleet.sentUpdates() - before;
  CHECK(sent >= kRouters);                    // each router gets several updates per second
  CHECK(sent <= 4500 * kStatusRounds / 100);  // 4,500 updates per second, for half a second
}

TEST_CASE("Silent routers get no updates, and receive what they lack after their next status") {
  constexpr std::size_t kRouters = 30;
  constexpr std::size_t kSilent = 10;
  LargeFleet fleet(kRouters);
  for (std::size_t i = 0; i < kSilent; ++i) {
    fleet.routers.at(i)->silent = true;
  }
  fleet.cluster.runFor(2s);
  const std::size_t before = fleet.routers.front()->sent_updates;
  for (std::uint64_t version = 2; version <= 10; ++version) {
    REQUIRE(fleet.cluster.replaceAcknowledged(version));
    fleet.cluster.runFor(100ms);
  }
  CHECK(fleet.routers.front()->sent_updates == before);
  CHECK(fleet.routers.back()->versions.back() == CatalogVersion{10});
  fleet.routers.front()->silent = false;
  fleet.cluster.runFor(1s);
  CHECK(fleet.routers.front()->versions.back() == CatalogVersion{10});
}

TEST_CASE("A new leader of thousands of replicas sends full tables in rounds of bounded size") {
  constexpr std::size_t kRouters = 50;
  constexpr std::size_t kReplicas = 2500;
  constexpr std::size_t kMaxEntries = 100'000 + kReplicas;
  LargeFleet fleet(kRouters);
  for (std::size_t i = 0; i < kReplicas; ++i) {
    fleet.cluster.report(*fleet.cluster.leader(), makeReport("r" + std::to_string(i), "llm", 1));
  }
  fleet.cluster.runFor(2s);
  fleet.cluster.max_entries_per_tick = 0;
  fleet.cluster.kill(*fleet.cluster.leader());
  fleet.cluster.runFor(4s);
  CHECK(fleet.cluster.max_entries_per_tick >= kReplicas);
  CHECK(fleet.cluster.max_entries_per_tick <= kMaxEntries);
  const Term term = fleet.cluster.leader()->control->view(fleet.cluster.now()).term;
  for (const ScriptedRouter* router : fleet.routers) {
    CHECK(router->replicas.size() == kReplicas);
    CHECK(router->status.revision.value >> 40 == term.value);
  }
}

TEST_CASE("The number of updates that a leader sends per event doesn't grow with the routers") {
  constexpr std::size_t kMaxUpdatesPerEvent = 128;
  for (const std::size_t size : {200, 400}) {
    LargeFleet fleet(size);
    fleet.cluster.max_updates_per_event = 0;
    REQUIRE(fleet.cluster.replaceAcknowledged(2));
    fleet.cluster.runFor(1s);
    const std::size_t behind = static_cast<std::size_t>(
        std::count_if(fleet.routers.begin(), fleet.routers.end(), [](const ScriptedRouter* router) {
          return router->versions.empty() || router->versions.back() != CatalogVersion{2};
        }));
    CHECK(behind == 0);
    fleet.cluster.kill(*fleet.cluster.leader());
    fleet.waitForModel();
    fleet.cluster.runFor(5s);
    REQUIRE(fleet.cluster.leader() != nullptr);
    INFO(size << " routers, " << fleet.cluster.max_updates_per_event << " updates at once");
    CHECK(fleet.cluster.max_updates_per_event <= kMaxUpdatesPerEvent);
  }
}

TEST_CASE("Frequent statuses of other routers don't starve a router of updates") {
  constexpr std::size_t kRouters = 400;
  LargeFleet fleet(kRouters);
  // All routers but the last by name report their status constantly.
  std::sort(fleet.routers.begin(), fleet.routers.end(),
            [](const ScriptedRouter* left, const ScriptedRouter* right) {
              return left->status.router < right->status.router;
            });
  fleet.waitForModel();
  ScriptedRouter& last = *fleet.routers.back();
  const std::size_t before = last.updates;
  for (int i = 0; i < 40; ++i) {
    for (ScriptedRouter* router : fleet.routers) {
      if (router != &last) {
        fleet.cluster.sendStatus(*router);
      }
    }
    fleet.cluster.runFor(50ms);
  }
  // The router itself sends eight statuses in that time.
  CHECK(last.updates - before >= 4);
}

}  // namespace
}  // namespace ferryrock::services
