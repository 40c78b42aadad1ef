#include "platform/soak/soak_oracle.h"

#include <catch2/catch.hpp>

/// The soak's judge: each rule is seen broken by what breaks it, and by nothing else.
namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

bool broken(const SoakOracle& oracle, const std::string& rule) {
  return oracle.broken().size() == 1 && oracle.broken().front().starts_with(rule);
}

TEST_CASE("soak: a call that may run once and runs twice breaks TWICE, one that may be repeated doesn't") {
  SoakOracle oracle;
  oracle.onSent("a", SoakKind::Repeatable);
  oracle.onRun("a", "r1", kStart);
  oracle.onRun("a", "r2", kStart);
  CHECK(oracle.broken().empty());
  oracle.onSent("b", SoakKind::AtMostOnce);
  oracle.onRun("b", "r1", kStart);
  oracle.onRun("b", "r2", kStart);
  CHECK(broken(oracle, "TWICE"));
}

TEST_CASE("soak: a stream that can't be resumed and runs twice breaks TWICE, and its order is judged") {
  SoakOracle oracle;
  oracle.onSent("a", SoakKind::StreamOnce);
  oracle.onRun("a", "r1", kStart);
  oracle.onRun("a", "r2", kStart);
  CHECK(broken(oracle, "TWICE"));
  SoakOracle order;
  order.onSent("b", SoakKind::StreamOnce);
  SoakOutcome cut;
  cut.status = 200;
  cut.whole = true;
  cut.last_event = SoakOracle::kStreamEvents - 1;
  order.onOutcome("b", cut, kStart);
  CHECK(broken(order, "ORDER"));
}

TEST_CASE("soak: a promise breaks REFUSED if the call had run, or runs later") {
  SoakOracle before;
  before.onSent("a", SoakKind::AtMostOnce);
  before.onRun("a", "r1", kStart);
  before.onOutcome("a", {503, true, "", 0, true}, kStart);
  CHECK(broken(before, "REFUSED"));
  SoakOracle after;
  after.onSent("a", SoakKind::AtMostOnce);
  after.onOutcome("a", {503, true, "", 0, true}, kStart);
  after.onRun("a", "r1", kStart);
  CHECK(broken(after, "REFUSED"));
}

TEST_CASE("soak: another call's answer breaks MIXED, a stream that ends early as complete breaks ORDER") {
  SoakOracle oracle;
  oracle.onSent("a", SoakKind::Repeatable);
  oracle.onOutcome("a", {200, true, "answer to a", 0, true}, kStart);
  CHECK(oracle.broken().empty());
  oracle.onSent("b", SoakKind::Repeatable);
  oracle.onOutcome("b", {200, true, "answer to a", 0, true}, kStart);
  CHECK(broken(oracle, "MIXED"));
  SoakOracle streams;
  streams.onSent("s", SoakKind::Stream);
  streams.onOutcome("s", {200, false, "", 7, true}, kStart);
  CHECK(streams.broken().empty());
  streams.onSent("t", SoakKind::Stream);
  streams.onOutcome("t", {200, true, "", 7, true}, kStart);
  CHECK(broken(streams, "ORDER"));
}

TEST_CASE("soak: a call that reaches a leaving replica late breaks DRAIN, an old read breaks CONFIG") {
  SoakOracle oracle;
  oracle.onSent("a", SoakKind::Repeatable);
  oracle.onLeaveAcknowledged("r1", kStart);
  oracle.onRun("a", "r1", kStart + 1s);
  CHECK(oracle.broken().empty());
  oracle.onRun("a", "r1", kStart + 3s);
  CHECK(broken(oracle, "DRAIN"));
  SoakOracle reads;
  reads.onConfigurationAcknowledged(5);
  reads.onConfigurationRead(5, reads.newestAcknowledged());
  CHECK(reads.broken().empty());
  reads.onConfigurationRead(4, reads.newestAcknowledged());
  CHECK(broken(reads, "CONFIG"));
  SoakOracle unasked;
  unasked.onRun("x", "r1", kStart);
  CHECK(broken(unasked, "UNASKED"));
}

}  // namespace
}  // namespace ferryrock::platform
