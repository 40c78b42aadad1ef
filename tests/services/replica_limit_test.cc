#include <catch2/catch.hpp>

#include "services/limited_fleet.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

TEST_CASE("All routers together send a replica no more than it said that it takes") {
  const auto seed = GENERATE(range(1, 5));
  INFO("seed " << seed);
  LimitedFleet fleet(9, 4, static_cast<std::uint64_t>(seed));
  fleet.callFor(4s, 16);
  fleet.setLimit(0, 1.2);
  fleet.setLimit(1, 1);
  fleet.callFor(15s, 16);
  CHECK(fleet.oracle(0).excess() <= 0);
  CHECK(fleet.oracle(1).excess() <= 0);
}

}  // namespace
}  // namespace ferryrock::services
