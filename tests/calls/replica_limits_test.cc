#include "calls/replica_limits.h"

#include <catch2/catch.hpp>

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;
using Change = ReplicaLimits::Change;

constexpr TimePoint kNow{1000s};
const ReplicaId kReplica("r1");

TEST_CASE("A limit holds until a call that left after it was named is answered without one") {
  ReplicaLimits limits;
  CHECK(limits.name(kReplica, 1.2, kNow - 1s, kNow) == Change::Named);
  CHECK(limits.end(kReplica, kNow - 10ms) == Change::None);
  CHECK(limits.isLimited(kReplica));
  CHECK(limits.end(kReplica, kNow + 10ms) == Change::Ended);
  CHECK_FALSE(limits.isLimited(kReplica));
  CHECK(limits.end(kReplica, kNow + 20ms) == Change::None);
}

TEST_CASE("Of two limits whose order isn't known the lower holds, else the later") {
  ReplicaLimits limits;
  limits.name(kReplica, 2, kNow - 1s, kNow);
  CHECK(limits.name(kReplica, 5, kNow - 1s, kNow + 1ms) == Change::None);
  CHECK(limits.limitOf(kReplica) == 2.0);
  CHECK(limits.name(kReplica, 1, std::nullopt, kNow + 2ms) == Change::Changed);
  CHECK(limits.limitOf(kReplica) == 1.0);
  CHECK(limits.name(kReplica, 5, kNow + 3ms, kNow + 10ms) == Change::Changed);
  CHECK(limits.limitOf(kReplica) == 5.0);
}

TEST_CASE("A limit of 0 is one") {
  ReplicaLimits limits;
  CHECK(limits.name(kReplica, 0, std::nullopt, kNow) == Change::Named);
  CHECK(limits.limitOf(kReplica) == 0.0);
}

TEST_CASE("Remembered limits are bounded, and the latest stay") {
  ReplicaLimits limits;
  constexpr int kNamed = 5000;
  for (int i = 0; i < kNamed; ++i) {
    limits.name(ReplicaId("r" + std::to_string(i)), 1, std::nullopt, kNow + i * 1ms);
  }
  CHECK(limits.size() < kNamed);
  CHECK(limits.isLimited(ReplicaId("r" + std::to_string(kNamed - 1))));
}

}  // namespace
}  // namespace ferryrock::calls
