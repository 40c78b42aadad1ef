#include <algorithm>
#include <catch2/catch.hpp>

#include "services/service_cluster.h"

/// Time from the acknowledgement of a catalog until it is in force at all routers, while connections fail.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

/// Strictest required limit from the acknowledgement of a catalog until it is in force everywhere.
constexpr Duration kInForceWithin = 2s;

/// A cell of five voters and real routers, in which catalog 1 is in force everywhere.
struct CatalogFixture {
  explicit CatalogFixture(std::uint64_t seed, std::size_t router_count = 2) : cluster(3, 2, seed) {
    cluster.addMember("10.0.0.4:7000");
    cluster.addMember("10.0.0.5:7000");
    REQUIRE(cluster.runUntil([this] { return voters() == 5; }));
    for (std::size_t i = 1; i <= router_count; ++i) {
      routers.push_back(&cluster.addCallRouter("edge-" + std::to_string(i)));
    }
    REQUIRE(cluster.replaceAcknowledged(1));
    REQUIRE(cluster.runUntil([this] { return inForceEverywhere(1); }));
    cluster.runFor(2s);
  }
  std::size_t voters() {
    ServiceMember* member = cluster.leader();
    return member == nullptr ? 0 : member->control->view(cluster.now()).voters;
  }
  bool inForceEverywhere(std::uint64_t version) const {
    return std::all_of(routers.begin(), routers.end(), [version](const RunningRouter* router) {
      return router->logic->catalogVersion() >= CatalogVersion{version};
    });
  }
  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
};

TEST_CASE("A silent connection between a router and the leader doesn't delay a catalog beyond the limit") {
  const auto silent_for = GENERATE(0ms, 100ms, 400ms, 900ms, 1500ms, 2900ms);
  INFO("silent " << silent_for.count() << " ms before the acknowledgement");
  CatalogFixture fixture(7);
  fixture.cluster.silence(fixture.routers.front()->node, fixture.cluster.leader()->node);
  fixture.cluster.runFor(silent_for);
  REQUIRE(fixture.cluster.replaceAcknowledged(2));
  fixture.cluster.runFor(kInForceWithin);
  CHECK(fixture.inForceEverywhere(2));
}

TEST_CASE("A router cut off from the leader gets each catalog in time from the other members") {
  CatalogFixture fixture(7);
  fixture.cluster.cutLink(fixture.routers.front()->node, fixture.cluster.leader()->node);
  for (std::uint64_t version = 2; version <= 6; ++version) {
    REQUIRE(fixture.cluster.replaceAcknowledged(version));
    fixture.cluster.runFor(kInForceWithin);
    CHECK(fixture.inForceEverywhere(version));
  }
}

TEST_CASE("A router reconnects and gets a catalog in time after all its connections went silent") {
  CatalogFixture fixture(7);
  for (std::size_t i = 0; i < 5; ++i) {
    fixture.cluster.silence(fixture.routers.front()->node, fixture.cluster.member(i).node);
  }
  REQUIRE(fixture.cluster.replaceAcknowledged(2));
  fixture.cluster.runFor(kInForceWithin);
  CHECK(fixture.inForceEverywhere(2));
}

TEST_CASE("A leader crash right after the acknowledgement leaves no router on an older catalog") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    CatalogFixture fixture(seed);
    ServiceMember& leader = *fixture.cluster.leader();
    fixture.cluster.silence(fixture.routers.front()->node, leader.node);
    REQUIRE(fixture.cluster.replaceAcknowledged(2));
    fixture.cluster.kill(leader);
    fixture.cluster.runFor(kInForceWithin);
    CHECK(fixture.inForceEverywhere(2));
  }
}

TEST_CASE("Repeated silent connections at random don't delay any acknowledged catalog beyond the limit") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    CatalogFixture fixture(seed, 4);
    Random random(seed);
    for (std::uint64_t version = 2; version <= 12; ++version) {
      for (RunningRouter* router : fixture.routers) {
        if (random.below(2) == 0) {
          fixture.cluster.silence(router->node, fixture.cluster.member(random.below(5)).node);
        }
      }
      fixture.cluster.runFor(std::chrono::milliseconds(random.below(1500)));
      REQUIRE(fixture.cluster.replaceAcknowledged(version));
      fixture.cluster.runFor(kInForceWithin);
      CHECK(fixture.inForceEverywhere(version));
    }
  }
}

TEST_CASE("Followers send a catalog only to routers that the leader can't reach") {
  CatalogFixture fixture(7);
  const std::size_t before = fixture.cluster.catalogs_by_others;
  for (std::uint64_t version = 2; version <= 9; ++version) {
    REQUIRE(fixture.cluster.replaceAcknowledged(version));
    fixture.cluster.runFor(1700ms);
  }
  CHECK(fixture.cluster.catalogs_by_others == before);
}

TEST_CASE("A router without any catalog gets its first one from the leader, together with the replicas") {
  CatalogFixture fixture(7);
  RunningRouter& fresh = fixture.cluster.addCallRouter("edge-9");
  fixture.cluster.silence(fresh.node, fixture.cluster.leader()->node);
  fixture.cluster.runFor(1s);
  CHECK_FALSE(fresh.logic->ready());
  CHECK(fixture.cluster.catalogs_by_others == 0);
  CHECK(fixture.cluster.runUntil([&] { return fresh.logic->ready(); }, 2s));
}

}  // namespace
}  // namespace ferryrock::services
