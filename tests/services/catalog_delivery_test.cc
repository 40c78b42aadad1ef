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
struct Deployment {
  explicit Deployment(std::uint64_t seed, std::size_t router_count = 2) : cluster(3, 2, seed) {
    cluster.addMember("10.0.0.4:7000");
    cluster.addMember("10.0.0.5:7000");
    REQUIRE(cluster.runUntil([this] { return voters() == 5; }));
    for (std::size_t i = 1; i <= router_count; ++i) {
      routers.push_back(&cluster.addCallRouter("edge-" + std::to_string(i)));
    }
    REQUIRE(cluster.replaceAcknowledged(1));
    REQUIRE(cluster.runUntil([this] { return everywhere(1); }));
    cluster.runFor(2s);
  }
  std::size_t voters() {
    ServiceMember* member = cluster.leader();
    return member == nullptr ? 0 : member->control->view(cluster.now()).voters;
  }
  bool everywhere(std::uint64_t version) const {
    return std::all_of(routers.begin(), routers.end(), [version](const RunningRouter* router) {
      return router->logic->catalogVersion() >= CatalogVersion{version};
    });
  }
  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
};

TEST_CASE("A silent connection between a router and the leader doesn't delay a catalog beyond the limit") {
  const auto before = GENERATE(0ms, 100ms, 400ms, 900ms, 1500ms, 2900ms);
  INFO("silent " << before.count() << " ms before the acknowledgement");
  Deployment deployment(7);
  deployment.cluster.silence(deployment.routers.front()->node, deployment.cluster.leader()->node);
  deployment.cluster.runFor(before);
  REQUIRE(deployment.cluster.replaceAcknowledged(2));
  deployment.cluster.runFor(kInForceWithin);
  CHECK(deployment.everywhere(2));
}

TEST_CASE("A router cut off from the leader gets each catalog in time from the other members") {
  Deployment deployment(7);
  deployment.cluster.cutLink(deployment.routers.front()->node, deployment.cluster.leader()->node);
  for (std::uint64_t version = 2; version <= 6; ++version) {
    REQUIRE(deployment.cluster.replaceAcknowledged(version));
    deployment.cluster.runFor(kInForceWithin);
    CHECK(deployment.everywhere(version));
  }
}

TEST_CASE("A router reconnects and gets a catalog in time after all its connections went silent") {
  Deployment deployment(7);
  for (std::size_t i = 0; i < 5; ++i) {
    deployment.cluster.silence(deployment.routers.front()->node, deployment.cluster.member(i).node);
  }
  REQUIRE(deployment.cluster.replaceAcknowledged(2));
  deployment.cluster.runFor(kInForceWithin);
  CHECK(deployment.everywhere(2));
}

TEST_CASE("A leader crash right after the acknowledgement leaves no router on an older catalog") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Deployment deployment(seed);
    ServiceMember& leader = *deployment.cluster.leader();
    deployment.cluster.silence(deployment.routers.front()->node, leader.node);
    REQUIRE(deployment.cluster.replaceAcknowledged(2));
    deployment.cluster.kill(leader);
    deployment.cluster.runFor(kInForceWithin);
    CHECK(deployment.everywhere(2));
  }
}

TEST_CASE("Repeated silent connections at random don't delay any acknowledged catalog beyond the limit") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Deployment deployment(seed, 4);
    Random random(seed);
    for (std::uint64_t version = 2; version <= 12; ++version) {
      for (RunningRouter* router : deployment.routers) {
        if (random.below(2) == 0) {
          deployment.cluster.silence(router->node, deployment.cluster.member(random.below(5)).node);
        }
      }
      deployment.cluster.runFor(std::chrono::milliseconds(random.below(1500)));
      REQUIRE(deployment.cluster.replaceAcknowledged(version));
      deployment.cluster.runFor(kInForceWithin);
      CHECK(deployment.everywhere(version));
    }
  }
}

TEST_CASE("Followers send a catalog only to routers that the leader can't reach") {
  Deployment deployment(7);
  const std::size_t before = deployment.cluster.catalogs_by_others;
  for (std::uint64_t version = 2; version <= 9; ++version) {
    REQUIRE(deployment.cluster.replaceAcknowledged(version));
    deployment.cluster.runFor(1700ms);
  }
  CHECK(deployment.cluster.catalogs_by_others == before);
}

TEST_CASE("A router without any catalog gets its first one from the leader, together with the replicas") {
  Deployment deployment(7);
  RunningRouter& fresh = deployment.cluster.addCallRouter("edge-9");
  deployment.cluster.silence(fresh.node, deployment.cluster.leader()->node);
  deployment.cluster.runFor(1s);
  CHECK_FALSE(fresh.logic->ready());
  CHECK(deployment.cluster.catalogs_by_others == 0);
  CHECK(deployment.cluster.runUntil([&] { return fresh.logic->ready(); }, 2s));
}

}  // namespace
}  // namespace ferryrock::services
