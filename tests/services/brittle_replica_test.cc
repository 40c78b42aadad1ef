#include <catch2/catch.hpp>

#include "calls/brittle_replicas.h"
#include "services/brittle_fleet.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kReplicas = 4;
/// Calls per second that the replicas can serve, and one and a half times as many.
const double kCapacity = kReplicas * BrittleFleet::kSlots / toSeconds(BrittleFleet::kServiceTime);
const double kOverload = 1.5 * kCapacity;
/// Falls that are allowed in one time in which the replicas are brittle.
constexpr std::size_t kAllowedFalls = 2 + kReplicas / 10;

TEST_CASE("Brittle replicas aren't crashed by refusals of all routers together during an overload") {
  const auto seed = GENERATE(range(1, 5));
  const double refusals = GENERATE(4.0, 10.0, 30.0);
  INFO("seed " << seed << ", refusals " << refusals);
  BrittleFleet fleet(9, kReplicas, static_cast<std::uint64_t>(seed));
  fleet.makeBrittle(refusals);
  fleet.callFor(4s, kCapacity / 2);
  fleet.resetCounts();
  fleet.callFor(5s, kOverload);
  fleet.setQueue(1);
  fleet.callFor(10s, kOverload);
  INFO("falls " << fleet.falls() << ", worst second " << fleet.worstSecond());
  CHECK(fleet.falls() <= kAllowedFalls);
}

TEST_CASE("Brittle replicas are still used to their capacity during an overload") {
  BrittleFleet fleet(9, kReplicas, 7);
  fleet.makeBrittle(10);
  fleet.callFor(4s, kCapacity / 2);
  fleet.resetCounts();
  fleet.callFor(15s, kOverload);
  CHECK(static_cast<double>(fleet.served) > 0.8 * 15 * kCapacity);
}

TEST_CASE("A replica that no longer is brittle is used as any other") {
  BrittleFleet fleet(9, kReplicas, 8);
  fleet.makeBrittle(10);
  fleet.callFor(4s, kOverload);
  BrittleFleet plain(9, kReplicas, 8);
  plain.callFor(4s, kOverload);
  CHECK(plain.falls() == 0);
}

}  // namespace
}  // namespace ferryrock::services
