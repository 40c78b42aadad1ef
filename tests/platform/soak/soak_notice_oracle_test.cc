#include "platform/soak/soak_notice_oracle.h"

#include <catch2/catch.hpp>

namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

struct Judged {
  SoakOracle verdict;
  SoakNoticeOracle oracle{verdict};
  int next = 0;

  std::string send(const std::string& router, Duration after) {
    std::string id = "c" + std::to_string(++next);
    oracle.onSent(id, router, kStart + after);
    return id;
  }
  void arrive(const std::string& router, Duration after) {
    oracle.onArrived(send(router, after), "r1", kStart + after);
  }
  bool broken(const std::string& rule) const {
    return verdict.broken().size() == 1 && verdict.broken().front().starts_with(rule);
  }
};

TEST_CASE(
    "soak: a third call within the time asked for breaks BUDGET, from the router that was asked alone") {
  Judged judged;
  judged.oracle.onAsked(judged.send("a", 0s), "r1", 3s, kStart);
  for (const Duration after : {100ms, 200ms, 400ms}) {
    judged.arrive("a", after);
  }
  for (const Duration after : {600ms, 700ms, 800ms}) {
    judged.arrive("b", after);
  }
  for (const Duration after : {600ms, 2900ms, 3100ms}) {
    judged.arrive("a", after);
  }
  CHECK(judged.verdict.broken().empty());
  judged.oracle.onAsked(judged.send("a", 4s), "r1", 3s, kStart + 4s);
  for (const Duration after : {5000ms, 6000ms, 6500ms}) {
    judged.arrive("a", after);
  }
  CHECK(judged.broken("BUDGET"));
}

TEST_CASE("soak: a call sent after a word of leaving was passed on breaks DRAIN") {
  Judged judged;
  const std::string before = judged.send("a", 0s);
  judged.oracle.onLeavingHeard(before, "r1", kStart + 1s);
  judged.oracle.onArrived(before, "r1", kStart + 2s);
  judged.arrive("b", 2s);
  CHECK(judged.verdict.broken().empty());
  judged.arrive("a", 2s);
  CHECK(judged.broken("DRAIN"));
}

TEST_CASE("soak: a router that was down since is excused") {
  Judged judged;
  judged.oracle.excuse("a", kStart + 1s, kStart + 2s);
  judged.oracle.onLeavingHeard(judged.send("a", 0s), "r1", kStart);
  judged.oracle.onAsked(judged.send("a", 0s), "r1", 9s, kStart);
  for (int i = 0; i < 5; ++i) {
    judged.arrive("a", 3s);
  }
  CHECK(judged.verdict.broken().empty());
}

}  // namespace
}  // namespace ferryrock::platform
