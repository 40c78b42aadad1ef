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

}  // namespace
}  // namespace ferryrock::calls
