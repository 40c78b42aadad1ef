#include "platform/soak/soak_stream_judge.h"

#include <catch2/catch.hpp>

namespace ferryrock::platform {
namespace {

TEST_CASE("More than two streams with events of two software versions break the rule") {
  SoakOracle oracle;
  SoakStreamJudge judge(oracle);
  for (int i = 0; i < 2; ++i) {
    judge.onEvent("s" + std::to_string(i), "v1");
    judge.onEvent("s" + std::to_string(i), "v2");
  }
  judge.judge();
  CHECK(oracle.broken().empty());
  judge.onEvent("s2", "v1");
  judge.onEvent("s2", "v1");
  judge.onEvent("s2", "v2");
  judge.judge();
  CHECK(oracle.broken().size() == 1);
}

TEST_CASE("Streams that are taken up must go on at least half as often as new ones begin") {
  SoakOracle oracle;
  SoakStreamJudge judge(oracle);
  for (int i = 0; i < 20; ++i) {
    judge.onNew(true);
    judge.onTakenUp(i < 10);
  }
  judge.judge();
  CHECK(oracle.broken().empty());
  judge.onTakenUp(false);
  judge.judge();
  CHECK(oracle.broken().size() == 1);
}

TEST_CASE("A stream counts only while two replicas of its version serve") {
  SoakOracle oracle;
  SoakStreamJudge judge(oracle);
  judge.onEvent("s", "v1");
  judge.onReplica("v1", true);
  CHECK_FALSE(judge.mayGoOn("s"));
  judge.onReplica("v1", true);
  CHECK(judge.mayGoOn("s"));
  CHECK_FALSE(judge.mayGoOn("other"));
}

}  // namespace
}  // namespace ferryrock::platform
