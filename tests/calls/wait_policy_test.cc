#include "calls/wait_policy.h"

#include <catch2/catch.hpp>
#include <vector>

#include "calls/call_fixture.h"
#include "calls/expected_loads.h"

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kArrived{1000s};

/// A call with a target latency of 1 s and a time limit of 20 s that no replica has received.
WaitingCall notStartedCall() {
  return {kArrived, kArrived + 20s, 1s, std::nullopt, true};
}

TEST_CASE("A call waits for a model within a share of its time limit and of its caller's idle timeout") {
  WaitingCall call = notStartedCall();
  CHECK(waitLimit(call, ChoiceFailure::NotHeld, kArrived) == kArrived + 9400ms);
  call.caller_idle_timeout = 4s;
  CHECK(waitLimit(call, ChoiceFailure::NotHeld, kArrived) == kArrived + 3400ms);
  CHECK(waitLimit(call, ChoiceFailure::NotHeld, kArrived + 5s) == kArrived + 5s);
}

TEST_CASE("A call waits for a free slot only as long as it may be in time elsewhere") {
  CHECK(waitLimit(notStartedCall(), ChoiceFailure::Refusing, kArrived) == kArrived + 220ms);
  CHECK(waitLimit(notStartedCall(), ChoiceFailure::NoReplica, kArrived) == kArrived + 220ms);
  WaitingCall call = notStartedCall();
  call.deadline = kArrived + 100ms;
  CHECK(waitLimit(call, ChoiceFailure::NoReplica, kArrived) == kArrived + 100ms);
}

struct RetryCase {
  const char* name;
  Duration ready;
  Duration now;
  bool not_started;
  bool refused;
};

TEST_CASE(
    "A caller is refused with a retry time if the load is late, the refusal prompt and a retry possible") {
  const std::vector<RetryCase> cases = {
      {"late load", 3s, 20ms, true, true},
      {"in time", 800ms, 20ms, true, false},
      {"not prompt any more", 3s, 300ms, true, false},
      {"no time to come back", 7s, 20ms, true, false},
      {"a replica has had it", 3s, 20ms, false, false},
  };
  for (const RetryCase& given : cases) {
    INFO(given.name);
    WaitingCall call = notStartedCall();
    call.not_started = given.not_started;
    const auto delay = retryDelayForLateModel(call, kArrived + given.ready, kArrived + given.now);
    CHECK(delay.has_value() == given.refused);
    if (delay) {
      CHECK(*delay > given.ready - given.now);
      CHECK(*delay < given.ready - given.now + 500ms);
    }
  }
}

TEST_CASE("A call whose model is ready after the permitted wait is refused as soon as that is known") {
  const WaitingCall call = notStartedCall();  // the permitted wait is 9.4 s
  CHECK_FALSE(retryDelayIfUnservable(call, kArrived + 9s, kArrived).has_value());
  const auto early = retryDelayIfUnservable(call, kArrived + 30s, kArrived);
  REQUIRE(early.has_value());
  CHECK(*early >= 30s);
  CHECK(retryDelayIfUnservable(call, kArrived + 12s, kArrived + 5s).has_value());
  WaitingCall started = call;
  started.not_started = false;
  CHECK_FALSE(retryDelayIfUnservable(started, kArrived + 30s, kArrived).has_value());
}

TEST_CASE("A call that can't be served isn't held, and its model stays in demand until the retry") {
  CallFixture fixture;
  fixture.begin();
  fixture.addReplicas({CallFixture::replica("e1", "llm")});
  fixture.call("/model/x", "m1");
  fixture.pass(15ms);
  wire::ServiceUpdate update;
  update.base = LogIndex{(std::uint64_t{1} << 40) | 1};
  update.coming = {{ServiceName("llm"), ModelName("m1"), 20'000}};
  fixture.send(update);
  const auto* refusal = fixture.last<RefuseCallEffect>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->code == ResultCode::LoadCannotFinishInTime);
  CHECK(refusal->not_run);
  CHECK(refusal->retry_after >= 20s);
  fixture.pass(500ms);
  const auto& status = std::get<wire::CallRouterStatus>(fixture.last<wire::SendEffect>()->message);
  REQUIRE(status.model_calls.size() == 1);
  CHECK(status.model_calls[0].waiting == 1);
}

TEST_CASE("The expected load time is kept until it is past, and callers are expected a little longer") {
  ExpectedLoads loads;
  const ServiceName service("llm");
  const ModelName model("m1");
  loads.accept({{service, model, 2000}}, kArrived);
  CHECK(loads.readyAt(service, model, kArrived + 1s) == kArrived + 2s);
  CHECK_FALSE(loads.readyAt(service, model, kArrived + 2s).has_value());
  CHECK_FALSE(loads.readyAt(service, ModelName("m2"), kArrived).has_value());
  loads.addReturningCaller(service, model, kArrived + 2s);
  loads.addReturningCaller(service, model, kArrived + 3s);
  CHECK(loads.returningCallers(kArrived + 2500ms).at({service, model}) == 2);
  CHECK(loads.returningCallers(kArrived + 3s).at({service, model}) == 1);
  CHECK(loads.returningCallers(kArrived + 4s).empty());
}

TEST_CASE("A call whose model is being loaded is refused at once with a retry time and stays in demand") {
  CallFixture fixture;
  fixture.begin();
  fixture.addReplicas({CallFixture::replica("e1", "llm")});
  fixture.call("/model/x", "m1");
  fixture.pass(15ms);
  wire::ServiceUpdate update;
  update.base = LogIndex{(std::uint64_t{1} << 40) | 1};
  update.coming = {{ServiceName("llm"), ModelName("m1"), 175}};
  fixture.send(update);
  const auto* refusal = fixture.last<RefuseCallEffect>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->not_run);
  REQUIRE(refusal->retry_after.has_value());
  CHECK(*refusal->retry_after >= 175ms);
  CHECK(*refusal->retry_after < 400ms);
  fixture.pass(260ms);
  const auto& status = std::get<wire::CallRouterStatus>(fixture.last<wire::SendEffect>()->message);
  REQUIRE(status.model_calls.size() == 1);
  CHECK(status.model_calls[0].waiting == 1);
}

TEST_CASE("A replica with long event gaps is used only while the fast ones prefill") {
  ReplicaTable table(ZoneName(""), 3);
  wire::ServiceUpdate update;
  for (const char* id : {"fast", "slow"}) {
    wire::RoutedReplica replica = CallFixture::replica(id, "llm");
    replica.held = {{ModelName("m1"), {}}};
    update.replicas.push_back(replica);
  }
  table.apply(update, kArrived);
  Replica& fast = *table.find(ReplicaId("fast"));
  Replica& slow = *table.find(ReplicaId("slow"));
  for (int i = 0; i < 5; ++i) {
    fast.recordGap(ModelName("m1"), i == 2 ? 140ms : 20ms);
    slow.recordGap(ModelName("m1"), 27ms);
  }
  ReplicaNeed need;
  need.service = ServiceName("llm");
  need.model = ModelName("m1");
  for (int i = 0; i < 4; ++i) {
    Replica* chosen = table.choose(need, kArrived).replica;
    CHECK(chosen == &fast);
    table.onSent(*chosen, kArrived);
  }
  fast.pending_prefill_tokens = 1000;
  CHECK(table.choose(need, kArrived).replica == &slow);
}

}  // namespace
}  // namespace ferryrock::calls
