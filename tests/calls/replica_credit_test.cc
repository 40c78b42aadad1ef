#include <catch2/catch.hpp>
#include <string>

#include "calls/call_fixture.h"

/// Calls that need a credit under a replica's rate limit, at one router with a scripted leader.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

struct LimitedReplicaFixture : CallFixture {
  LimitedReplicaFixture() {
    begin();
    addReplicas({holder("e1")});
    receiveLeaderUpdate();
    call("/model/x", "m1");
    ReplicaNotice limited;
    limited.calls_per_second = 1;
    take(router().onHead(attempt(), limited, now));
    answer(200);
  }
  static wire::RoutedReplica holder(const std::string& id) {
    wire::RoutedReplica replica = CallFixture::replica(id, "llm");
    replica.held = {{ModelName("m1"), {}}};
    return replica;
  }
  void receiveLeaderUpdate() {
    wire::ServiceUpdate update;
    update.base = LogIndex{(std::uint64_t{1} << 40) | 1};
    update.grants_limit_credit = true;
    send(update);
  }
  /// Passes the leader's decision on the last credit request.
  void decide(bool granted, std::int64_t wait_ms) {
    const wire::LimitRequest* request = lastRequest();
    REQUIRE(request != nullptr);
    REQUIRE(request->asks.size() == 1);
    const wire::LimitReply reply{0, {{request->asks.front().number, granted, false, wait_ms, 1.0}}};
    take(router().receive({NodeName("control-1"), reply}, now));
  }
  const wire::LimitRequest* lastRequest() const {
    const wire::LimitRequest* last = nullptr;
    for (const Effect& effect : all) {
      const auto* sent = std::get_if<wire::SendEffect>(&effect);
      const auto* request = sent == nullptr ? nullptr : std::get_if<wire::LimitRequest>(&sent->message);
      last = request == nullptr ? last : request;
    }
    return last;
  }
};

TEST_CASE("A call with a credit for a replica that starts draining ends in time and returns the credit") {
  LimitedReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.decide(true, 200);
  ReplicaNotice leaving;
  leaving.leaving = true;
  fixture.notice(leaving);
  fixture.pass(500ms);
  CHECK(fixture.lastRequest()->returned == std::vector<ReplicaId>{ReplicaId("e1")});
  fixture.pass(2s);
  CHECK(fixture.router().openCalls() == 0);
  CHECK(fixture.sentTo("e1") == 1);
}

TEST_CASE("A call waits until its credit may be used") {
  LimitedReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.decide(true, 200);
  fixture.pass(190ms);
  CHECK(fixture.sentTo("e1") == 1);
  fixture.pass(20ms);
  CHECK(fixture.sentTo("e1") == 2);
}

TEST_CASE("A call without available credit is refused at once with the time of the next credit") {
  LimitedReplicaFixture fixture;
  fixture.call("/model/x", "m1");
  fixture.decide(false, 1500);
  const auto* refusal = fixture.last<RefuseCallEffect>();
  REQUIRE(refusal != nullptr);
  CHECK(refusal->code == ResultCode::ReplicaLimited);
  CHECK(refusal->not_run);
  REQUIRE(refusal->retry_after.has_value());
  CHECK(*refusal->retry_after >= 1500ms);
}

TEST_CASE("An unused credit is returned if the caller disconnects or the call wasn't sent") {
  LimitedReplicaFixture fixture;
  const CallNumber gone = fixture.call("/model/x", "m1");
  fixture.decide(true, 200);
  fixture.take(fixture.router().onCallerGone(gone, fixture.now));
  CHECK(fixture.lastRequest()->returned.size() == 1);

  fixture.call("/model/x", "m1");
  fixture.decide(true, 0);
  CHECK(fixture.sentTo("e1") == 2);
  fixture.fail(AttemptFailure::NotSent);
  CHECK(fixture.lastRequest()->returned.size() == 1);
}

TEST_CASE("Without a leader, calls that need a credit don't wait longer than for a replica") {
  LimitedReplicaFixture fixture;
  fixture.pass(3s);
  fixture.call("/model/x", "m1");
  fixture.pass(2s);
  CHECK(fixture.router().openCalls() == 0);
}

TEST_CASE("A limit published by the leader is kept until a leader publishes its end") {
  LimitedReplicaFixture fixture;
  wire::RoutedReplica listed = LimitedReplicaFixture::holder("e2");
  listed.calls_per_second = 2;
  fixture.addReplicas({listed});
  CHECK(fixture.router().replicaLimits().limitOf(ReplicaId("e2")) == 2.0);
  listed.calls_per_second.reset();
  fixture.addReplicas({listed});
  CHECK(fixture.router().replicaLimits().isLimited(ReplicaId("e2")));
  listed.limit_ended = true;
  fixture.addReplicas({listed});
  CHECK_FALSE(fixture.router().replicaLimits().isLimited(ReplicaId("e2")));
}

TEST_CASE("A new incarnation of a replica doesn't inherit the rate limit") {
  CallFixture fixture;
  fixture.begin();
  fixture.addReplicas({LimitedReplicaFixture::holder("e1@1000")});
  fixture.call("/model/x", "m1");
  ReplicaNotice limited;
  limited.calls_per_second = 0;
  fixture.notice(limited);
  CHECK(fixture.router().replicaLimits().isLimited(ReplicaId("e1@1000")));
  fixture.addReplicas({LimitedReplicaFixture::holder("e1@2000")});
  CHECK(fixture.router().replicaLimits().size() == 0);
}

}  // namespace
}  // namespace ferryrock::calls
