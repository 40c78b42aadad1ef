#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "calls/call_fixture.h"

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

struct StartedFixture : CallFixture {
  StartedFixture() {
    begin();
    addReplicas({replica("r1"), replica("r2"), replica("r3")});
  }
};

TEST_CASE("A call without a catalog is refused as certainly not run") {
  CallFixture fixture;
  fixture.call("/safe/x");
  CHECK(fixture.last<RefuseCallEffect>() == nullptr);
  fixture.pass(1600ms);
  const auto* refusal = fixture.last<RefuseCallEffect>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->code == ResultCode::NoCatalog);
  CHECK(refusal->not_run);
  CHECK(refusal->retry_after.has_value());
  CHECK_FALSE(fixture.router().ready());
}

TEST_CASE("A call that arrives before the first catalog is routed when the catalog arrives") {
  CallFixture fixture;
  fixture.call("/safe/x");
  fixture.call("/unknown/x");
  fixture.pass(300ms);
  fixture.begin();
  REQUIRE(fixture.last<RefuseCallEffect>() != nullptr);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::UnknownRoute);
  fixture.addReplicas({CallFixture::replica("r1")});
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  CHECK(fixture.last<SendAttemptEffect>()->time_left == 700ms);
}

TEST_CASE("The longest matching path prefix selects the route, and an unknown route is refused at once") {
  StartedFixture fixture;
  CHECK(fixture.router().ready());
  fixture.call("/safe/a/b/c");
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  fixture.call("/safely/a");
  REQUIRE(fixture.last<RefuseCallEffect>() != nullptr);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::UnknownRoute);
}

TEST_CASE("A call gets the shorter of its caller's and its route's time limit") {
  StartedFixture fixture;
  fixture.call("/safe/x");
  CHECK(fixture.last<SendAttemptEffect>()->time_left == 1s);
}

TEST_CASE("A complete response is delivered exactly once") {
  StartedFixture fixture;
  const CallNumber call = fixture.call("/once/x");
  const AttemptNumber attempt = fixture.attempt();
  fixture.answer(200);
  CHECK(fixture.last<DeliverAnswerEffect>()->call == call);
  fixture.take(fixture.router().onAnswer(attempt, {200, false}, fixture.now));
  CHECK(fixture.count<DeliverAnswerEffect>() == 1);
  CHECK(fixture.router().drained());
}

/// Expected outcome of repeated failures, by kind of call. sent: total number of attempts.
struct FailureCase {
  const char* path;
  AttemptFailure failure;
  std::size_t sent;
  ResultCode code;
  bool not_run;
};

TEST_CASE("Only a call that certainly didn't run, or that is repeatable, is sent again") {
  const std::vector<FailureCase> cases = {
      {"/once/x", AttemptFailure::OutcomeUnknown, 1, ResultCode::ReplicaFailed, false},
      {"/once/x", AttemptFailure::ForeignResponse, 1, ResultCode::ReplicaFailed, false},
      {"/once/x", AttemptFailure::NotSent, 3, ResultCode::NoReplica, true},
      {"/safe/x", AttemptFailure::OutcomeUnknown, 3, ResultCode::ReplicaFailed, false},
      {"/safe/x", AttemptFailure::ForeignResponse, 3, ResultCode::ReplicaFailed, false},
      {"/single/x", AttemptFailure::OutcomeUnknown, 1, ResultCode::ReplicaFailed, false},
      {"/stream/x", AttemptFailure::OutcomeUnknown, 3, ResultCode::ReplicaFailed, false},
  };
  for (const FailureCase& given : cases) {
    INFO(given.path << " " << static_cast<int>(given.failure));
    StartedFixture fixture;
    fixture.call(given.path);
    while (fixture.last<RefuseCallEffect>() == nullptr) {
      fixture.fail(given.failure);
      fixture.pass(20ms);  // if no replica is reachable, the call waits for a short time
    }
    CHECK(fixture.count<SendAttemptEffect>() == given.sent);
    CHECK(fixture.last<RefuseCallEffect>()->code == given.code);
    CHECK(fixture.last<RefuseCallEffect>()->not_run.has_value() == given.not_run);
  }
}

