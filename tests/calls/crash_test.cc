#include <catch2/catch.hpp>

#include "calls/call_fixture.h"
#include "quarantine/crash_ledger.h"

/// Which events count as evidence that a call crashed a replica, and how such a call is handled.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;
using quarantine::QuarantineState;

struct CrashFixture : CallFixture {
  CrashFixture() {
    begin();
    addReplicas({replica("r1"), replica("r2"), replica("r3"), replica("r4"), replica("r5")});
    probe_outcome = ProbeOutcome::Terminated;
  }
  QuarantineState quarantineState() { return router().crashLedger().quarantineState(fingerprint); }
  /// Passes the crash record of another router, as forwarded by a member.
  void receiveRecord(const std::vector<std::string>& ended, bool shares_all = false) {
    wire::CrashRecord record;
    record.call = fingerprint;
    for (const std::string& id : ended) {
      record.ended.push_back({ReplicaId(id), false});
    }
    take(router().receive({NodeName("control-1"), wire::CrashRecords{{record}, shares_all}}, now));
  }
  /// Number of messages with crash records that the router has sent to members.
  std::size_t sentRecords() {
    std::size_t count = 0;
    for (const Effect& effect : all) {
      const auto* send = std::get_if<wire::SendEffect>(&effect);
      count += send != nullptr && std::holds_alternative<wire::CrashRecords>(send->message) ? 1 : 0;
    }
    return count;
  }
};

/// How an attempt ended, and whether that counts against the call.
struct EvidenceCase {
  const char* name;
  AttemptFailure failure;
  ProbeOutcome outcome;
  bool counts;
  std::size_t probes;
};

TEST_CASE("Only a replica found terminated after it broke off the call counts against the call") {
  const std::vector<EvidenceCase> cases = {
      {"the process ended", AttemptFailure::OutcomeUnknown, ProbeOutcome::Terminated, true, 1},
      {"the connection was reset, or the answer lost or cut short", AttemptFailure::OutcomeUnknown,
       ProbeOutcome::Alive, false, 1},
      {"the replica is cut off, frozen or slow", AttemptFailure::OutcomeUnknown, ProbeOutcome::Unknown, false,
       1},
      {"the replica had ended before the call was sent", AttemptFailure::NotSent, ProbeOutcome::Terminated,
       false, 0},
  };
  for (const EvidenceCase& given : cases) {
    INFO(given.name);
    CrashFixture fixture;
    fixture.probe_outcome = given.outcome;
    fixture.call("/once/x");
    fixture.fail(given.failure);
    CHECK((fixture.quarantineState() == QuarantineState::Suspected) == given.counts);
    CHECK(fixture.count<ProbeReplicaEffect>() == given.probes);
  }
}

TEST_CASE("A call is refused as possibly run and not retried after a third replica crashed under it") {
  CrashFixture fixture;
  fixture.call("/safe/x");
  fixture.fail(AttemptFailure::OutcomeUnknown);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  CHECK(fixture.count<RefuseCallEffect>() == 0);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  REQUIRE(fixture.count<RefuseCallEffect>() == 1);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::CallQuarantined);
  CHECK_FALSE(fixture.last<RefuseCallEffect>()->not_run);
  CHECK(fixture.count<SendAttemptEffect>() == 3);
}

TEST_CASE("A repeated quarantined call is refused at once as not run, with the end of its quarantine") {
  CrashFixture fixture;
  fixture.receiveRecord({"a", "b", "c"});
  fixture.call("/model/x", "m0");
  REQUIRE(fixture.count<RefuseCallEffect>() == 1);
  const RefuseCallEffect refused = *fixture.last<RefuseCallEffect>();
  CHECK(refused.code == ResultCode::CallQuarantined);
  CHECK(refused.not_run);
  fixture.pass(300ms);
  for (const Effect& effect : fixture.all) {
    const auto* send = std::get_if<wire::SendEffect>(&effect);
    const auto* status = send == nullptr ? nullptr : std::get_if<wire::CallRouterStatus>(&send->message);
    CHECK((status == nullptr || status->model_calls.empty()));
  }
  CHECK(refused.retry_after == quarantine::CrashLedgerSettings{}.quarantine);
  CHECK(fixture.count<SendAttemptEffect>() == 0);
  fixture.fingerprint = {9, 9};
  fixture.call("/safe/x");
  CHECK(fixture.count<SendAttemptEffect>() == 1);
}

