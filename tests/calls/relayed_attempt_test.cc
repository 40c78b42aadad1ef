#include <catch2/catch.hpp>

#include "calls/call_fixture.h"

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// A router with two replicas that knows two other routers as relays.
class RelayedCalls : public CallFixture {
 public:
  explicit RelayedCalls(double retry_slack = 100) : CallFixture(retry_slack) {
    begin();
    addReplicas({replica("e1"), replica("e2")});
    setRelays({"edge-2", "edge-3"});
  }
  void setRelays(const std::vector<std::string>& names) {
    wire::ServiceUpdate update;
    update.base = LogIndex{(std::uint64_t{1} << 40) | 1};
    update.relays.emplace();
    for (const std::string& name : names) {
      update.relays->push_back({NodeName(name), ZoneName(""), name + ":90"});
    }
    send(update);
  }
  /// Makes both replicas of the service "desk" unreachable over the router's own connections.
  void partitionService() {
    call("/once/x");
    fail(AttemptFailure::NotSent);
    fail(AttemptFailure::NotSent);
    answer(200);
  }
  void partition() {
    partitionService();
    REQUIRE(router().isPartitioned());
  }
  const SendAttemptEffect& sent() const { return *last<SendAttemptEffect>(); }
};

TEST_CASE("A call that reaches no replica directly is relayed, at no cost to the retry budget") {
  constexpr double kNoRetries = 0;
  RelayedCalls fixture(kNoRetries);
  fixture.call("/once/x");
  CHECK_FALSE(fixture.sent().relay);
  fixture.fail(AttemptFailure::NotSent);
  CHECK_FALSE(fixture.sent().relay);
  fixture.fail(AttemptFailure::NotSent);
  REQUIRE(fixture.sent().relay);
  CHECK(fixture.sent().relay->address == fixture.sent().relay->router.value + ":90");
  CHECK(fixture.sent().address.ends_with(":80"));
  fixture.answer(200);
  CHECK(fixture.count<DeliverAnswerEffect>() == 1);
  const std::size_t before = fixture.count<SendAttemptEffect>();
  fixture.call("/once/x");
  CHECK(fixture.count<SendAttemptEffect>() == before + 1);
  CHECK(fixture.sent().relay);
}

TEST_CASE("Streams that wait for slow callers cast no doubt on the way to their replicas") {
  const bool paused = GENERATE(false, true);
  RelayedCalls fixture;
  constexpr int kStreams = 4;
  std::vector<AttemptNumber> attempts;
  for (int i = 0; i < kStreams; ++i) {
    fixture.call("/stream/x");
    attempts.push_back(fixture.attempt());
    fixture.take(fixture.router().onStreamEvent(attempts.back(), 1, "id: 1\n\n", fixture.now));
    if (paused) {
      fixture.router().onReadingPaused(attempts.back());
    }
  }
  fixture.pass(800ms);
  fixture.call("/once/x");
  CHECK(fixture.sent().relay.has_value() == !paused);
  if (paused) {
    for (const AttemptNumber attempt : attempts) {
      fixture.router().onReadingResumed(attempt, fixture.now);
    }
    fixture.pass(100ms);
    fixture.call("/once/x");
    CHECK_FALSE(fixture.sent().relay);
  }
}

TEST_CASE("Other replicas are used directly while only one can't be reached") {
  RelayedCalls fixture;
  fixture.call("/once/x");
  fixture.fail(AttemptFailure::NotSent);
  fixture.answer(200);
  for (int i = 0; i < 10; ++i) {
    fixture.call("/once/x");
    CHECK_FALSE(fixture.sent().relay);
    fixture.answer(200);
  }
}

TEST_CASE(
    "Another relay takes the place of one that fails, and a call that none sends is refused as not run") {
  RelayedCalls fixture;
  fixture.partition();
  fixture.call("/once/x");
  const NodeName first = fixture.sent().relay->router;
  fixture.fail(AttemptFailure::RelayFailed);
  REQUIRE(fixture.sent().relay);
  CHECK(fixture.sent().relay->router != first);
  fixture.fail(AttemptFailure::RelayFailed);
  fixture.pass(900ms);
  const auto* refusal = fixture.last<RefuseCallEffect>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->not_run);
}

TEST_CASE("A relayed call that may have run isn't sent again if it may run only once") {
  RelayedCalls fixture;
  fixture.partition();
  fixture.call("/once/x");
  const std::size_t before = fixture.count<SendAttemptEffect>();
  fixture.fail(AttemptFailure::OutcomeUnknown);
  fixture.pass(1s);
  CHECK(fixture.count<SendAttemptEffect>() == before);
  REQUIRE(fixture.last<RefuseCallEffect>() != nullptr);
  CHECK_FALSE(fixture.last<RefuseCallEffect>()->not_run);
}

TEST_CASE("A relayed call that a replica refused unrun may be sent again") {
  RelayedCalls fixture;
  fixture.partition();
  fixture.call("/once/x");
  const ReplicaId first = fixture.sent().replica;
  constexpr bool kNotRun = true;
  fixture.answer(503, kNotRun);
  CHECK(fixture.sent().replica != first);
  CHECK(fixture.sent().relay);
}

