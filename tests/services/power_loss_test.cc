#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "services/service_cluster.h"

/// The most disks that may be lost are lost while all other machines lose power at the same moment: voters,
/// members that wait to become voters, and routers. Each disk keeps an arbitrary part of its unsynced writes.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kVoters = 5;
constexpr std::size_t kWaitingMembers = 2;

struct PowerlessFleet {
  explicit PowerlessFleet(std::uint64_t seed) : cluster(3, 2, seed) {
    for (std::size_t i = 3; i < kVoters + kWaitingMembers; ++i) {
      cluster.addMember("10.0.0." + std::to_string(i + 1) + ":7000");
    }
    REQUIRE(cluster.runUntil([this] { return voters() == kVoters; }));
    routers = {&cluster.addCallRouter("10.0.1.1:80"), &cluster.addCallRouter("10.0.1.2:80")};
  }
  std::size_t voters() {
    ServiceMember* member = cluster.leader();
    return member == nullptr ? 0 : member->control->view(cluster.now()).voters;
  }
  void reportZone() {
    wire::ReplicaReport report = makeReport("a1", "desk", ++reports);
    report.zone = ZoneName("a");
    cluster.report(*cluster.leader(), report);
    cluster.runFor(200ms);
  }
  void losePowerAndDisks(std::size_t first, std::size_t second) {
    for (std::size_t i = 0; i < kVoters + kWaitingMembers; ++i) {
      cluster.powerOff(cluster.member(i));
    }
    cluster.wipe(cluster.member(first));
    cluster.wipe(cluster.member(second));
    for (RunningRouter* router : routers) {
      cluster.restart(*router);
    }
    for (std::size_t i = 0; i < kVoters + kWaitingMembers; ++i) {
      cluster.start(cluster.member(i));
    }
  }
  bool routersHold(std::uint64_t version) {
    return cluster.runUntil(
        [&] {
          return std::all_of(routers.begin(), routers.end(), [version](const RunningRouter* router) {
            return router->logic->catalogVersion() == CatalogVersion{version};
          });
        },
        10s);
  }

  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
  std::uint64_t reports = 0;
};

TEST_CASE("What was acknowledged survives two lost disks while all other machines lose power") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 4));
  for (std::size_t first = 0; first < kVoters + kWaitingMembers; ++first) {
    for (std::size_t second = first + 1; second < kVoters + kWaitingMembers; ++second) {
      INFO("seed " << seed << ", the disks of " << first << " and " << second);
      PowerlessFleet fleet(seed);
      std::uint64_t version = 1;
      bool evacuated = false;
      // The second time, members with emptied disks have just joined again.
      for (int round = 0; round < 2; ++round) {
        REQUIRE(fleet.cluster.replaceAcknowledged(++version));
        fleet.reportZone();
        evacuated = !evacuated;
        REQUIRE(fleet.cluster.evacuateAcknowledged("a", evacuated));
        REQUIRE(fleet.cluster.replaceAcknowledged(++version));
        fleet.losePowerAndDisks(first, second);
        CHECK(fleet.cluster.readConfirmed() == "catalog " + std::to_string(version));
        REQUIRE(fleet.cluster.leader() != nullptr);
        CHECK(fleet.cluster.leader()->control->evacuatedZones().size() == (evacuated ? 1 : 0));
        CHECK(fleet.routersHold(version));
        CHECK(fleet.cluster.runUntil([&] { return fleet.voters() == kVoters; }));
      }
    }
  }
}

}  // namespace
}  // namespace ferryrock::services
