#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "calls/call_fixture.h"
#include "common/hashing.h"
#include "wire/replica_incarnation.h"

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

TEST_CASE("Route weights hold over short sequences of calls") {
  wire::CallRoute route;
  route.name = RouteName("r");
  route.targets = {{ServiceName("a"), 90}, {ServiceName("b"), 10}, {ServiceName("c"), 0}};
  TrafficSplit split;
  std::map<ServiceName, int> counts;
  for (int i = 0; i < 50; ++i) {
    ++counts[split.next(route)];
  }
  CHECK(counts[ServiceName("a")] == 45);
  CHECK(counts[ServiceName("b")] == 5);
  CHECK(counts[ServiceName("c")] == 0);
}

TEST_CASE("A router stays within its share of the retry budget in every window") {
  RetryBudgetSettings settings;
  settings.share = 0.2;
  settings.slack = 50;
  RetryBudget budget(settings, 1);
  const ServiceName service("desk");
  const auto update = [&budget, &service](std::uint64_t sequence, TimePoint now) {
    constexpr std::uint32_t kPartOfSlack = 10;
    budget.report({}, now);
    budget.onStatusSent(sequence, now);
    budget.accept({1, sequence, 3000, {{service, sequence * kPartOfSlack, kPartOfSlack}}}, now);
  };
  update(1, kStart);
  for (int i = 0; i < 100; ++i) {
    budget.onCall(service, kStart);
  }
  int spent = 0;
  while (budget.spend(service, kStart)) {
    ++spent;
  }
  CHECK(spent <= 30);
  CHECK(spent >= 15);
  CHECK_FALSE(budget.spend(service, kStart + 9s));
  update(2, kStart + 11s);
  CHECK(budget.spend(service, kStart + 11s));
}

ReplicaNeed need(const std::string& service, std::uint64_t affinity = 0) {
  ReplicaNeed wanted;
  wanted.service = ServiceName(service);
  wanted.affinity_key = affinity;
  return wanted;
}

TEST_CASE("Calls spread over equal replicas, and calls of one key share a home until it is much busier") {
  ReplicaTable table(ZoneName(""), 3);
  wire::ServiceUpdate update;
  update.replicas = {CallFixture::replica("r1"), CallFixture::replica("r2"), CallFixture::replica("r3")};
  table.apply(update, kStart);
  for (int i = 0; i < 9; ++i) {
    table.onSent(*table.choose(need("desk"), kStart).replica, kStart);
  }
  for (const char* id : {"r1", "r2", "r3"}) {
    CHECK(table.find(ReplicaId(id))->outstanding == 3);
  }
  Replica* home = table.choose(need("desk", 77), kStart).replica;
  CHECK(table.choose(need("desk", 77), kStart).replica == home);
  for (int i = 0; i < 8; ++i) {
    table.onSent(*home, kStart);
  }
  CHECK(table.choose(need("desk", 77), kStart).replica != home);
}

TEST_CASE("Calls of one key from many routers with small engines don't all go to the same replica") {
  constexpr std::uint32_t kRouters = 64;
  constexpr std::uint32_t kSlots = 12;
  std::map<ReplicaId, int> calls;
  for (std::uint32_t router = 0; router < kRouters; ++router) {
    ReplicaTable table(ZoneName(""), stableHash(std::to_string(router), 1));
    table.setRouters(kRouters);
    wire::ServiceUpdate update;
    for (const char* id : {"r1", "r2", "r3", "r4"}) {
      update.replicas.push_back(CallFixture::replica(id));
      update.replicas.back().slots = kSlots;
    }
    table.apply(update, kStart);
    const Replica* home = table.choose(need("desk", 77), kStart).replica;
    CHECK(table.choose(need("desk", 77), kStart).replica == home);
    ++calls[home->routed.id];
  }
  for (const auto& [id, count] : calls) {
    CHECK(count <= static_cast<int>(kRouters) / 2);
  }
}

TEST_CASE("An ejected replica is avoided unless no other is left") {
  ReplicaTable table(ZoneName(""), 3);
  wire::ServiceUpdate update;
  update.replicas = {CallFixture::replica("r1"), CallFixture::replica("r2")};
  table.apply(update, kStart);
  Random random(1);
  table.find(ReplicaId("r1"))->health.onFailure(router::HealthFailure::Unreachable, kStart, random);
  for (int i = 0; i < 5; ++i) {
    CHECK(table.choose(need("desk"), kStart).replica->routed.id == ReplicaId("r2"));
  }
  table.find(ReplicaId("r2"))->health.onFailure(router::HealthFailure::Unreachable, kStart, random);
  CHECK(table.choose(need("desk"), kStart).replica != nullptr);
}

