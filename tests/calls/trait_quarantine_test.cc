#include <catch2/catch.hpp>

#include "calls/call_fixture.h"
#include "quarantine/suspect.h"

/// How calls are treated that share a trait, a part of their prompts or an adapter, under which replicas
/// crashed.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;
using quarantine::QuarantineState;

struct TraitFixture : CallFixture {
  TraitFixture() {
    begin();
    addReplicas({replica("r1"), replica("r2"), replica("r3"), replica("r4"), replica("r5")});
    probe_outcome = ProbeOutcome::Terminated;
  }
  static quarantine::Suspect part(const std::string& id) {
    return quarantine::traitOf(wire::SuspectKind::PromptPart, id);
  }
  std::size_t ends(const std::string& id) { return router().crashLedger().ends(part(id).fingerprint); }
  /// Begins a call that is unlike all others.
  CallNumber promptCall(const std::string& path, const std::vector<std::string>& ids) {
    fingerprint = {7, ++next_};
    parts = ids;
    return call(path);
  }
  wire::CrashRecord quarantineRecord(const std::string& id, std::uint32_t trials = 0) {
    wire::CrashRecord record;
    record.call = part(id).fingerprint;
    record.ended = {{ReplicaId("a"), false}, {ReplicaId("b"), false}, {ReplicaId("c"), false}};
    record.kind = wire::SuspectKind::PromptPart;
    record.name = id;
    record.trials = trials;
    return record;
  }
  void receiveRecords(const wire::CrashRecords& records) {
    take(router().receive({NodeName("control-1"), records}, now));
  }
  void receiveGrant(const std::string& id) {
    receiveRecords({{quarantineRecord(id, 1)}, false, {}, {part(id).fingerprint}});
  }
  std::size_t trialRequests() {
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const Effect& effect) {
      const auto* send = std::get_if<wire::SendEffect>(&effect);
      const auto* records = send == nullptr ? nullptr : std::get_if<wire::CrashRecords>(&send->message);
      return records != nullptr && !records->trial_requests.empty();
    }));
  }

 private:
  std::uint64_t next_ = 0;
};

TEST_CASE("A part is quarantined after three crashes under calls that differ, and no further call is sent") {
  TraitFixture fixture;
  // Several calls may go to the same replica, whose crash counts once.
  constexpr int kMaxCalls = 20;
  for (int i = 0; i < kMaxCalls && fixture.ends("crashing") < 3; ++i) {
    fixture.promptCall("/once/x", {"crashing"});
    fixture.fail(AttemptFailure::OutcomeUnknown);
  }
  REQUIRE(fixture.ends("crashing") == 3);
  const std::size_t sent = fixture.count<SendAttemptEffect>();
  fixture.promptCall("/once/x", {"other", "crashing"});
  CHECK(fixture.count<SendAttemptEffect>() == sent);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::CallQuarantined);
  CHECK(fixture.last<RefuseCallEffect>()->not_run);
  CHECK(fixture.last<RefuseCallEffect>()->retry_after == 1s);
  fixture.promptCall("/once/x", {"other"});
  CHECK(fixture.count<SendAttemptEffect>() == sent + 1);
}

TEST_CASE("An adapter is quarantined after three crashes under calls that differ") {
  TraitFixture fixture;
  fixture.fingerprint = {8, 1};
  wire::CrashRecord record = fixture.quarantineRecord("unused");
  record.call = quarantine::traitOf(wire::SuspectKind::Adapter, "m0/a1").fingerprint;
  fixture.receiveRecords({{record}, false, {}, {}});
  fixture.call("/model/x", "m0", "a1");
  REQUIRE(fixture.count<RefuseCallEffect>() == 1);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::CallQuarantined);
  fixture.call("/model/x", "m0", "a2");
  CHECK(fixture.count<RefuseCallEffect>() == 1);
}

TEST_CASE("The traits of a call whose events had begun before the crash aren't suspected") {
  TraitFixture fixture;
  fixture.promptCall("/single/x", {"begun"});
  fixture.event(1);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  CHECK(fixture.ends("begun") == 0);
  fixture.promptCall("/single/x", {"waiting"});
  fixture.fail(AttemptFailure::OutcomeUnknown);
  CHECK(fixture.ends("waiting") == 1);
}

TEST_CASE("The first event of a stream and a successful answer clear the traits of a call, errors don't") {
  TraitFixture fixture;
  const auto suspect = [&fixture](const std::string& id) {
    wire::CrashRecord record = fixture.quarantineRecord(id);
    record.ended.pop_back();
    fixture.receiveRecords({{record}, false, {}, {}});
  };
  suspect("a");
  fixture.promptCall("/single/x", {"a"});
  fixture.event(1);
  CHECK(fixture.ends("a") == 0);
  suspect("b");
  fixture.promptCall("/once/x", {"b"});
  fixture.answer(500);
  CHECK(fixture.ends("b") == 2);
  fixture.promptCall("/once/x", {"b"});
  fixture.answer(200);
  CHECK(fixture.ends("b") == 0);
}

