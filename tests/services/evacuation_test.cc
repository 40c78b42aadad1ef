#include <catch2/catch.hpp>
#include <string>

#include "services/service_cluster.h"

/// Tests of the evacuation and restoration of zones, combined with the loss of leaders, members, disks and
/// routers.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

/// Maximum time until connected routers apply an evacuation.
constexpr Duration kMaxPropagationDelay = 2500ms;

struct ZonedFleet {
  explicit ZonedFleet(std::uint64_t seed = 7, std::size_t members = 3, std::uint32_t losses = 1)
      : cluster(members, losses, seed), router(cluster.addRouter("edge-1")) {
    REQUIRE(cluster.runUntil([this] { return cluster.leader() != nullptr; }));
    REQUIRE(cluster.replaceAcknowledged(1));
    reportPeriodically();
    cluster.runFor(500ms);
    REQUIRE(open("a1"));
    REQUIRE(open("b1"));
  }
  static wire::ReplicaReport reportOf(const std::string& id, std::uint64_t sequence) {
    wire::ReplicaReport report = makeReport(id, "llm", sequence);
    report.zone = ZoneName(id.substr(0, 1));
    return report;
  }
  /// All replicas report to the leader each second.
  void reportPeriodically() {
    ++sequence;
    if (ServiceMember* leader = cluster.leader()) {
      for (const char* id : {"a1", "a2", "b1", "b2"}) {
        wire::ReplicaReport report = reportOf(id, sequence);
        report.held = {{ModelName(id[1] == '1' ? "m0" : "m1"), {}}};
        cluster.report(*leader, report);
      }
    }
    cluster.schedule(1s, [this] { reportPeriodically(); });
  }
  bool open(const std::string& id) const {
    const auto found = router.replicas.find(ReplicaId(id));
    return found != router.replicas.end() && found->second.accepting;
  }
  ServiceCluster cluster;
  ScriptedRouter& router;
  std::uint64_t sequence = 0;
};

TEST_CASE("An evacuation closes the zone's present and later replicas at routers, and its stop opens them") {
  ZonedFleet fleet;
  REQUIRE(fleet.cluster.evacuateAcknowledged("a", true));
  fleet.cluster.runFor(kMaxPropagationDelay);
  CHECK_FALSE(fleet.open("a1"));
  CHECK_FALSE(fleet.open("a2"));
  CHECK(fleet.open("b1"));
  fleet.cluster.report(*fleet.cluster.leader(), ZonedFleet::reportOf("a3", 1));
  fleet.cluster.runFor(500ms);
  REQUIRE(fleet.router.replicas.contains(ReplicaId("a3")));
  CHECK_FALSE(fleet.open("a3"));
  REQUIRE(fleet.cluster.evacuateAcknowledged("a", false));
  fleet.cluster.runFor(kMaxPropagationDelay);
  CHECK(fleet.open("a1"));
  CHECK(fleet.open("a2"));
}

TEST_CASE("The last request per zone decides when evacuations are repeated, overtaken or overlapping") {
  struct Step {
    const char* zone;
    bool evacuated;
  };
  struct Case {
    const char* name;
    std::vector<Step> steps;
    bool a_open;
    bool b_open;
  };
  const Case cases[] = {
      {"started twice", {{"a", true}, {"a", true}}, false, true},
      {"stopped without a start", {{"a", false}}, true, true},
      {"stopped before the start is in force", {{"a", true}, {"a", false}}, true, true},
      {"stopped twice", {{"a", true}, {"a", false}, {"a", false}}, true, true},
      {"two zones, which contain all replicas of the service", {{"a", true}, {"b", true}}, false, false},
      {"two zones, one restored", {{"a", true}, {"b", true}, {"a", false}}, true, false},
  };
  for (const Case& one : cases) {
    INFO(one.name);
    ZonedFleet fleet;
    for (const Step& step : one.steps) {
      REQUIRE(fleet.cluster.evacuateAcknowledged(step.zone, step.evacuated));
    }
    fleet.cluster.runFor(kMaxPropagationDelay);
    CHECK(fleet.open("a1") == one.a_open);
    CHECK(fleet.open("b1") == one.b_open);
  }
}

TEST_CASE("An unknown zone is refused, and only the leader changes zones") {
  ZonedFleet fleet;
  ServiceMember& leader = *fleet.cluster.leader();
  const std::uint64_t unknown = fleet.cluster.evacuate(leader, "nowhere", true);
  CHECK(ServiceCluster::codeOf(leader, unknown) == ResultCode::UnknownZone);
  fleet.cluster.runFor(200ms);
  ServiceMember& follower =
      &fleet.cluster.member(0) == &leader ? fleet.cluster.member(1) : fleet.cluster.member(0);
  const std::uint64_t elsewhere = fleet.cluster.evacuate(follower, "a", true);
  fleet.cluster.runFor(100ms);
  CHECK(ServiceCluster::codeOf(follower, elsewhere) == ResultCode::NotLeader);
  CHECK(follower.answers[elsewhere].leader == leader.node.value);
}