TEST_CASE("A replica that accepts calls again is reopened step by step and keeps its calls in flight") {
  ReplicaTable table(ZoneName(""), 3);
  wire::ServiceUpdate update;
  update.replicas = {CallFixture::replica("r1")};
  table.apply(update, kStart);
  Replica& replica = *table.find(ReplicaId("r1"));
  table.onSent(replica, kStart);
  update.replicas.front().accepting = false;
  table.apply(update, kStart);
  CHECK(table.choose(need("desk"), kStart).replica == nullptr);
  CHECK(replica.outstanding == 1);
  update.replicas.front().accepting = true;
  const TimePoint back = kStart + std::chrono::seconds(20);
  table.apply(update, back);
  REQUIRE(table.choose(need("desk"), back).replica == &replica);
  const auto first = table.onSent(replica, back);
  REQUIRE(first.has_value());
  CHECK(table.choose(need("desk"), back).replica == nullptr);
  table.notices().onAccepted(ReplicaId("r1"), first->round);
  CHECK(table.choose(need("desk"), back).replica == &replica);
  table.onSent(replica, back);
  CHECK(table.choose(need("desk"), back).replica == &replica);
  table.onSent(replica, back);
  CHECK(table.choose(need("desk"), back).replica == nullptr);
}

TEST_CASE("An unlisted replica is removed after its last attempt has ended") {
  ReplicaTable table(ZoneName(""), 3);
  wire::ServiceUpdate update;
  update.replicas = {CallFixture::replica("r1")};
  table.apply(update, kStart);
  Replica& replica = *table.find(ReplicaId("r1"));
  table.onSent(replica, kStart);
  wire::ServiceUpdate gone;
  gone.base = LogIndex{1};
  gone.removed = {ReplicaId("r1")};
  table.apply(gone, kStart);
  CHECK(table.choose(need("desk"), kStart).failure == ChoiceFailure::NoReplica);
  REQUIRE(table.find(ReplicaId("r1")) != nullptr);
  table.onReleased(replica);
  CHECK(table.find(ReplicaId("r1")) == nullptr);
}

TEST_CASE("A restarted replica starts without state, and an earlier incarnation doesn't replace it") {
  ReplicaTable table(ZoneName(""), 3);
  const auto list = [&table](std::uint64_t start_ms) {
    wire::ServiceUpdate update;
    update.base = LogIndex{1};
    update.replicas = {CallFixture::replica("r1")};
    update.replicas[0].id = wire::replicaIncarnationId("r1", start_ms);
    update.replicas[0].held = {{ModelName("m"), {}}};
    table.apply(update, kStart);
    return table.find(update.replicas[0].id);
  };
  Replica* former = list(1000);
  former->recordMissing(ModelName("m"), {}, kStart);
  former->recordGap(ModelName("m"), 700ms);
  table.onSent(*former, kStart);
  Replica* present = list(2000);
  REQUIRE(present != nullptr);
  CHECK(present->outstanding == 0);
  CHECK(present->missing.empty());
  CHECK(present->gapOf(ModelName("m")) == Duration::zero());
  ReplicaNeed wanted = need("desk");
  wanted.model = ModelName("m");
  CHECK(table.choose(wanted, kStart).replica == present);
  CHECK(table.find(wire::replicaIncarnationId("r1", 1000)) != nullptr);  // until its attempt has ended
  table.onReleased(*table.find(wire::replicaIncarnationId("r1", 1000)));
  CHECK(list(1000) == nullptr);
  CHECK(table.size() == 1);
}

TEST_CASE("Hosts match without port and case, and paths by the longest prefix of whole segments") {
  wire::ServiceCatalog catalog = CallFixture::catalog(1);
  wire::CallRoute nested = catalog.routes.front();
  nested.name = RouteName("nested");
  nested.path_prefix = "/safe/inner/";
  catalog.routes.push_back(nested);
  const RouteTable table(catalog);
  CHECK(table.find("EXAMPLE:8080", "/safe/x")->name == RouteName("/safe/"));
  CHECK(table.find("example", "/safe/inner/x")->name == RouteName("nested"));
  CHECK(table.find("example", "/safe/inner")->name == RouteName("/safe/"));
  CHECK(table.find("example", "/safe") == nullptr);
  CHECK(table.find("other", "/safe/x") == nullptr);
}

}  // namespace
}  // namespace ferryrock::calls
