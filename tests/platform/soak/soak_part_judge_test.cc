#include "platform/soak/soak_part_judge.h"

#include <catch2/catch.hpp>

namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

struct JudgeFixture {
  JudgeFixture() : judge(oracle) {
    for (std::size_t i = 0; i < SoakPartJudge::kAcceptedCrashes; ++i) {
      judge.onArrived(kStart);
      judge.onCrash(kStart);
    }
  }
  void soundCalls(std::uint64_t first_part, std::size_t calls, std::size_t began, TimePoint at) {
    for (std::size_t i = 0; i < calls; ++i) {
      judge.onSound(first_part, i < began, at);
    }
  }
  SoakOracle oracle;
  SoakPartJudge judge;
};

TEST_CASE("More than three arrivals of the crashing part later than the contact time break BUDGET") {
  for (const std::size_t late : {3U, 4U}) {
    JudgeFixture fixture;
    fixture.judge.onArrived(kStart + SoakPartJudge::kContactTime);
    for (std::size_t i = 0; i < late; ++i) {
      fixture.judge.onArrived(kStart + SoakPartJudge::kContactTime + 1ms);
    }
    fixture.judge.judge(kStart);
    CHECK(fixture.oracle.broken().size() == (late > SoakPartJudge::kMaxArrivals ? 1 : 0));
  }
}

TEST_CASE("Sound calls of the shared first part that begin less than half as often as others break LOST") {
  for (const std::size_t began : {10U, 9U}) {
    JudgeFixture fixture;
    const TimePoint late = kStart + 2 * SoakPartJudge::kContactTime + 1ms;
    fixture.soundCalls(0, 20, 0, kStart);
    fixture.soundCalls(0, 20, began, late);
    fixture.soundCalls(1, 20, 20, late);
    fixture.judge.judge(kStart);
    CHECK(fixture.oracle.broken().size() == (began < 10 ? 1 : 0));
  }
}

}  // namespace
}  // namespace ferryrock::platform