TEST_CASE("A call refused by replicas is sent to others and finally refused with a retry time") {
  StartedFixture fixture;
  fixture.call("/once/x");
  std::set<ReplicaId> attempted;
  for (int i = 0; i < 3; ++i) {
    attempted.insert(fixture.last<SendAttemptEffect>()->replica);
    fixture.answer(503, true);
  }
  CHECK(attempted.size() == 3);
  const auto* refusal = fixture.last<RefuseCallEffect>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->not_run);
  CHECK(refusal->retry_after.has_value());
}

/// One replica holds the model of the calls; tests may add more.
struct ModelFixture : CallFixture {
  explicit ModelFixture(double retry_slack = 100) : CallFixture(retry_slack) {
    begin();
    addReplicas({holder("e1")});
  }
  static wire::RoutedReplica holder(const std::string& id) {
    wire::RoutedReplica replica = CallFixture::replica(id, "llm");
    replica.held = {{ModelName("m1"), {}}};
    return replica;
  }
  const wire::CallRouterStatus& lastStatus() const {
    return std::get<wire::CallRouterStatus>(last<wire::SendEffect>()->message);
  }
};

TEST_CASE("An attempt that reached no replica isn't charged to the retry budget") {
  constexpr double kNoSlack = 0;
  CallFixture fixture(kNoSlack);
  fixture.begin();
  fixture.addReplicas({CallFixture::replica("r1"), CallFixture::replica("r2"), CallFixture::replica("r3")});
  fixture.call("/once/x");
  fixture.fail(AttemptFailure::NotSent);
  fixture.fail(AttemptFailure::NotSent);
  REQUIRE(fixture.count<SendAttemptEffect>() == 3);
  fixture.answer(200);
  CHECK(fixture.count<DeliverAnswerEffect>() == 1);
  fixture.call("/once/x");
  fixture.answer(503, true);
  fixture.pass(20ms);
  fixture.keepAlive();  // the leader's answer to the status that asks for a credit
  REQUIRE(fixture.last<RefuseCallEffect>() != nullptr);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::RetryBudgetSpent);
}

TEST_CASE(
    "A call whose only replica is unreachable waits for another one, and both are reported to control") {
  ModelFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.fail(AttemptFailure::NotSent);
  fixture.pass(20ms);
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  CHECK(fixture.last<RefuseCallEffect>() == nullptr);
  CHECK(fixture.lastStatus().unreachable == std::vector<ReplicaId>{ReplicaId("e1")});
  REQUIRE(fixture.lastStatus().model_calls.size() == 1);
  CHECK(fixture.lastStatus().model_calls[0].waiting == 1);
  fixture.addReplicas({ModelFixture::holder("e2")});
  REQUIRE(fixture.count<SendAttemptEffect>() == 2);
  CHECK(fixture.last<SendAttemptEffect>()->replica == ReplicaId("e2"));
}

TEST_CASE("An unreachable replica is probed by one waiting call after its ejection") {
  ModelFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.fail(AttemptFailure::NotSent);
  fixture.call("/model/x", "m1");
  fixture.pass(550ms);
  REQUIRE(fixture.count<SendAttemptEffect>() == 2);
  CHECK(fixture.last<SendAttemptEffect>()->replica == ReplicaId("e1"));
  fixture.event(1);
  fixture.pass(300ms);
  CHECK(fixture.count<SendAttemptEffect>() == 3);
  CHECK(fixture.lastStatus().unreachable.empty());
}

TEST_CASE("A replica that lacks a listed model is retried at increasing intervals") {
  ModelFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.answer(421, true);
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  fixture.pass(45ms);
  CHECK(fixture.count<SendAttemptEffect>() == 2);
  fixture.answer(421, true);
  fixture.pass(100ms);
  CHECK(fixture.count<SendAttemptEffect>() == 2);
  fixture.pass(70ms);
  CHECK(fixture.count<SendAttemptEffect>() == 3);
  fixture.event(1);
  CHECK(fixture.count<StartStreamEffect>() == 1);
}

TEST_CASE("A call that may have run isn't refused as not run, even if later replicas refuse it") {
  StartedFixture fixture;
  fixture.call("/safe/x");
  fixture.fail(AttemptFailure::OutcomeUnknown);
  while (fixture.last<RefuseCallEffect>() == nullptr) {
    fixture.answer(503, true);
  }
  CHECK_FALSE(fixture.last<RefuseCallEffect>()->not_run);
}

