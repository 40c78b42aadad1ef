#include "platform/soak/soak_retry_judge.h"

#include <catch2/catch.hpp>

namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::seconds(1000)};

/// 100 calls at once, of which so many arrive a second time.
void callAll(SoakRetryJudge& judge, int repeats) {
  for (int i = 0; i < 100; ++i) {
    const std::string id = "c" + std::to_string(i);
    judge.onSent("desk", kStart);
    judge.onArrived("desk", id, kStart);
    if (i < repeats) {
      judge.onArrived("desk", id, kStart + 1s);
    }
  }
}

TEST_CASE(
    "Arrivals beyond the first of each call break the rule if they exceed share and slack in a window") {
  SoakOracle oracle;
  SoakRetryJudge kept(oracle);
  callAll(kept, 30);
  kept.judge();
  CHECK(oracle.broken().empty());
  CHECK(kept.worstUse() == Approx(1));
  SoakRetryJudge exceeded(oracle);
  callAll(exceeded, 31);
  exceeded.judge();
  CHECK(oracle.broken().size() == 1);
}

TEST_CASE("Repeated arrivals in different windows don't add up") {
  SoakOracle oracle;
  SoakRetryJudge judge(oracle);
  callAll(judge, 20);
  for (int i = 0; i < 10; ++i) {
    judge.onArrived("desk", "c" + std::to_string(i), kStart + 12s);
  }
  judge.judge();
  CHECK(oracle.broken().empty());
}

}  // namespace
}  // namespace ferryrock::platform
