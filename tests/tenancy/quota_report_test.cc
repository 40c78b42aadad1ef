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

}  // namespace
}  // namespace ferryrock::tenancy