TEST_CASE("An error response is delivered if the call isn't repeatable, and retried elsewhere if it is") {
  StartedFixture fixture;
  fixture.call("/once/x");
  fixture.answer(500);
  CHECK(fixture.count<DeliverAnswerEffect>() == 1);
  fixture.call("/safe/x");
  const ReplicaId first = fixture.last<SendAttemptEffect>()->replica;
  fixture.answer(500);
  CHECK(fixture.last<SendAttemptEffect>()->replica != first);
  fixture.answer(200);
  CHECK(fixture.count<DeliverAnswerEffect>() == 2);
}

TEST_CASE("At the deadline the attempt is cancelled and the call is refused at once") {
  StartedFixture fixture;
  fixture.call("/once/x");
  fixture.pass(999ms);
  CHECK(fixture.last<RefuseCallEffect>() == nullptr);
  fixture.pass(2ms);
  REQUIRE(fixture.last<RefuseCallEffect>() != nullptr);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::DeadlineExpiredRunning);
  CHECK_FALSE(fixture.last<RefuseCallEffect>()->not_run);
  CHECK(fixture.last<CancelAttemptEffect>()->attempt == fixture.attempt());
}

TEST_CASE("The attempt is cancelled if the caller disconnects") {
  StartedFixture fixture;
  const CallNumber call = fixture.call("/once/x");
  fixture.take(fixture.router().onCallerGone(call, fixture.now));
  CHECK(fixture.last<CancelAttemptEffect>()->attempt == fixture.attempt());
  CHECK(fixture.router().drained());
}

TEST_CASE("A broken stream of a resumable route continues on another replica after its last event") {
  StartedFixture fixture;
  fixture.call("/stream/x");
  fixture.event(1);
  fixture.event(2);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  REQUIRE(fixture.count<SendAttemptEffect>() == 2);
  CHECK(fixture.last<SendAttemptEffect>()->resume_after == 2);
  fixture.event(2);
  fixture.event(3);
  CHECK(fixture.count<PassEventEffect>() == 3);
  CHECK(fixture.count<StartStreamEffect>() == 1);
  fixture.take(fixture.router().onStreamEnd(fixture.attempt(), fixture.now));
  CHECK(fixture.count<FinishStreamEffect>() == 1);
}

TEST_CASE("A broken stream that can't be resumed is aborted visibly") {
  StartedFixture fixture;
  fixture.call("/single/x");
  fixture.event(1);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  CHECK(fixture.count<BreakStreamEffect>() == 1);
  CHECK(fixture.count<FinishStreamEffect>() == 0);
}

TEST_CASE("A started stream that no replica continues is aborted instead of refused") {
  StartedFixture fixture;
  fixture.call("/stream/x");
  fixture.event(1);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  while (fixture.count<BreakStreamEffect>() == 0) {
    fixture.answer(503, true);
  }
  CHECK(fixture.last<RefuseCallEffect>() == nullptr);
}

TEST_CASE("A draining replica gets no new calls") {
  StartedFixture fixture;
  wire::RoutedReplica leaving = CallFixture::replica("r1");
  leaving.accepting = false;
  fixture.addReplicas({leaving});
  for (int i = 0; i < 20; ++i) {
    fixture.call("/safe/x");
    CHECK(fixture.last<SendAttemptEffect>()->replica != ReplicaId("r1"));
  }
}

TEST_CASE(
    "A call for a model that no replica holds is reported as demand and runs once the model is loaded") {
  StartedFixture fixture;
  fixture.addReplicas({CallFixture::replica("e1", "llm")});
  fixture.pass(20ms);
  fixture.all.clear();
  fixture.call("/model/x", "m1", "a1");
  fixture.pass(20ms);
  CHECK(fixture.count<SendAttemptEffect>() == 0);
  const auto* send = fixture.last<wire::SendEffect>();
  REQUIRE(send != nullptr);
  const auto& model_calls = std::get<wire::CallRouterStatus>(send->message).model_calls;
  REQUIRE(model_calls.size() == 1);
  CHECK(model_calls[0].waiting == 1);
  CHECK(model_calls[0].adapter == "a1");
  wire::RoutedReplica holder = CallFixture::replica("e1", "llm");
  holder.held = {{ModelName("m1"), {"a1"}}};
  fixture.addReplicas({holder});
  CHECK(fixture.count<SendAttemptEffect>() == 1);
}