TEST_CASE("A reported third crash ends waiting and unanswered calls but no stream in progress") {
  CrashFixture fixture;
  fixture.call("/stream/x");
  const AttemptNumber streaming = fixture.attempt();
  fixture.event(1);
  fixture.call("/safe/x");
  const AttemptNumber running = fixture.attempt();
  fixture.call("/model/x", "m0");
  fixture.receiveRecord({"a", "b", "c"});
  CHECK(fixture.count<RefuseCallEffect>() == 2);
  REQUIRE(fixture.count<CancelAttemptEffect>() == 1);
  CHECK(fixture.last<CancelAttemptEffect>()->attempt == running);
  fixture.take(fixture.router().onStreamEnd(streaming, fixture.now));
  CHECK(fixture.count<FinishStreamEffect>() == 1);
  CHECK(fixture.quarantineState() == QuarantineState::Unsuspected);
}

TEST_CASE("Crashed replicas don't use up the attempts of calls that ran beside the crashing one") {
  CrashFixture fixture;
  fixture.receiveRecord({});
  fixture.call("/safe/x");
  fixture.fail(AttemptFailure::OutcomeUnknown);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  fixture.probe_outcome = ProbeOutcome::Alive;
  fixture.fail(AttemptFailure::OutcomeUnknown);
  CHECK(fixture.count<SendAttemptEffect>() == 4);
  fixture.answer(200);
  CHECK(fixture.count<DeliverAnswerEffect>() == 1);
  CHECK(fixture.quarantineState() == QuarantineState::Unsuspected);
}

TEST_CASE("A call that was broken off waits for the probe of its replica, but not beyond its deadline") {
  CrashFixture fixture;
  fixture.call("/safe/x");
  fixture.take(fixture.router().onFailure(fixture.attempt(), AttemptFailure::OutcomeUnknown, "broken off",
                                          fixture.now));
  fixture.pass(100ms);
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  fixture.answerProbes();
  CHECK(fixture.count<SendAttemptEffect>() == 2);
  fixture.take(fixture.router().onFailure(fixture.attempt(), AttemptFailure::OutcomeUnknown, "broken off",
                                          fixture.now));
  fixture.pass(1s);
  REQUIRE(fixture.count<RefuseCallEffect>() == 1);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::ReplicaFailed);
  fixture.answerProbes();
  CHECK(fixture.count<SendAttemptEffect>() == 2);
}

TEST_CASE("One probe decides for all calls that a replica broke off, even if a caller has disconnected") {
  CrashFixture fixture;
  fixture.addReplicas({});
  std::vector<AttemptNumber> attempts;
  std::vector<CallNumber> calls;
  for (std::uint64_t i = 0; i < 15; ++i) {
    fixture.fingerprint = {5, i};
    calls.push_back(fixture.call("/once/x"));
    attempts.push_back(fixture.attempt());
  }
  std::map<ReplicaId, std::size_t> on_replica;
  for (const Effect& effect : std::vector<Effect>(fixture.all)) {
    if (const auto* send = std::get_if<SendAttemptEffect>(&effect)) {
      ++on_replica[send->replica];
      fixture.take(fixture.router().onFailure(send->attempt, AttemptFailure::OutcomeUnknown, "broken off",
                                              fixture.now));
    }
  }
  fixture.take(fixture.router().onCallerGone(calls[0], fixture.now));
  CHECK(fixture.count<ProbeReplicaEffect>() == on_replica.size());
  fixture.answerProbes();
  for (std::uint64_t i = 0; i < 15; ++i) {
    CHECK(fixture.router().crashLedger().ends({5, i}) == 1);
  }
}

TEST_CASE("Crashes and the responses that refute them are reported to members, other calls aren't") {
  CrashFixture fixture;
  fixture.call("/safe/x");
  fixture.answer(200);
  CHECK(fixture.sentRecords() == 0);
  fixture.call("/safe/x");
  fixture.fail(AttemptFailure::OutcomeUnknown);
  CHECK(fixture.sentRecords() == 2);
  fixture.answer(200);
  CHECK(fixture.sentRecords() == 4);
  CHECK(fixture.quarantineState() == QuarantineState::Unsuspected);
}

TEST_CASE("Shared crash records are sent only to a member that lacks some of them") {
  CrashFixture fixture;
  fixture.receiveRecord({"a", "b"}, true);
  CHECK(fixture.sentRecords() == 0);
  fixture.take(fixture.router().receive({NodeName("control-1"), wire::CrashRecords{{}, true}}, fixture.now));
  CHECK(fixture.sentRecords() == 1);
}

}  // namespace
}  // namespace ferryrock::calls
