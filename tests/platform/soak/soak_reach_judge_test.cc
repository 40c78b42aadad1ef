#include "platform/soak/soak_reach_judge.h"

#include <catch2/catch.hpp>

namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::seconds(1000)};

void send(SoakReachJudge& judge, const std::string& router, Duration at, int sent, int served) {
  for (int i = 0; i < sent; ++i) {
    judge.onOutcome(router, kStart + at, i < served);
  }
}

TEST_CASE("A partitioned router that serves far fewer first attempts than the others breaks the rule") {
  SoakOracle oracle;
  SoakReachJudge judge(oracle);
  judge.partition("a", kStart, kStart + 10s);
  send(judge, "a", 5s, 60, 30);
  send(judge, "b", 5s, 60, 58);
  judge.judge();
  CHECK(oracle.broken().size() == 1);
}

TEST_CASE("A request may be held up until a while after the partition of its router") {
  SoakOracle oracle;
  SoakReachJudge judge(oracle);
  judge.partition("a", kStart, kStart + 10s);
  CHECK_FALSE(judge.holdsUp("a", kStart - 1s));
  CHECK(judge.holdsUp("a", kStart + 5s));
  CHECK(judge.holdsUp("a", kStart + 12s));
  CHECK_FALSE(judge.holdsUp("a", kStart + 13s));
  CHECK_FALSE(judge.holdsUp("b", kStart + 5s));
}

TEST_CASE("Few failures, early ones, and those of a router that is down don't break the rule") {
  SoakOracle oracle;
  SoakReachJudge judge(oracle);
  judge.partition("a", kStart, kStart + 10s);
  judge.excuse("a", kStart + 7s, kStart + 9s);
  send(judge, "a", 1s, 60, 0);
  send(judge, "a", 8s, 60, 0);
  send(judge, "a", 5s, 12, 3);
  send(judge, "b", 5s, 60, 60);
  judge.judge();
  CHECK(judge.judged() == 1);
  CHECK(oracle.broken().empty());
}

}  // namespace
}  // namespace ferryrock::platform
