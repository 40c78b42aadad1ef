#include <catch2/catch.hpp>

#include "services/partitioned_fleet.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

/// Time from the start of a partition from which first attempts must be served again.
constexpr Duration kContactTime = 3s;

TEST_CASE("Callers of routers that reach no replica are served as well as callers of the others") {
  const auto seed = GENERATE(range(1, 5));
  const auto kind = GENERATE(PartitionKind::Silent, PartitionKind::Reset, PartitionKind::Refused);
  INFO("seed " << seed << ", kind " << static_cast<int>(kind));
  PartitionedFleet fleet(9, 4, static_cast<std::uint64_t>(seed));
  fleet.callFor(5s, 40, false);
  fleet.partition({0, 1, 2}, kind);
  fleet.callFor(kContactTime, 40, false);
  fleet.callFor(9s, 40, true);
  INFO("served " << fleet.partitioned.served << " of " << fleet.partitioned.sent << " there, "
                 << fleet.others.served << " of " << fleet.others.sent << " elsewhere");
  CHECK_FALSE(fleet.unequal());
}

}  // namespace
}  // namespace ferryrock::services
