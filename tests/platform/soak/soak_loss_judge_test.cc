#include "platform/soak/soak_loss_judge.h"

#include <catch2/catch.hpp>

/// The soak's judge of calls without an answer: what breaks its rules, and what doesn't.
namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
const std::string kRouter = "127.0.3.1:21103";

TEST_CASE(
    "soak: a call that a router has read and cuts off breaks LOST, one that crosses its close doesn't") {
  SoakOracle verdict;
  SoakLossJudge judge(verdict);
  judge.onSent("crosses", kRouter, kStart);
  judge.onCut("crosses", kStart + 100ms);
  judge.onSent("answered", kRouter, kStart);
  judge.onAnswered("answered");
  judge.onCut("answered", kStart + 1s);
  CHECK(verdict.broken().empty());
  judge.onSent("read", kRouter, kStart);
  judge.onCut("read", kStart + 300ms);
  REQUIRE(verdict.broken().size() == 1);
  CHECK(verdict.broken().front().starts_with("LOST"));
  judge.onSent("ran", kRouter, kStart);
  judge.onRun("ran");
  judge.onCut("ran", kStart + 50ms);
  CHECK(verdict.broken().size() == 2);
}

TEST_CASE("soak: a call that is held beyond its time breaks HELD") {
  SoakOracle verdict;
  SoakLossJudge judge(verdict);
  judge.onSent("a", kRouter, kStart);
  judge.onHeld("a", kStart + 3s);
  REQUIRE(verdict.broken().size() == 1);
  CHECK(verdict.broken().front().starts_with("HELD"));
}

TEST_CASE("soak: crashes and freezes excuse the calls of their router that overlap with them") {
  SoakOracle verdict;
  SoakLossJudge judge(verdict);
  judge.excuse(kRouter, kStart + 1s, kStart + 2s);
  judge.onSent("a", kRouter, kStart);
  judge.onCut("a", kStart + 1s);
  judge.onSent("b", kRouter, kStart + 2s);
  judge.onHeld("b", kStart + 5s);
  CHECK(verdict.broken().empty());
  judge.onSent("c", "127.0.3.2:21103", kStart);
  judge.onCut("c", kStart + 1s);
  judge.onSent("d", kRouter, kStart + 2100ms);
  judge.onCut("d", kStart + 3s);
  CHECK(verdict.broken().size() == 2);
}

}  // namespace
}  // namespace ferryrock::platform
