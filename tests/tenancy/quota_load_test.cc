#include <algorithm>
#include <catch2/catch.hpp>

#include "tenancy/quota_world.h"

/// What tenants get of their quotas over many routers, and that no more runs than the tolerance allows.
namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

/// A tenant within its limit and one at six times its usual share of it, before 87 routers.
struct LoadCase {
  const char* name;
  double per_second;
  double calls_per_second;
};

TEST_CASE(
    "A call within its tenant's limit is never refused, whatever the tenant's size, while a leader counts") {
  const auto load = GENERATE(LoadCase{"large", 180'000, 61}, LoadCase{"small", 2'700, 0.9});
  const auto seed = GENERATE(range(1, 9));
  const wire::Tenant tenant = limitedTenant(load.per_second, load.per_second);
  QuotaWorld world(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  world.run(20s, load.calls_per_second, 1'630);
  INFO(load.name << " with seed " << seed);
  CHECK(world.verdicts[QuotaVerdict::Unavailable] == 0);
  CHECK(world.refused_within == 0);
}

TEST_CASE("A tenant at six times its usual gets its quota and no more") {
  const auto load = GENERATE(LoadCase{"large", 180'000, 370}, LoadCase{"small", 2'700, 5.5});
  const auto seed = GENERATE(range(1, 9));
  const wire::Tenant tenant = limitedTenant(load.per_second, load.per_second);
  QuotaWorld world(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  world.run(4s, load.calls_per_second / 6, 1'630);
  world.run(12s, load.calls_per_second, 1'630);
  INFO(load.name << " with seed " << seed);
  CHECK(world.most(8s) <= allowed(tenant, kTolerance));
  CHECK(world.most(8s) >= 0.9 * load.per_second * 8);
}

/// The load of a tenant that sends at half of its limit and rises to 3.3 times it. What callers get in the
/// first two seconds of the rise, of what the limit allows in them: rate x window + burst less what ran in
/// the window before.
TEST_CASE("A tenant that rises has what it left unused of its limit, at once") {
  const auto seed = GENERATE(range(1, 9));
  const wire::Tenant tenant = limitedTenant(180'000, 0);
  QuotaWorld world(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  world.run(9s, 33, 3'000);
  const TimePoint rise = world.now();
  world.run(2s, 190, 3'000);
  const double within = 180'000.0 * 8 - inWindow(world.ran, rise - 6s, 6s);
  INFO("seed " << seed);
  CHECK(inWindow(world.ran, rise, 2s) >= 0.95 * within);
  CHECK(world.most(8s) <= allowed(tenant, kTolerance));
}

TEST_CASE("A quota holds when the leader is lost before, while or after a tenant sends six times its usual") {
  const auto load = GENERATE(LoadCase{"large", 180'000, 370}, LoadCase{"small", 2'700, 5.5});
  const auto lost_at = GENERATE(-200ms, 0ms, 300ms, 1000ms, 3000ms);
  const auto seed = GENERATE(range(1, 7));
  const wire::Tenant tenant = limitedTenant(load.per_second, load.per_second);
  QuotaWorld world(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  const double usual = load.calls_per_second / 6;
  world.run(6s + std::min<Duration>(0ms, lost_at), usual, 1'630);
  world.run(std::max<Duration>(0ms, lost_at), load.calls_per_second, 1'630);
  world.loseLeader();
  world.run(std::max<Duration>(0ms, -lost_at), usual, 1'630);
  world.run(3s, load.calls_per_second, 1'630);
  world.elect();
  world.run(6s, load.calls_per_second, 1'630);
  INFO(load.name << ", leader lost " << lost_at.count() << " ms after the rise, seed " << seed);
  CHECK(world.most(8s) <= allowed(tenant, kTolerance));
}

/// Each ask of a call holds it up and is work for a leader that has just begun.
TEST_CASE("After a leader's loss the calls of tenants within their limits don't ask the new one") {
  const wire::Tenant tenant = limitedTenant(180'000, 180'000);
  QuotaWorld world(87, tenant, kTolerance, 3);
  world.run(6s, 61, 1'630);
  world.loseLeader();
  world.run(1s, 61, 1'630);
  world.elect();
  world.run(200ms, 61, 1'630);  // the routers hear of it
  world.verdicts.clear();
  world.run(10s, 61, 1'630);
  CHECK(world.verdicts[QuotaVerdict::Asked] == 0);
  CHECK(world.verdicts[QuotaVerdict::Unavailable] == 0);
  CHECK(world.verdicts[QuotaVerdict::Granted] > 500);
}

}  // namespace
}  // namespace ferryrock::tenancy
