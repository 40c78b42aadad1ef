#include <catch2/catch.hpp>

#include "balance/load_key.h"
#include "services/partitioned_fleet.h"
#include "services/router_directory.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::seconds(1000)};

wire::CallRouterStatus statusOf(const std::string& router, std::uint64_t sequence) {
  wire::CallRouterStatus status;
  status.router = NodeName(router);
  status.incarnation = 1;
  status.sequence = sequence;
  status.accepting = true;
  return status;
}

TEST_CASE("Partitioned routers don't take replicas out of placement for the others") {
  const auto kind = GENERATE(PartitionKind::Silent, PartitionKind::Reset, PartitionKind::Refused);
  INFO("kind " << static_cast<int>(kind));
  PartitionedFleet fleet(9, 4, 21);
  fleet.callFor(5s, 40, false);
  fleet.partition({0, 1, 2}, kind);
  for (int i = 0; i < 60; ++i) {
    fleet.callFor(200ms, 40, false);
    CHECK(fleet.cluster.leader()->control->fleet(fleet.cluster.now()).unreachable == 0);
  }
}

TEST_CASE("A replica that another router had a response of isn't unreachable, one that none reaches is") {
  RouterDirectory directory;
  wire::CallRouterStatus cut_off = statusOf("edge-1", 1);
  cut_off.unreachable = {ReplicaId("r1"), ReplicaId("r2")};
  directory.accept(cut_off, kStart);
  wire::CallRouterStatus other = statusOf("edge-2", 1);
  other.local_loads = {{balance::loadKey("r1"), 1, 0, 0, true}, {balance::loadKey("r2"), 1, 0, 0, false}};
  directory.accept(other, kStart);
  CHECK(directory.unreachable(kStart + 100ms) == std::set<ReplicaId>{ReplicaId("r2")});
  CHECK(directory.unreachable(kStart + 700ms) == std::set<ReplicaId>{ReplicaId("r1"), ReplicaId("r2")});
}

TEST_CASE("The reports of a router that reaches no replica don't count, and no calls are relayed by it") {
  RouterDirectory directory;
  wire::CallRouterStatus partitioned = statusOf("edge-1", 1);
  partitioned.unreachable = {ReplicaId("r1")};
  partitioned.partitioned = true;
  partitioned.relay_address = "edge-1:90";
  directory.accept(partitioned, kStart);
  wire::CallRouterStatus other = statusOf("edge-2", 1);
  other.relay_address = "edge-2:90";
  directory.accept(other, kStart);
  directory.accept(statusOf("edge-3", 1), kStart);
  CHECK(directory.unreachable(kStart).empty());
  CHECK(directory.partitionedCount(kStart) == 1);
  const auto relays = chooseRelays(directory.relayCandidates(ZoneName(""), kStart), NodeName("edge-1"));
  REQUIRE(relays.size() == 1);
  CHECK(relays.front().router == NodeName("edge-2"));
  CHECK(chooseRelays(directory.relayCandidates(ZoneName(""), kStart), NodeName("edge-2")).empty());
}

TEST_CASE("Relays are a few of the router's zone and a few of other zones") {
  RouterDirectory directory;
  for (int i = 0; i < 400; ++i) {
    wire::CallRouterStatus status = statusOf("edge-" + std::to_string(i), 1);
    status.zone = ZoneName("z" + std::to_string(i % 4));
    status.relay_address = status.router.value + ":90";
    directory.accept(status, kStart);
  }
  std::set<NodeName> used;
  for (int i = 0; i < 400; i += 4) {
    const NodeName router("edge-" + std::to_string(i));
    const auto relays = chooseRelays(directory.relayCandidates(ZoneName("z0"), kStart), router);
    REQUIRE(relays.size() == 6);
    for (const wire::RelayRouter& relay : relays) {
      CHECK(relay.router != router);
      used.insert(relay.router);
    }
    CHECK(relays[0].zone == ZoneName("z0"));
    CHECK(relays[5].zone != ZoneName("z0"));
  }
  CHECK(used.size() > 80);
}

}  // namespace
}  // namespace ferryrock::services