TEST_CASE("An evacuation survives the leader's failure without the zone opening at any router") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    ZonedFleet fleet(seed);
    REQUIRE(fleet.cluster.evacuateAcknowledged("a", true));
    fleet.cluster.runFor(1s);
    CHECK_FALSE(fleet.open("a1"));
    ServiceMember& former = *fleet.cluster.leader();
    fleet.cluster.kill(former);
    for (int i = 0; i < 400; ++i) {
      fleet.cluster.runFor(10ms);
      REQUIRE_FALSE(fleet.open("a1"));
    }
    REQUIRE(fleet.cluster.leader() != nullptr);
    CHECK(fleet.open("b1"));
  }
}

TEST_CASE("An evacuation acknowledged just before the leader fails takes effect under the next leader") {
  ZonedFleet fleet;
  ServiceMember& former = *fleet.cluster.leader();
  const std::uint64_t request_number = fleet.cluster.evacuate(former, "a", true);
  REQUIRE(
      fleet.cluster.runUntil([&] { return ServiceCluster::codeOf(former, request_number).has_value(); }, 1s));
  REQUIRE(ServiceCluster::codeOf(former, request_number) == ResultCode::Ok);
  fleet.cluster.kill(former);
  fleet.cluster.runFor(5s);
  CHECK_FALSE(fleet.open("a1"));
  CHECK(fleet.open("b1"));
}

TEST_CASE("A disconnected router closes the zone with the first update after it reconnects") {
  ZonedFleet fleet;
  fleet.cluster.isolate(fleet.router.status.router);
  REQUIRE(fleet.cluster.evacuateAcknowledged("a", true));
  fleet.cluster.runFor(2s);
  CHECK(fleet.open("a1"));
  fleet.cluster.heal();
  fleet.cluster.runFor(500ms);
  CHECK_FALSE(fleet.open("a1"));
}

TEST_CASE("An evacuation survives snapshots, restarts and a power loss of all members") {
  constexpr std::uint64_t kCatalogs = 60;  // more entries than a member's log retains
  ZonedFleet fleet;
  REQUIRE(fleet.cluster.evacuateAcknowledged("a", true));
  for (std::uint64_t version = 2; version <= kCatalogs; ++version) {
    REQUIRE(fleet.cluster.replaceAcknowledged(version));
  }
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.cluster.powerOff(fleet.cluster.member(i));
  }
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.cluster.start(fleet.cluster.member(i));
  }
  REQUIRE(fleet.cluster.runUntil([&] { return fleet.cluster.leader() != nullptr; }));
  fleet.cluster.runFor(3s);
  const std::vector<ZoneName> zones = fleet.cluster.leader()->control->evacuatedZones();
  CHECK(zones == std::vector<ZoneName>{ZoneName("a")});
  CHECK_FALSE(fleet.open("a1"));
}

TEST_CASE("An acknowledged evacuation survives one wiped disk and a power loss of all members") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    ZonedFleet fleet(seed);
    REQUIRE(fleet.cluster.evacuateAcknowledged("a", true));
    for (std::size_t i = 0; i < 3; ++i) {
      fleet.cluster.powerOff(fleet.cluster.member(i));
    }
    fleet.cluster.wipe(fleet.cluster.member(seed % 3));
    for (std::size_t i = 0; i < 3; ++i) {
      fleet.cluster.start(fleet.cluster.member(i));
    }
    REQUIRE(fleet.cluster.runUntil([&] { return fleet.cluster.leader() != nullptr; }));
    fleet.cluster.runFor(3s);
    CHECK(fleet.cluster.leader()->control->evacuatedZones().size() == 1);
  }
}

TEST_CASE("An evacuated zone gets no models, and a model in use there gets a copy elsewhere") {
  ZonedFleet fleet;
  fleet.cluster.runFor(5s);  // orders of an earlier leader may be in progress until then
  fleet.cluster.report(*fleet.cluster.leader(), [] {
    wire::ReplicaReport report = ZonedFleet::reportOf("a9", 1);
    report.held = {{ModelName("m2"), {}}};
    return report;
  }());
  fleet.router.model_calls = {{ServiceName("llm"), ModelName("m2"), "", 0, 1, 1}};
  fleet.cluster.runFor(1s);
  fleet.cluster.orders.clear();
  REQUIRE(fleet.cluster.evacuateAcknowledged("a", true));
  fleet.cluster.runFor(500ms);
  REQUIRE_FALSE(fleet.cluster.orders.empty());
  for (const auto& [node, order] : fleet.cluster.orders) {
    CHECK(order.replica.value.front() == 'b');
    CHECK(order.model == ModelName("m2"));
  }
}

}  // namespace
}  // namespace ferryrock::services