TEST_CASE("A call whose model isn't loaded in time is refused as not run before its deadline") {
  StartedFixture fixture;
  fixture.addReplicas({CallFixture::replica("e1", "llm")});
  fixture.call("/model/x", "m1");
  fixture.pass(800ms);
  REQUIRE(fixture.last<RefuseCallEffect>() != nullptr);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::LoadCannotFinishInTime);
  CHECK(fixture.last<RefuseCallEffect>()->not_run);
  CHECK(fixture.last<RefuseCallEffect>()->retry_after.has_value());
}

TEST_CASE("A draining router notifies all members and finally accepts only calls that end in time") {
  StartedFixture fixture;
  fixture.all.clear();
  fixture.take(fixture.router().beginDrain(fixture.now + 2s, fixture.now + 2500ms, fixture.now));
  CHECK_FALSE(fixture.router().ready());
  CHECK(fixture.count<wire::SendEffect>() == 2);
  CHECK_FALSE(std::get<wire::CallRouterStatus>(fixture.last<wire::SendEffect>()->message).accepting);
  fixture.call("/safe/x");
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  fixture.answer(200);
  fixture.pass(2s);
  fixture.call("/safe/x");
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::RouterDraining);
  CHECK(fixture.last<RefuseCallEffect>()->not_run);
}

TEST_CASE("A call that comes back from a replica late in a drain is refused unless it ends in time") {
  StartedFixture fixture;
  const std::string path = GENERATE("/once/x", "/safe/x");
  const bool ends_in_time = GENERATE(false, true);
  fixture.call(path);
  const Duration end = ends_in_time ? 2s : 500ms;
  fixture.take(fixture.router().beginDrain(fixture.now + 100ms, fixture.now + end, fixture.now));
  fixture.pass(200ms);
  constexpr bool kProvenNotRun = true;
  fixture.answer(503, kProvenNotRun);
  CHECK(fixture.count<SendAttemptEffect>() == (ends_in_time ? 2 : 1));
  CHECK(fixture.count<RefuseCallEffect>() == (ends_in_time ? 0 : 1));
  if (!ends_in_time) {
    REQUIRE(fixture.last<RefuseCallEffect>() != nullptr);
    CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::RouterDraining);
    CHECK(fixture.last<RefuseCallEffect>()->not_run);
  }
}

TEST_CASE("Waiting calls and calls left at the end of a drain get a final response") {
  StartedFixture fixture;
  fixture.addReplicas({CallFixture::replica("e1", "llm")});
  fixture.call("/model/x", "m1");
  fixture.call("/once/x");
  fixture.take(fixture.router().beginDrain(fixture.now + 100ms, fixture.now + 5s, fixture.now));
  fixture.pass(110ms);
  REQUIRE(fixture.count<RefuseCallEffect>() == 1);
  CHECK(fixture.last<RefuseCallEffect>()->not_run);
  fixture.take(fixture.router().endDrain(fixture.now));
  CHECK(fixture.count<RefuseCallEffect>() == 2);
  CHECK_FALSE(fixture.last<RefuseCallEffect>()->not_run);
  CHECK(fixture.count<CancelAttemptEffect>() == 1);
  CHECK(fixture.router().drained());
}

TEST_CASE("Updates of a replaced leader are ignored, and the catalog version never decreases") {
  StartedFixture fixture;
  wire::ServiceUpdate newer;
  newer.revision = LogIndex{std::uint64_t{9} << 40};
  newer.catalog = CallFixture::catalog(5);
  fixture.take(fixture.router().receive({NodeName("control-2"), newer}, fixture.now));
  CHECK(fixture.router().catalogVersion().value == 5);
  wire::ServiceUpdate old;
  old.revision = LogIndex{(std::uint64_t{1} << 40) | 99};
  old.catalog = CallFixture::catalog(4);
  old.removed = {ReplicaId("r1"), ReplicaId("r2"), ReplicaId("r3")};
  fixture.take(fixture.router().receive({NodeName("control-1"), old}, fixture.now));
  CHECK(fixture.router().catalogVersion().value == 5);
  CHECK(fixture.router().knownReplicas() == 3);
}

