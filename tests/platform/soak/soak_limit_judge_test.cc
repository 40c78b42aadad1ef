#include "platform/soak/soak_limit_judge.h"

#include <catch2/catch.hpp>

namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kNow{1000s};

/// A replica with a limit of 1 from kNow on, two routers that are told after 1 s, and 6 calls of each in a
/// second.
struct JudgeFixture {
  JudgeFixture() : judge(oracle) { judge.onNamed("desk", "desk-1", 1.0, kNow); }
  void tellBoth() {
    judge.onTold("desk-1", "a:1", kNow + 1s);
    judge.onTold("desk-1", "b:1", kNow + 1s);
  }
  void callsAt(TimePoint from) {
    for (int i = 0; i < 6; ++i) {
      judge.onArrived("desk-1", "a:1", from + i * 100ms);
      judge.onArrived("desk-1", "b:1", from + i * 100ms);
    }
  }
  bool broken() {
    judge.judge();
    return !oracle.broken().empty();
  }
  SoakOracle oracle;
  SoakLimitJudge judge;
};

TEST_CASE("More calls in 4 s than the limit allows all routers together are found") {
  JudgeFixture fixture;
  fixture.tellBoth();
  fixture.callsAt(kNow + 4s);
  CHECK(fixture.broken());
}

TEST_CASE("Calls within the first seconds, of routers that weren't told or are excused, break no limit") {
  JudgeFixture early;
  early.tellBoth();
  early.callsAt(kNow + 2s);
  CHECK_FALSE(early.broken());

  JudgeFixture untold;
  untold.judge.onTold("desk-1", "a:1", kNow + 1s);
  untold.callsAt(kNow + 4s);
  CHECK_FALSE(untold.broken());

  JudgeFixture excused;
  excused.judge.excuse("a:1", kNow + 3s, kNow + 6s);
  excused.judge.onNamed("llm", "llm-1", 1.0, kNow);
  excused.judge.onTold("llm-1", "a:1", kNow + 1s);
  for (int i = 0; i < 14; ++i) {
    excused.judge.onArrived("llm-1", "a:1", kNow + 4s + i * 50ms);
  }
  CHECK_FALSE(excused.broken());
}

TEST_CASE("A window in which the limit ended or was higher is judged by what was named then") {
  JudgeFixture ended;
  ended.tellBoth();
  ended.judge.onNamed("desk", "desk-1", std::nullopt, kNow + 5s);
  ended.callsAt(kNow + 4s);
  CHECK_FALSE(ended.broken());

  JudgeFixture raised;
  raised.tellBoth();
  raised.judge.onNamed("desk", "desk-1", 3.0, kNow + 5s);
  raised.callsAt(kNow + 4s);
  CHECK_FALSE(raised.broken());
}

TEST_CASE("One replica of a service names a limit at a time") {
  JudgeFixture fixture;
  CHECK_FALSE(fixture.judge.mayBegin("desk"));
  CHECK(fixture.judge.mayBegin("llm"));
  fixture.judge.onNamed("desk", "desk-1", std::nullopt, kNow + 1s);
  CHECK(fixture.judge.mayBegin("desk"));
}

}  // namespace
}  // namespace ferryrock::platform