/// Guards against an answer cut by a crash that clears what caused it.
TEST_CASE(
    "An answer that ended with its connection clears its call and traits only if the replica lives on") {
  for (const ProbeOutcome outcome : {ProbeOutcome::Alive, ProbeOutcome::Terminated, ProbeOutcome::Unknown}) {
    TraitFixture fixture;
    wire::CrashRecord record = fixture.quarantineRecord("a");
    record.ended.pop_back();
    fixture.receiveRecords({{record}, false, {}, {}});
    fixture.probe_outcome = outcome;
    fixture.promptCall("/once/x", {"a"});
    constexpr bool kEndsWithConnection = true;
    fixture.take(
        fixture.router().onAnswer(fixture.attempt(), {200, false, kEndsWithConnection}, fixture.now));
    CHECK(fixture.count<DeliverAnswerEffect>() == 1);
    CHECK(fixture.ends("a") == 2);
    fixture.answerProbes();
    CHECK(fixture.ends("a") == (outcome == ProbeOutcome::Alive        ? 0
                                : outcome == ProbeOutcome::Terminated ? 3
                                                                      : 2));
  }
}

TEST_CASE(
    "A call of a quarantined part runs once as a trial if the leader grants it, and its answer clears it") {
  TraitFixture fixture;
  fixture.receiveRecords({{fixture.quarantineRecord("a")}, false, {}, {}});
  fixture.pass(1100ms);
  fixture.keepAlive();
  fixture.promptCall("/single/x", {"a"});
  CHECK(fixture.trialRequests() == 2);
  CHECK(fixture.count<RefuseCallEffect>() == 0);
  fixture.promptCall("/single/x", {"a"});
  CHECK(fixture.count<RefuseCallEffect>() == 1);
  CHECK(fixture.trialRequests() == 2);
  fixture.receiveGrant("a");
  REQUIRE(fixture.count<SendAttemptEffect>() == 1);
  fixture.promptCall("/single/x", {"a"});
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  fixture.event(1);
  CHECK(fixture.ends("a") == 0);
}

TEST_CASE("A trial that crashes its replica isn't retried") {
  TraitFixture fixture;
  fixture.receiveRecords({{fixture.quarantineRecord("a")}, false, {}, {}});
  fixture.pass(1100ms);
  fixture.promptCall("/stream/x", {"a"});
  fixture.receiveGrant("a");
  REQUIRE(fixture.count<SendAttemptEffect>() == 1);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  CHECK(fixture.ends("a") == 4);
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  CHECK(fixture.count<RefuseCallEffect>() == 1);
}

TEST_CASE("A trial that wasn't sent goes to another replica, one that a replica refused doesn't") {
  TraitFixture fixture;
  fixture.receiveRecords({{fixture.quarantineRecord("a")}, false, {}, {}});
  fixture.pass(1100ms);
  fixture.promptCall("/stream/x", {"a"});
  fixture.receiveGrant("a");
  REQUIRE(fixture.count<SendAttemptEffect>() == 1);
  fixture.fail(AttemptFailure::NotSent);
  CHECK(fixture.count<SendAttemptEffect>() == 2);
  constexpr bool kNotRun = true;
  fixture.answer(503, kNotRun);
  CHECK(fixture.count<SendAttemptEffect>() == 2);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::CallQuarantined);
}

TEST_CASE(
    "A call that waits for a trial is refused if no leader grants it, and a later call uses a late grant") {
  TraitFixture fixture;
  fixture.receiveRecords({{fixture.quarantineRecord("a")}, false, {}, {}});
  fixture.pass(1100ms);
  fixture.promptCall("/single/x", {"a"});
  fixture.pass(300ms);
  CHECK(fixture.count<RefuseCallEffect>() == 1);
  CHECK(fixture.last<RefuseCallEffect>()->not_run);
  fixture.receiveGrant("a");
  fixture.promptCall("/single/x", {"a"});
  CHECK(fixture.count<SendAttemptEffect>() == 1);
}

TEST_CASE("A call with two quarantined traits tests neither of them") {
  TraitFixture fixture;
  fixture.receiveRecords({{fixture.quarantineRecord("a"), fixture.quarantineRecord("b")}, false, {}, {}});
  fixture.pass(1100ms);
  fixture.promptCall("/single/x", {"a", "b"});
  CHECK(fixture.trialRequests() == 0);
  CHECK(fixture.count<RefuseCallEffect>() == 1);
}

}  // namespace
}  // namespace ferryrock::calls
