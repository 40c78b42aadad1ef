#include "calls/relay_routers.h"

#include <catch2/catch.hpp>

#include "calls/direct_paths.h"

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::seconds(1000)};
const ServiceName kService("desk");

wire::RelayRouter relay(const std::string& name, const std::string& zone) {
  return {NodeName(name), ZoneName(zone), name + ":90"};
}

TEST_CASE("Relays of the local zone are used first, the one with the fewest attempts before others") {
  RelayRouters relays(ZoneName("a"));
  CHECK_FALSE(relays.choose(kService, kStart));
  relays.set({relay("far", "b"), relay("near-1", "a"), relay("near-2", "a")});
  const NodeName first = relays.choose(kService, kStart)->router;
  relays.onSent(first);
  const NodeName second = relays.choose(kService, kStart)->router;
  CHECK(first != second);
  CHECK(second != NodeName("far"));
  relays.onFailure(NodeName("near-1"), kStart);
  relays.onFailure(NodeName("near-2"), kStart);
  CHECK(relays.choose(kService, kStart)->router == NodeName("far"));
}

TEST_CASE("A relay that keeps failing is left out for longer each time, until it forwards an attempt") {
  RelayRouters relays(ZoneName("a"));
  relays.set({relay("one", "a")});
  relays.onFailure(NodeName("one"), kStart);
  CHECK_FALSE(relays.anyAvailable(kService, kStart + 200ms));
  CHECK(relays.anyAvailable(kService, kStart + 250ms));
  relays.onFailure(NodeName("one"), kStart + 250ms);
  CHECK_FALSE(relays.anyAvailable(kService, kStart + 700ms));
  relays.set({relay("one", "a")});
  CHECK_FALSE(relays.anyAvailable(kService, kStart + 700ms));
  relays.onForwarded(NodeName("one"), kService);
  CHECK(relays.anyAvailable(kService, kStart + 700ms));
  relays.set({});
  CHECK_FALSE(relays.anyAvailable(kService, kStart + 700ms));
}

TEST_CASE("A relay that can't reach one service still relays to others") {
  RelayRouters relays(ZoneName("a"));
  relays.set({relay("one", "a")});
  relays.onUnreachable(NodeName("one"), kService, kStart);
  CHECK_FALSE(relays.anyAvailable(kService, kStart + 200ms));
  CHECK(relays.anyAvailable(ServiceName("llm"), kStart + 200ms));
  CHECK(relays.anyAvailable(kService, kStart + 250ms));
}

TEST_CASE("Several unreachable replicas without any progress make a partition, and any progress ends it") {
  DirectPaths paths;
  paths.onProgress(kStart);
  paths.onUnreachable("r1:80", kStart);
  paths.onUnreachable("r1:80", kStart);
  CHECK_FALSE(paths.isPartitioned());
  paths.onUnreachable("r2:80", kStart);
  CHECK(paths.isPartitioned());
  paths.onProgress(kStart + 1s);
  CHECK_FALSE(paths.isPartitioned());
}

TEST_CASE("Replicas that are all silent put the router in doubt, one silent replica doesn't") {
  DirectPaths paths;
  paths.onProgress(kStart);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    paths.onSent(AttemptNumber{i}, ReplicaId("r1"), kStart);
  }
  CHECK_FALSE(paths.isSuspect(kStart + 2s));
  paths.onSent(AttemptNumber{4}, ReplicaId("r2"), kStart);
  CHECK_FALSE(paths.isSuspect(kStart + 600ms));
  CHECK(paths.isSuspect(kStart + 700ms));
  paths.onProgress(kStart + 800ms);
  CHECK_FALSE(paths.isSuspect(kStart + 900ms));
  for (std::uint64_t i = 1; i <= 4; ++i) {
    paths.onReleased(AttemptNumber{i});
  }
  CHECK_FALSE(paths.isSuspect(kStart + 5s));
}

}  // namespace
}  // namespace ferryrock::calls