TEST_CASE("A revision is acknowledged at once if confirmation is requested, else with the next status") {
  StartedFixture fixture;
  fixture.pass(300ms);
  fixture.all.clear();
  fixture.addReplicas({CallFixture::replica("r4")});
  fixture.pass(15ms);
  CHECK(fixture.count<wire::SendEffect>() == 0);
  wire::ServiceUpdate update;
  update.base = LogIndex{(std::uint64_t{1} << 40) | 1};
  update.replicas = {CallFixture::replica("r5")};
  update.confirm = true;
  fixture.send(update);
  fixture.pass(15ms);
  REQUIRE(fixture.count<wire::SendEffect>() == 1);
}

/// Names of the members whose connections were replaced, in order.
std::vector<std::string> renewals(const CallFixture& fixture) {
  std::vector<std::string> members;
  for (const Effect& effect : fixture.all) {
    if (const auto* renewal = std::get_if<RenewConnectionEffect>(&effect)) {
      members.push_back(renewal->member.value);
    }
  }
  return members;
}

TEST_CASE("Only the connection to a member that answers no status is replaced") {
  StartedFixture fixture;
  fixture.all.clear();
  for (int i = 0; i < 16; ++i) {
    fixture.pass(250ms);
    fixture.addReplicas({});  // control-1 leads and answers; control-2 doesn't answer
  }
  const std::vector<std::string> members = renewals(fixture);
  CHECK(members.size() >= 2);
  CHECK(std::count(members.begin(), members.end(), "control-2") == static_cast<int>(members.size()));
  fixture.all.clear();
  for (int i = 0; i < 16; ++i) {
    fixture.pass(250ms);
    fixture.addReplicas({});
    fixture.take(fixture.router().receive({NodeName("control-2"), wire::MemberList{}}, fixture.now));
  }
  CHECK(renewals(fixture).empty());
}

TEST_CASE("A catalog is accepted from any member, unless its version is lower") {
  StartedFixture fixture;
  const auto sendCatalog = [&fixture](std::uint64_t version) {
    fixture.take(fixture.router().receive(
        {NodeName("control-2"), wire::CatalogUpdate{CallFixture::catalog(version)}}, fixture.now));
  };
  sendCatalog(4);
  CHECK(fixture.router().catalogVersion().value == 4);
  sendCatalog(3);
  CHECK(fixture.router().catalogVersion().value == 4);
  CHECK(fixture.router().knownReplicas() == 3);
}

struct CountingLog : EventLog {
  void write(LogLevel, std::string_view event, std::initializer_list<LogField>) override {
    ++lines[std::string(event)];
  }
  std::map<std::string, int> lines;
};

TEST_CASE("Table changes are logged as counts, draining and removed replicas individually") {
  constexpr int kUpdates = 200;
  CountingLog log;
  TimePoint now{1000s};
  CallRouterSettings settings;
  settings.feed.router = NodeName("edge-1");
  CallRouter router(settings, log, now);
  wire::ServiceUpdate update;
  for (int i = 1; i <= kUpdates; ++i) {
    update.revision = LogIndex{(std::uint64_t{1} << 40) | static_cast<std::uint64_t>(i)};
    update.replicas = {CallFixture::replica("r1"), CallFixture::replica("r2")};
    update.replicas.front().accepting = i < kUpdates / 2;
    update.removed = i == kUpdates ? std::vector<ReplicaId>{ReplicaId("r2")} : std::vector<ReplicaId>{};
    router.receive({NodeName("control-1"), update}, now);
    now += 10ms;
  }
  CHECK(log.lines["replica.table"] <= 3);
  CHECK(log.lines["replica.table"] >= 2);
  CHECK(log.lines["replica.leaving"] == 1);
  CHECK(log.lines["replica.gone"] == 1);
}

TEST_CASE("Unlisted replicas are removed only by a complete full table") {
  StartedFixture fixture;
  wire::ServiceUpdate partial;
  partial.replicas = {CallFixture::replica("r1")};
  fixture.send(partial);
  CHECK(fixture.router().knownReplicas() == 3);
  partial.complete = true;
  fixture.send(partial);
  CHECK(fixture.router().knownReplicas() == 1);
}

}  // namespace
}  // namespace ferryrock::calls
