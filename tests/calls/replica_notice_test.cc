#include <catch2/catch.hpp>
#include <string>

#include "calls/call_fixture.h"

// Guards against ignoring the backoff that an overloaded replica requests. Callers of rarely used models got
// 503 for seconds, and replicas in a backoff got three to four further calls.
//
// A replica, the only one with the call's model, refused a call with 503 and requested a backoff of 3 s. The
// router excluded it for only 100 ms, sent the call there two more times, 104 ms apart including the round
// trip, and refused the caller after 211 ms with a retry time of 200 ms. The reason was that only the attempt
// handled the response, as a refusal, and replica selection ignored the notice. The replicas refused all 88
// calls that reached them during their backoff.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// A single replica holds the model of the calls.
struct SingleReplicaFixture : CallFixture {
  SingleReplicaFixture() {
    begin();
    addReplicas({holder("e1")});
  }
  static wire::RoutedReplica holder(const std::string& id) {
    wire::RoutedReplica replica = CallFixture::replica(id, "llm");
    replica.held = {{ModelName("m1"), {}}};
    return replica;
  }
  /// Lists all replicas afresh, as a new leader does that doesn't know their notices to routers.
  void relistAll(const std::vector<wire::RoutedReplica>& replicas) {
    wire::ServiceUpdate update;
    update.complete = true;
    update.replicas = replicas;
    send(update);
  }
};

TEST_CASE("A replica gets no call until the backoff that it requested has ended") {
  SingleReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.refuseWithBackoff(3s);
  CHECK(fixture.sentTo("e1") == 1);
  for (int i = 0; i < 28; ++i) {
    fixture.call("/model/x", "m1");
    fixture.pass(100ms);
    if (i == 10) {
      fixture.relistAll({SingleReplicaFixture::holder("e1")});
    }
  }
  CHECK(fixture.sentTo("e1") == 1);
  fixture.pass(300ms);
  fixture.call("/model/x", "m1");
  CHECK(fixture.sentTo("e1") > 1);
}

TEST_CASE("A replica that announced its draining in a response gets no further call") {
  SingleReplicaFixture fixture;
  fixture.addReplicas({SingleReplicaFixture::holder("e1"), SingleReplicaFixture::holder("e2")});
  fixture.call("/model/x", "m1");
  const std::string leaving = fixture.last<SendAttemptEffect>()->replica.value;
  fixture.notice({true, std::nullopt, ""});
  fixture.answer(200);
  for (int i = 0; i < 20; ++i) {
    fixture.call("/model/x", "m1");
    fixture.answer(200);
    if (i == 10) {
      fixture.relistAll({SingleReplicaFixture::holder("e1"), SingleReplicaFixture::holder("e2")});
    }
  }
  CHECK(fixture.sentTo(leaving) == 1);
  CHECK(fixture.count<SendAttemptEffect>() == 21);
}

/// e2 also holds the model.
struct TwoReplicaFixture : SingleReplicaFixture {
  TwoReplicaFixture() { addReplicas({holder("e2")}); }
};

TEST_CASE("While one replica is in a backoff, the other one gets the calls") {
  TwoReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  const std::string refusing = fixture.last<SendAttemptEffect>()->replica.value;
  fixture.refuseWithBackoff(3s);
  for (int i = 0; i < 10; ++i) {
    fixture.answer(200);
    fixture.call("/model/x", "m1");
  }
  CHECK(fixture.sentTo(refusing) == 1);
  CHECK(fixture.count<SendAttemptEffect>() == 12);
  CHECK(fixture.count<RefuseCallEffect>() == 0);
}

TEST_CASE("A call waits for the end of a backoff if it can be in time, else it is refused at once") {
  SingleReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.refuseWithBackoff(100ms);
  CHECK(fixture.last<RefuseCallEffect>() == nullptr);
  fixture.pass(100ms);
  CHECK(fixture.sentTo("e1") == 2);

  fixture.refuseWithBackoff(3s);
  const auto* refusal = fixture.last<RefuseCallEffect>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->code == ResultCode::ReplicaBackoff);
  CHECK(refusal->not_run);
  REQUIRE(refusal->retry_after.has_value());
  CHECK(*refusal->retry_after >= 3s);
  CHECK(*refusal->retry_after <= 4500ms);
}