TEST_CASE("While there are relays, unreachable replicas are probed by the router and not by calls") {
  RelayedCalls fixture;
  fixture.partition();
  const std::size_t probes = fixture.count<ProbeReplicaEffect>();
  for (int i = 0; i < 8; ++i) {
    fixture.pass(300ms);
    fixture.call("/once/x");
    CHECK(fixture.sent().relay);
    fixture.answer(200);
  }
  CHECK(fixture.count<ProbeReplicaEffect>() > probes);
  fixture.probe_outcome = ProbeOutcome::Alive;
  fixture.answerProbes();
  fixture.call("/once/x");
  CHECK_FALSE(fixture.sent().relay);
}

TEST_CASE("A router without other connections has a replica that broke off a call probed by a relay") {
  const bool relay_reaches = GENERATE(true, false);
  RelayedCalls fixture;
  fixture.call("/once/x");
  const ReplicaId replica = fixture.sent().replica;
  fixture.take(
      fixture.router().onFailure(fixture.attempt(), AttemptFailure::OutcomeUnknown, "reset", fixture.now));
  REQUIRE(fixture.last<ProbeReplicaEffect>()->relay);
  const ProbeOutcome outcome = relay_reaches ? ProbeOutcome::Alive : ProbeOutcome::Refused;
  fixture.take(fixture.router().onProbed(replica, outcome, fixture.now));
  CHECK(fixture.router().counts().replica_crashes == (relay_reaches ? 0 : 1));
}

TEST_CASE(
    "A refused connection is confirmed by a relay if the router's other connections have closed since") {
  RelayedCalls fixture;
  fixture.call("/once/x");
  const AttemptNumber first = fixture.attempt();
  const ReplicaId replica = fixture.sent().replica;
  fixture.call("/once/x");
  const AttemptNumber second = fixture.attempt();
  fixture.take(fixture.router().onFailure(first, AttemptFailure::OutcomeUnknown, "reset", fixture.now));
  CHECK_FALSE(fixture.last<ProbeReplicaEffect>()->relay);
  fixture.take(fixture.router().onFailure(second, AttemptFailure::OutcomeUnknown, "reset", fixture.now));
  fixture.take(fixture.router().onProbed(replica, ProbeOutcome::Refused, fixture.now));
  REQUIRE(fixture.last<ProbeReplicaEffect>()->relay);
  fixture.take(fixture.router().onProbed(replica, ProbeOutcome::Alive, fixture.now));
  CHECK(fixture.router().counts().replica_crashes == 0);
}

TEST_CASE("A crash is recorded without a relay while the router has connections to other replicas") {
  RelayedCalls fixture;
  fixture.call("/once/x");
  const AttemptNumber first = fixture.attempt();
  const ReplicaId replica = fixture.sent().replica;
  fixture.call("/once/x");
  REQUIRE(fixture.sent().replica != replica);
  fixture.take(fixture.router().onFailure(first, AttemptFailure::OutcomeUnknown, "reset", fixture.now));
  fixture.take(fixture.router().onProbed(replica, ProbeOutcome::Refused, fixture.now));
  CHECK(fixture.router().counts().replica_crashes == 1);
}

TEST_CASE("A router that can't reach one service's replicas uses and offers its connections to another's") {
  RelayedCalls fixture;
  wire::RoutedReplica engine = CallFixture::replica("m1", "llm");
  engine.held = {{ModelName("m"), {}}};
  fixture.addReplicas({engine});
  fixture.call("/model/x", "m");
  fixture.answer(200);
  fixture.partitionService();
  fixture.call("/model/x", "m");
  CHECK_FALSE(fixture.sent().relay);
  fixture.answer(200);
  fixture.call("/once/x");
  CHECK(fixture.sent().relay);
  CHECK(fixture.router().relaysAttempts());
  CHECK(fixture.router().reachesReplicaAt("m1:80", fixture.now));
  CHECK_FALSE(fixture.router().reachesReplicaAt("e1:80", fixture.now));
}

TEST_CASE("A refused connection isn't trusted while other replicas of the service can't be reached") {
  RelayedCalls fixture;
  CHECK(fixture.router().trustsRefusal("e1:80"));
  fixture.take(fixture.router().onRelayedForOther("e2:80", false, fixture.now));
  CHECK_FALSE(fixture.router().trustsRefusal("e1:80"));
}

TEST_CASE("A router that reaches no replica declines to relay, until it reaches one again") {
  RelayedCalls fixture;
  CHECK(fixture.router().relaysAttempts());
  fixture.take(fixture.router().onRelayedForOther("e1:80", false, fixture.now));
  fixture.take(fixture.router().onRelayedForOther("e2:80", false, fixture.now));
  CHECK_FALSE(fixture.router().relaysAttempts());
  fixture.take(fixture.router().onRelayedForOther("e1:80", true, fixture.now));
  CHECK(fixture.router().relaysAttempts());
  fixture.take(fixture.router().beginDrain(fixture.now, fixture.now + 5s, fixture.now));
  CHECK_FALSE(fixture.router().relaysAttempts());
}

}  // namespace
}  // namespace ferryrock::calls
