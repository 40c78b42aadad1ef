#include "services/replica_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "services/service_cluster.h"

/// Tests of the subset of replicas that a router receives, without a cell: its size is bounded whatever the
/// router requests, and the replicas are spread evenly over the routers.
namespace ferryrock::services {
namespace {

constexpr std::size_t kReplicas = 240;
constexpr std::size_t kZones = 4;
constexpr TimePoint kNow{std::chrono::seconds(1000)};

struct ChoiceFixture {
  ChoiceFixture() : choice(index) {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      wire::ReplicaReport report = makeReport("r" + std::to_string(i), "desk", 1);
      report.zone = ZoneName("z" + std::to_string(i % kZones));
      registry.accept(report, kNow);
      wire::ReplicaReport engine = makeReport("e" + std::to_string(i), "llm", 1);
      engine.zone = report.zone;
      engine.held = {{ModelName("m" + std::to_string(i % 10)), {"a1"}}};
      registry.accept(engine, kNow);
    }
    index.follow(registry);
  }
  static wire::CallRouterStatus statusOf(std::size_t router) {
    wire::CallRouterStatus status;
    status.router = NodeName("edge-" + std::to_string(router));
    status.zone = ZoneName("z" + std::to_string(router % kZones));
    return status;
  }
  ReplicaRegistry registry;
  ReplicaIndex index;
  ReplicaChoice choice;
};

TEST_CASE(
    "A router gets few replicas, most from its own zone, and all routers together use all replicas evenly") {
  ChoiceFixture fixture;
  std::map<ReplicaId, std::size_t> selections;
  constexpr std::size_t kRouters = 400;
  for (std::size_t router = 0; router < kRouters; ++router) {
    const wire::CallRouterStatus status = ChoiceFixture::statusOf(router);
    const auto chosen = fixture.choice.choose(status, {ServiceName("desk")});
    REQUIRE(chosen.size() == ReplicaChoice::kMaxPerGroup);
    const auto own = std::count_if(chosen.begin(), chosen.end(), [&status](const IndexedReplica* replica) {
      return replica->routed.zone == status.zone;
    });
    CHECK(own == static_cast<std::ptrdiff_t>(ReplicaChoice::kMaxFromOwnZone));
    CHECK(fixture.choice.choose(status, {ServiceName("desk")}) == chosen);
    for (const IndexedReplica* replica : chosen) {
      ++selections[replica->routed.id];
    }
  }
  const std::size_t mean = kRouters * ReplicaChoice::kMaxPerGroup / kReplicas;
  CHECK(selections.size() == kReplicas);
  for (const auto& [id, routers] : selections) {
    CHECK(routers <= 3 * mean);
  }
}

TEST_CASE("Unknown names select no replicas, and names beyond the limit aren't looked up") {
  ChoiceFixture fixture;
  wire::CallRouterStatus status = ChoiceFixture::statusOf(1);
  status.interests = {{ServiceName("nobody"), ModelName("m1"), ""},
                      {ServiceName("llm"), ModelName("?"), "a1"}};
  CHECK(fixture.choice.choose(status, {ServiceName("gone")}).empty());
  status.interests.clear();
  for (std::size_t i = 0; i < 100'000; ++i) {
    status.interests.push_back({ServiceName("llm"), ModelName("x" + std::to_string(i)), ""});
  }
  status.interests.push_back({ServiceName("llm"), ModelName("m1"), ""});
  CHECK(fixture.choice.choose(status, {}).empty());
  status.interests.erase(status.interests.begin() + ReplicaChoice::kMaxInterests - 1,
                         status.interests.end() - 1);
  CHECK(fixture.choice.choose(status, {}).size() == ReplicaChoice::kMaxPerGroup);
}

TEST_CASE("A replica that is leaving or has unloaded the model is no longer selected") {
  ChoiceFixture fixture;
  wire::CallRouterStatus status = ChoiceFixture::statusOf(2);
  status.interests = {{ServiceName("llm"), ModelName("m1"), "a1"}};
  const auto chosen = fixture.choice.choose(status, {});
  REQUIRE(chosen.size() >= ReplicaChoice::kMaxPerGroup);
  const ReplicaId closed = chosen[0]->routed.id;
  const ReplicaId emptied = chosen[1]->routed.id;
  fixture.registry.markLeaving(closed);
  wire::ReplicaReport report = fixture.registry.find(emptied)->report;
  ++report.sequence;
  report.held.clear();
  fixture.registry.accept(report, kNow);
  const ReplicaIndex::Changes changes = fixture.index.follow(fixture.registry);
  CHECK(changes.closed == std::vector<ReplicaId>{closed});
  for (const IndexedReplica* replica : fixture.choice.choose(status, {})) {
    CHECK(replica->routed.id != closed);
    CHECK(replica->routed.id != emptied);
  }
}

}  // namespace
}  // namespace ferryrock::services
