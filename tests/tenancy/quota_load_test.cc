#include <algorithm>
#include <catch2/catch.hpp>

#include "tenancy/quota_world.h"

/// Quotas over many routers: tenants get their quota, and usage stays within the tolerance.
namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

/// Load of a tenant over 87 routers: within its limit, or at six times its usual rate.
struct LoadCase {
  const char* name;
  double per_second;
  double calls_per_second;
};

TEST_CASE("With a leader, a call within its tenant's limit is never refused, whatever the tenant's size") {
  const auto load = GENERATE(LoadCase{"large", 180'000, 61}, LoadCase{"small", 2'700, 0.9});
  const auto seed = GENERATE(range(1, 9));
  const wire::Tenant tenant = limitedTenant(load.per_second, load.per_second);
  QuotaSimulation simulation(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  simulation.run(20s, load.calls_per_second, 1'630);
  INFO(load.name << " with seed " << seed);
  CHECK(simulation.verdicts[QuotaVerdict::Unavailable] == 0);
  CHECK(simulation.refused_within_limit == 0);
}

TEST_CASE("A tenant at six times its usual rate gets its quota and no more") {
  const auto load = GENERATE(LoadCase{"large", 180'000, 370}, LoadCase{"small", 2'700, 5.5});
  const auto seed = GENERATE(range(1, 9));
  const wire::Tenant tenant = limitedTenant(load.per_second, load.per_second);
  QuotaSimulation simulation(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  simulation.run(4s, load.calls_per_second / 6, 1'630);
  simulation.run(12s, load.calls_per_second, 1'630);
  INFO(load.name << " with seed " << seed);
  CHECK(simulation.maxInWindow(8s) <= allowed(tenant, kTolerance));
  CHECK(simulation.maxInWindow(8s) >= 0.9 * load.per_second * 8);
}

/// A tenant sends at half of its limit and rises to 3.3 times the limit. In the first two seconds of the
/// rise, callers get what the limit allows in them: rate x window + burst, less the usage in the preceding
/// window.
TEST_CASE("A tenant whose rate rises can use its unused credit at once") {
  const auto seed = GENERATE(range(1, 9));
  const wire::Tenant tenant = limitedTenant(180'000, 0);
  QuotaSimulation simulation(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  simulation.run(9s, 33, 3'000);
  const TimePoint rise = simulation.now();
  simulation.run(2s, 190, 3'000);
  const double within = 180'000.0 * 8 - inWindow(simulation.ran, rise - 6s, 6s);
  INFO("seed " << seed);
  CHECK(inWindow(simulation.ran, rise, 2s) >= 0.95 * within);
  CHECK(simulation.maxInWindow(8s) <= allowed(tenant, kTolerance));
}

TEST_CASE(
    "A quota holds if the leader is lost before, during or after a tenant's rise to six times its usual "
    "rate") {
  const auto load = GENERATE(LoadCase{"large", 180'000, 370}, LoadCase{"small", 2'700, 5.5});
  const auto lost_at = GENERATE(-200ms, 0ms, 300ms, 1000ms, 1300ms, 1400ms, 1500ms, 1600ms, 2000ms, 3000ms);
  const auto seed = GENERATE(range(1, 7));
  const wire::Tenant tenant = limitedTenant(load.per_second, load.per_second);
  QuotaSimulation simulation(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  const double usual = load.calls_per_second / 6;
  simulation.run(6s + std::min<Duration>(0ms, lost_at), usual, 1'630);
  simulation.run(std::max<Duration>(0ms, lost_at), load.calls_per_second, 1'630);
  simulation.loseLeader();
  simulation.run(std::max<Duration>(0ms, -lost_at), usual, 1'630);
  simulation.run(3s, load.calls_per_second, 1'630);
  simulation.elect();
  simulation.run(6s, load.calls_per_second, 1'630);
  INFO(load.name << ", leader lost " << lost_at.count() << " ms after the rise, seed " << seed);
  CHECK(simulation.maxInWindow(8s) <= allowed(tenant, kTolerance));
}

/// Load of a tenant at 3.35 times its limit, over 92 routers.
constexpr std::size_t kRouters = 92;
constexpr double kOverload = 240;
constexpr std::int64_t kCost = 1'630;

wire::Tenant overloadedTenant() {
  return limitedTenant(116'000, 116'000);
}

/// The leader is lost, and the cell elects another one 3 s later.
void replaceLeader(QuotaSimulation& simulation) {
  simulation.loseLeader();
  simulation.run(3s, kOverload, kCost);
  simulation.elect();
}

/// Guards against a cut-off router and the leader both granting what leaves the router's window.
TEST_CASE("A quota holds while routers are cut off from a leader that stays, however long") {
  const auto routers = GENERATE(9, 19, 30);
  const Duration cut = GENERATE(3s, 6s, 9s, 14s, 40s);
  const auto seed = GENERATE(range(1, 4));
  const wire::Tenant tenant = overloadedTenant();
  QuotaSimulation simulation(kRouters, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  simulation.run(4s, kOverload / 6, kCost);
  simulation.run(8s, kOverload, kCost);
  simulation.cutOff(static_cast<std::size_t>(routers));
  simulation.run(cut, kOverload, kCost);
  simulation.cutOff(0);
  simulation.run(10s, kOverload, kCost);
  INFO(routers << " routers for " << toMilliseconds(cut) << " ms, seed " << seed);
  CHECK(simulation.maxInWindow(8s) <= allowed(tenant, kTolerance));
}

double worstWhileCutOffInRise(QuotaSimulation::Cut cut, std::size_t routers, Duration cut_at,
                              std::uint64_t seed) {
  const wire::Tenant tenant = overloadedTenant();
  QuotaSimulation simulation(kRouters, tenant, kTolerance, seed);
  simulation.run(6s, kOverload / 6, kCost);
  simulation.run(cut_at, kOverload, kCost);
  simulation.cutOff(routers, cut);
  simulation.run(4s, kOverload, kCost);
  simulation.cutOff(0);
  simulation.run(10s, kOverload, kCost);
  return simulation.maxInWindow(8s);
}

/// Guards against usage of the half second in which a router doesn't know yet that it is cut off.
TEST_CASE("A quota holds if routers are cut off during a tenant's rise") {
  const auto routers = GENERATE(std::size_t{9}, std::size_t{30});
  const Duration cut_at = GENERATE(200ms, 800ms, 1300ms);
  const auto seed = GENERATE(range(1, 5));
  INFO(routers << " routers, " << toMilliseconds(cut_at) << " ms after the rise, seed " << seed);
  CHECK(worstWhileCutOffInRise(QuotaSimulation::Cut::BothWays, routers, cut_at,
                               static_cast<std::uint64_t>(seed)) <= allowed(overloadedTenant(), kTolerance));
}

/// Guards against routers that run calls unasked for as long as they hear a leader which doesn't hear them.
TEST_CASE("A quota holds if routers that hear the leader can't reach it during a tenant's rise") {
  const auto routers = GENERATE(std::size_t{9}, std::size_t{30});
  const Duration cut_at = GENERATE(200ms, 800ms, 1300ms);
  const auto seed = GENERATE(range(1, 5));
  INFO(routers << " routers, " << toMilliseconds(cut_at) << " ms after the rise, seed " << seed);
  CHECK(worstWhileCutOffInRise(QuotaSimulation::Cut::TowardsLeader, routers, cut_at,
                               static_cast<std::uint64_t>(seed)) <= allowed(overloadedTenant(), kTolerance));
}

/// Guards against a new leader that forgets what routers used which it has never reached.
TEST_CASE("A quota holds if the leader is lost while routers are cut off and stay so") {
  const auto seed = GENERATE(range(1, 7));
  const wire::Tenant tenant = overloadedTenant();
  QuotaSimulation simulation(kRouters, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  simulation.run(4s, kOverload / 6, kCost);
  simulation.run(6s, kOverload, kCost);
  simulation.cutOff(19);
  simulation.run(2s, kOverload, kCost);
  replaceLeader(simulation);
  simulation.run(14s, kOverload, kCost);
  simulation.cutOff(0);
  simulation.run(10s, kOverload, kCost);
  INFO("seed " << seed);
  CHECK(simulation.maxInWindow(8s) <= allowed(tenant, kTolerance));
}

/// Guards against usage that no leader ever learns of, because the message that reports it is lost.
TEST_CASE("A quota holds if routers' first reports to a new leader are lost") {
  const auto routers = GENERATE(std::size_t{9}, std::size_t{28}, kRouters);
  const auto seed = GENERATE(range(1, 7));
  const wire::Tenant tenant = overloadedTenant();
  QuotaSimulation simulation(kRouters, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  simulation.run(4s, kOverload / 6, kCost);
  simulation.run(4s, kOverload, kCost);
  replaceLeader(simulation);
  simulation.loseReports(routers);
  simulation.run(8s, kOverload, kCost);
  INFO(routers << " reports, seed " << seed);
  CHECK(simulation.maxInWindow(8s) <= allowed(tenant, kTolerance));
}

/// Guards against a new leader that counts nothing for routers which have restarted since they ran calls.
TEST_CASE("A quota holds if routers restart while there is no leader") {
  const auto routers = GENERATE(std::size_t{5}, std::size_t{10}, std::size_t{20}, std::size_t{45});
  const Duration rise = GENERATE(2000ms, 2600ms, 4000ms);
  const auto seed = GENERATE(range(1, 7));
  const wire::Tenant tenant = overloadedTenant();
  QuotaSimulation simulation(kRouters, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  simulation.run(6s, kOverload / 6, kCost);
  simulation.run(rise, kOverload, kCost);
  simulation.loseLeader();
  simulation.run(1s, kOverload, kCost);
  simulation.restart(routers);
  simulation.run(2s, kOverload, kCost);
  simulation.elect();
  simulation.run(8s, kOverload, kCost);
  INFO(routers << " routers, " << toMilliseconds(rise) << " ms after the rise, seed " << seed);
  CHECK(simulation.maxInWindow(8s) <= allowed(tenant, kTolerance));
}

/// Guards against credit below the limit that is used up before the routers learn of the limit.
TEST_CASE("A quota holds if updates reach the routers late, with and without a loss of the leader") {
  const Duration delay = GENERATE(80ms, 200ms, 400ms, 800ms);
  const Duration lost_at = GENERATE(1300ms, 1500ms, 1700ms, 12s);
  const auto seed = GENERATE(range(1, 4));
  const wire::Tenant tenant = overloadedTenant();
  QuotaSimulation simulation(kRouters, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  simulation.setUpdateDelay(delay);
  simulation.run(6s, kOverload / 6, kCost);
  simulation.run(lost_at, kOverload, kCost);
  replaceLeader(simulation);
  simulation.run(8s, kOverload, kCost);
  INFO(toMilliseconds(delay) << " ms late, lost after " << toMilliseconds(lost_at) << " ms, seed " << seed);
  CHECK(simulation.maxInWindow(8s) <= allowed(tenant, kTolerance));
}

/// Guards against usage that both the leader and, after its loss, the routers grant again as it leaves the
/// window.
TEST_CASE("A quota holds if the leader is lost while a tenant's rise leaves the window") {
  const Duration lost_at = GENERATE(8050ms, 8300ms, 8600ms, 8950ms, 9300ms, 9600ms, 9950ms, 10500ms);
  const auto seed = GENERATE(range(1, 4));
  const wire::Tenant tenant = overloadedTenant();
  QuotaSimulation simulation(kRouters, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  simulation.run(6s, kOverload / 6, kCost);
  simulation.run(lost_at, kOverload, kCost);
  replaceLeader(simulation);
  simulation.run(8s, kOverload, kCost);
  INFO("lost " << toMilliseconds(lost_at) << " ms after the rise, seed " << seed);
  CHECK(simulation.maxInWindow(8s) <= allowed(tenant, kTolerance));
}

/// Guards against a second election that forgets which tenants the leader before had limited.
TEST_CASE("A quota holds if a new leader is lost soon after its election") {
  const Duration first_term = GENERATE(100ms, 600ms, 2s);
  const auto seed = GENERATE(range(1, 7));
  const wire::Tenant tenant = overloadedTenant();
  QuotaSimulation simulation(kRouters, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  simulation.run(6s, kOverload / 6, kCost);
  simulation.run(1500ms, kOverload, kCost);
  replaceLeader(simulation);
  simulation.run(first_term, kOverload, kCost);
  replaceLeader(simulation);
  simulation.run(8s, kOverload, kCost);
  INFO("led for " << toMilliseconds(first_term) << " ms, seed " << seed);
  CHECK(simulation.maxInWindow(8s) <= allowed(tenant, kTolerance));
}

/// Each credit request delays its call and adds load to a leader that has just started.
TEST_CASE("Calls of tenants within their limits request no credit from a new leader") {
  const wire::Tenant tenant = limitedTenant(180'000, 180'000);
  QuotaSimulation simulation(87, tenant, kTolerance, 3);
  simulation.run(6s, 61, 1'630);
  simulation.loseLeader();
  simulation.run(1s, 61, 1'630);
  simulation.elect();
  simulation.run(200ms, 61, 1'630);  // the routers receive the new leader's updates
  simulation.verdicts.clear();
  simulation.run(10s, 61, 1'630);
  CHECK(simulation.verdicts[QuotaVerdict::Pending] == 0);
  CHECK(simulation.verdicts[QuotaVerdict::Unavailable] == 0);
  CHECK(simulation.verdicts[QuotaVerdict::Granted] > 500);
}

}  // namespace
}  // namespace ferryrock::tenancy