TEST_CASE("Retry times of callers that arrive during a backoff are spread over a period") {
  SingleReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.refuseWithBackoff(4s);
  Duration least = Duration::max();
  Duration most = Duration::zero();
  for (int i = 0; i < 50; ++i) {
    fixture.call("/model/x", "m1");
    const Duration delay = *fixture.last<RefuseCallEffect>()->retry_after;
    least = std::min(least, delay);
    most = std::max(most, delay);
  }
  CHECK(least >= 4s);
  CHECK(most - least > 800ms);
  CHECK(fixture.count<SendAttemptEffect>() == 1);
}

TEST_CASE("After a backoff one waiting call is sent first, and more when it is accepted") {
  SingleReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.refuseWithBackoff(100ms);
  for (int i = 0; i < 5; ++i) {
    fixture.call("/model/x", "m1");
  }
  fixture.pass(101ms);
  CHECK(fixture.sentTo("e1") == 2);
  fixture.event(1);
  CHECK(fixture.sentTo("e1") == 4);
}

/// Two calls are in flight when the response to the second one requests a backoff.
TEST_CASE("Responses to earlier calls are delivered and don't end a backoff") {
  SingleReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  const AttemptNumber earlier = fixture.attempt();
  fixture.call("/model/x", "m1");
  fixture.refuseWithBackoff(3s);
  fixture.take(fixture.router().onAnswer(earlier, {200, false}, fixture.now));
  CHECK(fixture.count<DeliverAnswerEffect>() == 1);
  fixture.call("/model/x", "m1");
  CHECK(fixture.count<SendAttemptEffect>() == 2);
}

TEST_CASE("A requested backoff doesn't count as a failure, whether or not the call is marked as not run") {
  for (const bool proven_not_run : {true, false}) {
    INFO(proven_not_run);
    SingleReplicaFixture fixture;
    for (int i = 0; i < 5; ++i) {
      fixture.call("/model/x", "m1");
      fixture.notice({false, 1s, ""});
      fixture.answer(503, proven_not_run);
      fixture.pass(1100ms);
    }
    fixture.addReplicas({SingleReplicaFixture::holder("e2")});
    fixture.all.clear();
    for (int i = 0; i < 20; ++i) {
      fixture.call("/model/x", "m1");
      fixture.answer(200);
    }
    CHECK(fixture.sentTo("e1") > 2);
    CHECK(fixture.sentTo("e2") > 2);
  }
}

TEST_CASE("A new incarnation of a replica isn't bound by the notices of the previous one") {
  CallFixture fixture;
  fixture.begin();
  fixture.addReplicas({SingleReplicaFixture::holder("e1@1000")});
  fixture.call("/model/x", "m1");
  fixture.notice({true, 3s, ""});
  fixture.answer(503, true);
  fixture.call("/model/x", "m1");
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  fixture.addReplicas({SingleReplicaFixture::holder("e1@2000")});
  fixture.call("/model/x", "m1");
  CHECK(fixture.sentTo("e1@2000") > 0);
}

TEST_CASE("A broken stream isn't resumed on a replica in a backoff") {
  TwoReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  const std::string refusing = fixture.last<SendAttemptEffect>()->replica.value;
  fixture.refuseWithBackoff(3s);
  fixture.event(1);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  CHECK(fixture.sentTo(refusing) == 1);
}

TEST_CASE("A call whose only replica is in a backoff is reported as waiting demand") {
  SingleReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.refuseWithBackoff(3s);
  fixture.all.clear();
  fixture.pass(1s);
  std::uint32_t waiting = 0;
  for (const Effect& effect : fixture.all) {
    const auto* sent = std::get_if<wire::SendEffect>(&effect);
    const auto* status = sent == nullptr ? nullptr : std::get_if<wire::CallRouterStatus>(&sent->message);
    for (const wire::ModelCallCounts& want :
         status == nullptr ? std::vector<wire::ModelCallCounts>() : status->model_calls) {
      waiting = std::max(waiting, want.waiting);
    }
  }
  CHECK(waiting == 1);
}

TEST_CASE("A caller refused by all replicas gets the earliest end of their backoffs") {
  CallFixture fixture;
  fixture.begin();
  fixture.addReplicas({CallFixture::replica("r1"), CallFixture::replica("r2"), CallFixture::replica("r3")});
  fixture.call("/once/x");
  for (const Duration duration : {5s, 3s, 4s}) {
    fixture.refuseWithBackoff(duration);
  }
  const auto* refusal = fixture.last<RefuseCallEffect>();
  REQUIRE(refusal != nullptr);
  CHECK(*refusal->retry_after >= 3s);
  CHECK(*refusal->retry_after <= 3750ms);
}

}  // namespace
}  // namespace ferryrock::calls
