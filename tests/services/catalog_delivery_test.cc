#include <algorithm>
#include <catch2/catch.hpp>

#include "services/service_cluster.h"

/// From the acknowledgement of a catalog to its being in force at the routers, while connections are lost.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

/// The users' shortest limit from an acknowledgement to a catalog's being in force everywhere.
constexpr Duration kInForceWithin = 2s;

/// Five voters and the product's own routers, which have catalog 1.
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

TEST_CASE("A router whose connection to the leader has gone silent has an acknowledged catalog in time") {
  const auto before = GENERATE(0ms, 100ms, 400ms, 900ms, 1500ms, 2900ms);
  INFO("silent " << before.count() << " ms before the acknowledgement");
  Deployment deployment(7);
  deployment.cluster.silence(deployment.routers.front()->node, deployment.cluster.leader()->node);
  deployment.cluster.runFor(before);
  REQUIRE(deployment.cluster.replaceAcknowledged(2));
  deployment.cluster.runFor(kInForceWithin);
  CHECK(deployment.everywhere(2));
}

}  // namespace
}  // namespace ferryrock::services
