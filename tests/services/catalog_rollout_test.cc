#include "services/catalog_rollout.h"

#include <catch2/catch.hpp>

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr Duration kContactTimeout = 3s;

struct Fleet {
  void addStatus(const std::string& router, std::uint64_t version) {
    RouterRecord& record = routers[NodeName(router)];
    record.status.catalog = CatalogVersion{version};
    record.last_contact = now;
  }
  std::optional<CatalogRolloutEffect> poll(std::uint64_t version) {
    return rollout.poll(CatalogVersion{version}, routers, now);
  }
  TimePoint now{1000s};
  std::map<NodeName, RouterRecord> routers;
  CatalogRollout rollout{kContactTimeout};
};

TEST_CASE("A completed catalog rollout to all routers in contact is reported exactly once") {
  Fleet fleet;
  fleet.addStatus("edge-1", 4);
  fleet.addStatus("edge-2", 4);
  CHECK_FALSE(fleet.poll(5));
  fleet.now += 60ms;
  fleet.addStatus("edge-1", 5);
  CHECK_FALSE(fleet.poll(5));
  fleet.now += 60ms;
  fleet.addStatus("edge-2", 5);
  const auto rollout = fleet.poll(5);
  REQUIRE(rollout);
  CHECK(rollout->behind == 0);
  CHECK(rollout->routers == 2);
  CHECK(rollout->since == 120ms);
  fleet.now += 5s;
  CHECK_FALSE(fleet.poll(5));
}

TEST_CASE("A router that stays on an older catalog is reported once a second until it is out of contact") {
  Fleet fleet;
  fleet.addStatus("edge-1", 4);
  fleet.addStatus("edge-2", 5);
  CHECK_FALSE(fleet.poll(5));
  fleet.now += 1s;
  fleet.addStatus("edge-2", 5);
  const auto rollout = fleet.poll(5);
  REQUIRE(rollout);
  CHECK(rollout->behind == 1);
  CHECK(rollout->router == NodeName("edge-1"));
  CHECK(rollout->held == CatalogVersion{4});
  CHECK(rollout->last_contact_age == 1s);
  fleet.now += 500ms;
  CHECK_FALSE(fleet.poll(5));
  fleet.now += 2s;
  fleet.addStatus("edge-2", 5);
  const auto later = fleet.poll(5);
  REQUIRE(later);
  CHECK(later->behind == 0);
  CHECK(later->routers == 1);
}

}  // namespace
}  // namespace ferryrock::services
