#include <catch2/catch.hpp>
#include <vector>

#include "calls/call_fixture.h"

/// What a router concludes from the answer to one sending of a call.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

constexpr bool kProven = true;
constexpr int kFull = 503;

TEST_CASE("A call that comes back to a replica's address is sent over a new connection") {
  CallFixture fixture;
  wire::ServiceUpdate update;
  update.catalog = CallFixture::catalog(1);
  for (wire::CallRoute& route : update.catalog->routes) {
    route.target_latency_ms = 900;  // leaves time to come back
  }
  fixture.send(update);
  fixture.keepAlive();
  fixture.addReplicas({CallFixture::replica("d1")});
  fixture.call("/once/x");
  CHECK_FALSE(fixture.last<SendAttemptEffect>()->fresh_connection);
  fixture.answer(kFull, kProven);
  fixture.pass(150ms);
  REQUIRE(fixture.count<SendAttemptEffect>() == 2);
  CHECK(fixture.last<SendAttemptEffect>()->fresh_connection);
  fixture.answer(200);

  wire::RoutedReplica successor = CallFixture::replica("d2");
  successor.address = "d1:80";
  fixture.call("/once/x");
  CHECK_FALSE(fixture.last<SendAttemptEffect>()->fresh_connection);
  fixture.addReplicas({successor});
  fixture.answer(kFull, kProven);
  REQUIRE(fixture.last<SendAttemptEffect>()->replica.value == "d2");
  CHECK(fixture.last<SendAttemptEffect>()->fresh_connection);
}

/// An answer whose status says that the call didn't run, without a proof.
AnswerSummary unproven(int status) {
  AnswerSummary answer;
  answer.status = status;
  answer.claims_not_run = true;
  return answer;
}

TEST_CASE(
    "A status that promises a call hasn't run isn't delivered without a proof, and nothing is promised") {
  for (const int status : {408, 429, 503}) {
    for (const char* path : {"/once/x", "/single/x"}) {
      INFO(status << " " << path);
      CallFixture fixture;
      fixture.begin();
      fixture.addReplicas({CallFixture::replica("d1"), CallFixture::replica("d2")});
      fixture.call(path);
      fixture.take(fixture.router().onAnswer(fixture.attempt(), unproven(status), fixture.now));
      CHECK(fixture.count<SendAttemptEffect>() == 1);
      CHECK(fixture.count<DeliverAnswerEffect>() == 0);
      REQUIRE(fixture.count<RefuseCallEffect>() == 1);
      CHECK_FALSE(fixture.last<RefuseCallEffect>()->not_run);
      CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::ReplicaFailed);
    }
  }
}

TEST_CASE("A call that may be repeated is sent elsewhere after a refusal without a proof") {
  CallFixture fixture;
  fixture.begin();
  fixture.addReplicas({CallFixture::replica("d1"), CallFixture::replica("d2")});
  fixture.call("/safe/x");
  fixture.take(fixture.router().onAnswer(fixture.attempt(), unproven(429), fixture.now));
  CHECK(fixture.count<SendAttemptEffect>() == 2);
  fixture.answer(200);
  CHECK(fixture.count<DeliverAnswerEffect>() == 1);
}

TEST_CASE("A call is promised not to have run only if each of its sendings was proven not to have run") {
  enum class Step { Sent, Proven, Possible };
  struct Row {
    std::vector<Step> steps;
    bool promised;
  };
  const std::vector<Row> rows = {
      {{}, true},
      {{Step::Sent}, false},
      {{Step::Sent, Step::Proven}, true},
      {{Step::Sent, Step::Possible}, false},
      {{Step::Sent, Step::Proven, Step::Sent}, false},
      {{Step::Sent, Step::Proven, Step::Sent, Step::Proven}, true},
      {{Step::Sent, Step::Possible, Step::Sent, Step::Proven}, false},
      {{Step::Sent, Step::Proven, Step::Sent, Step::Possible}, false},
  };
  for (const Row& row : rows) {
    SendingRecord sendings;
    for (const Step step : row.steps) {
      switch (step) {
        case Step::Sent:
          sendings.onSent();
          break;
        case Step::Proven:
          sendings.onProvenNotRun();
          break;
        case Step::Possible:
          sendings.onPossibleRun();
          break;
      }
    }
    INFO(row.steps.size() << " steps");
    CHECK(sendings.proof().has_value() == row.promised);
    CHECK(sendings.mayHaveRun() == !row.promised);
  }
}

}  // namespace
}  // namespace ferryrock::calls
