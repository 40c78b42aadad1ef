#include <catch2/catch.hpp>

#include "calls/call_fixture.h"

/// Streams and the software versions of replicas.
namespace ferryrock::calls {
namespace {

wire::RoutedReplica versioned(const std::string& id, const std::optional<std::string>& version) {
  wire::RoutedReplica replica = CallFixture::replica(id);
  replica.version = version;
  return replica;
}

struct VersionFixture : CallFixture {
  explicit VersionFixture(const std::vector<wire::RoutedReplica>& replicas) {
    begin();
    addReplicas(replicas);
  }
  ReplicaId usedReplica() const { return last<SendAttemptEffect>()->replica; }
  void remove(const ReplicaId& id) {
    wire::ServiceUpdate update;
    update.base = LogIndex{(std::uint64_t{1} << 40) | 1};
    update.removed = {id};
    send(update);
  }
};

TEST_CASE("The rest of a stream is sent to another replica of the version that began it") {
  VersionFixture fixture(
      {versioned("r1", "v1"), versioned("r2", "v2"), versioned("r3", "v1"), versioned("r4", "v2")});
  fixture.call("/stream/x");
  const bool first_is_v1 = fixture.usedReplica().value == "r1" || fixture.usedReplica().value == "r3";
  fixture.event(1);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  REQUIRE(fixture.count<SendAttemptEffect>() == 2);
  const bool second_is_v1 = fixture.usedReplica().value == "r1" || fixture.usedReplica().value == "r3";
  CHECK(second_is_v1 == first_is_v1);
  CHECK(fixture.last<SendAttemptEffect>()->resume_after == 1);
}

TEST_CASE("A stream is broken off at once if no replica of its version is left") {
  VersionFixture fixture({versioned("r1", "v1"), versioned("r2", "v2")});
  fixture.call("/stream/x");
  const ReplicaId used = fixture.usedReplica();
  fixture.event(1);
  fixture.remove(used);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  CHECK(fixture.count<BreakStreamEffect>() == 1);
}

TEST_CASE("A stream of an unknown version goes on only at the same replica") {
  VersionFixture fixture({versioned("r1", std::nullopt), versioned("r2", std::nullopt)});
  fixture.call("/stream/x");
  const ReplicaId used = fixture.usedReplica();
  fixture.event(1);
  fixture.fail(AttemptFailure::OutcomeUnknown);
  REQUIRE(fixture.count<SendAttemptEffect>() == 2);
  CHECK(fixture.usedReplica() == used);
}

TEST_CASE("A stream without events goes to a replica of any version") {
  VersionFixture fixture({versioned("r1", "v1"), versioned("r2", "v2")});
  fixture.call("/stream/x");
  const ReplicaId used = fixture.usedReplica();
  fixture.fail(AttemptFailure::OutcomeUnknown);
  REQUIRE(fixture.count<SendAttemptEffect>() == 2);
  CHECK(fixture.usedReplica() != used);
}

/// A router that another one's stream is taken up at.
struct ResumeFixture : VersionFixture {
  ResumeFixture() : VersionFixture({versioned("r1", "v1"), versioned("r2", "v2"), versioned("r3", "v1")}) {
    take(
        router().receive({NodeName("control-2"), wire::MemberList{{}, NodeName("control-1"), 0, true}}, now));
  }
  void resume(const std::string& stream) {
    CallRequest request;
    request.number = CallNumber{++resumed_};
    request.id = RequestId("again-" + std::to_string(resumed_));
    request.host = "example";
    request.path = "/stream/x";
    request.resume_after = 7;
    request.resumes = RequestId(stream);
    take(router().onCall(request, now));
  }
  void reply(const std::string& stream, const std::optional<std::string>& version) {
    wire::StreamOriginReply reply;
    reply.stream = RequestId(stream);
    if (version) {
      reply.origin = wire::StreamOrigin{reply.stream, ServiceName("desk"), version, ReplicaId("gone")};
    }
    take(router().receive({NodeName("control-2"), reply}, now));
  }

 private:
  std::uint64_t resumed_ = 500;
};

TEST_CASE("A stream that is taken up goes to the version that a member names") {
  ResumeFixture fixture;
  fixture.resume("stream-1");
  CHECK(fixture.count<SendAttemptEffect>() == 0);
  fixture.reply("stream-1", "v2");
  REQUIRE(fixture.count<SendAttemptEffect>() == 1);
  CHECK(fixture.usedReplica() == ReplicaId("r2"));
  CHECK(fixture.last<SendAttemptEffect>()->resume_after == 7);
}

TEST_CASE(
    "A stream of which nobody knows the origin is refused as not run, at once or after the members' time") {
  ResumeFixture fixture;
  fixture.resume("stream-1");
  SECTION("no member knows it") {
    fixture.reply("stream-1", std::nullopt);
  }
  SECTION("no member answers") {
    fixture.pass(std::chrono::milliseconds(300));
  }
  REQUIRE(fixture.count<RefuseCallEffect>() == 1);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::StreamOriginUnknown);
  CHECK(fixture.last<RefuseCallEffect>()->not_run);
  CHECK(fixture.count<SendAttemptEffect>() == 0);
}

TEST_CASE("A stream whose version is gone is refused at once") {
  ResumeFixture fixture;
  fixture.resume("stream-1");
  fixture.reply("stream-1", "v0");
  REQUIRE(fixture.count<RefuseCallEffect>() == 1);
  CHECK(fixture.last<RefuseCallEffect>()->code == ResultCode::StreamVersionGone);
}

TEST_CASE("A router knows the streams that it ran itself without asking") {
  ResumeFixture fixture;
  fixture.call("/stream/x");
  const bool on_v1 = fixture.usedReplica() != ReplicaId("r2");
  fixture.event(1);
  fixture.take(fixture.router().onCallerGone(CallNumber{1}, fixture.now));
  fixture.resume("call-1");
  REQUIRE(fixture.count<SendAttemptEffect>() == 2);
  CHECK((fixture.usedReplica() != ReplicaId("r2")) == on_v1);
}

}  // namespace
}  // namespace ferryrock::calls
