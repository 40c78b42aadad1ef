#include <catch2/catch.hpp>

#include "tenancy/quota_client.h"
#include "tenancy/quota_world.h"

/// A router's reports to its leader, and how long the leader counts as present.
namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

const NodeName kLeader("control-1");
constexpr std::uint64_t kIncarnation = 7;

QuotaClient client() {
  QuotaClientSettings settings;
  settings.router = NodeName("edge-1");
  settings.incarnation = kIncarnation;
  settings.tolerance = kTolerance;
  return QuotaClient(settings);
}

/// Guards against an event loop that spins for as long as there is no leader to report to.
TEST_CASE("Charges that can't be sent for want of a leader are not due at once") {
  QuotaClient router = client();
  router.onUpdate(kLeader, {}, kStart);
  router.message(kLeader, kStart);
  router.request(1, limitedTenant(1000, 1000), 300, kStart + 100ms);
  const TimePoint now = kStart + 2s;
  router.tick(now);
  CHECK_FALSE(router.message(NodeName(), now).has_value());
  CHECK(router.nextDeadline() > now);
}

/// Guards against a router that grants on for longer than the leader holds its usage.
TEST_CASE("A router without a leader for longer than its usage is held grants nothing") {
  QuotaClient router = client();
  router.onUpdate(kLeader, {}, kStart);
  const wire::Tenant tenant = limitedTenant(1000, 1000);
  std::uint64_t number = 0;
  for (TimePoint now = kStart; now < kStart + 10s; now += 100ms) {
    router.onUpdate(kLeader, {}, now);
    REQUIRE(router.request(++number, tenant, 100, now).verdict == QuotaVerdict::Granted);
  }
  std::uint64_t granted = 0;
  std::uint64_t granted_late = 0;
  for (TimePoint now = kStart + 12s; now < kStart + 100s; now += 100ms) {
    const bool runs = router.request(++number, tenant, 100, now).verdict == QuotaVerdict::Granted;
    granted += runs ? 1 : 0;
    granted_late += runs && now > kStart + 10s + kMaxLeaderlessTime ? 1 : 0;
  }
  CHECK(granted > 0);
  CHECK(granted_late == 0);
}

}  // namespace
}  // namespace ferryrock::tenancy
