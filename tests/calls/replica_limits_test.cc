#include "calls/replica_limits.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;
using Change = ReplicaLimits::Change;

constexpr TimePoint kNow{1000s};
const ReplicaId kReplica("r1");

TEST_CASE("A limit ends only if a call that was sent after it was stated gets a response without one") {
  ReplicaLimits limits({NodeName("edge-1"), 7, 3});
  CHECK(limits.recordLimit(kReplica, 1.2, kNow - 1s, kNow) == Change::Added);
  CHECK(limits.recordNoLimit(kReplica, kNow - 10ms) == Change::None);
  CHECK(limits.isLimited(kReplica));
  CHECK(limits.recordNoLimit(kReplica, kNow + 10ms) == Change::Ended);
  CHECK_FALSE(limits.isLimited(kReplica));
  CHECK(limits.recordNoLimit(kReplica, kNow + 20ms) == Change::None);
}

TEST_CASE("Of two limits in unknown order the lower applies, otherwise the later") {
  ReplicaLimits limits({NodeName("edge-1"), 7, 3});
  limits.recordLimit(kReplica, 2, kNow - 1s, kNow);
  CHECK(limits.recordLimit(kReplica, 5, kNow - 1s, kNow + 1ms) == Change::None);
  CHECK(limits.limitOf(kReplica) == 2.0);
  CHECK(limits.recordLimit(kReplica, 1, std::nullopt, kNow + 2ms) == Change::Changed);
  CHECK(limits.limitOf(kReplica) == 1.0);
  CHECK(limits.recordLimit(kReplica, 5, kNow + 3ms, kNow + 10ms) == Change::Changed);
  CHECK(limits.limitOf(kReplica) == 5.0);
}

TEST_CASE("A raised limit is accepted while responses to earlier calls keep arriving") {
  ReplicaLimits limits({NodeName("edge-1"), 7, 3});
  limits.recordLimit(kReplica, 1, kNow - 100ms, kNow);
  for (Duration passed = 10ms; passed <= 300ms; passed += 10ms) {
    limits.recordLimit(kReplica, 5, kNow + passed - 100ms, kNow + passed);
  }
  CHECK(limits.limitOf(kReplica) == 5.0);
}

TEST_CASE("A limit of 0 is a valid limit") {
  ReplicaLimits limits({NodeName("edge-1"), 7, 3});
  CHECK(limits.recordLimit(kReplica, 0, std::nullopt, kNow) == Change::Added);
  CHECK(limits.limitOf(kReplica) == 0.0);
}

TEST_CASE("The number of stored limits is bounded, and the latest are kept") {
  ReplicaLimits limits({NodeName("edge-1"), 7, 3});
  constexpr int kNamed = 5000;
  for (int i = 0; i < kNamed; ++i) {
    limits.recordLimit(ReplicaId("r" + std::to_string(i)), 1, std::nullopt, kNow + i * 1ms);
  }
  CHECK(limits.size() < kNamed);
  CHECK(limits.isLimited(ReplicaId("r" + std::to_string(kNamed - 1))));
}

/// One router's part in rate limits, with a scripted leader.
struct LimitsFixture {
  LimitsFixture() : limits({NodeName("edge-1"), 7, 3}) { limits.onLeader(true, 9, now); }
  wire::LimitDecision decision(std::uint64_t number, bool granted, std::int64_t wait_ms,
                               bool unlimited = false) {
    return {number, granted, unlimited, wait_ms, 1.0};
  }
  ReplicaLimits limits;
  TimePoint now = kNow;
};

TEST_CASE("A call to a replica with a limit needs a credit, which is requested from the leader at once") {
  LimitsFixture fixture;
  CHECK(fixture.limits.admits(kReplica, fixture.now));
  fixture.limits.recordLimit(kReplica, 1, std::nullopt, fixture.now);
  CHECK_FALSE(fixture.limits.admits(kReplica, fixture.now));
  const auto credit_request = fixture.limits.requestCredit(kReplica, 300ms, fixture.now);
  REQUIRE(credit_request);
  const auto request = fixture.limits.message(fixture.now);
  REQUIRE(request);
  REQUIRE(request->asks.size() == 1);
  CHECK(request->asks.front().wait_ms == 300);
  CHECK(request->heard == std::vector<wire::ObservedLimit>{{kReplica, 1.0, 0}});
  CHECK_FALSE(fixture.limits.message(fixture.now));
  const auto resolved =
      fixture.limits.accept({7, {fixture.decision(*credit_request, true, 200)}}, fixture.now);
  REQUIRE(resolved.size() == 1);
  CHECK(resolved.front().verdict == LimitRequestOutcome::Verdict::Granted);
  CHECK(resolved.front().at == fixture.now + 200ms);
  CHECK(fixture.limits.accept({7, {fixture.decision(*credit_request, true, 0)}}, fixture.now).empty());
}

TEST_CASE("A credit for a call that has ended is returned, and replies to another incarnation are ignored") {
  LimitsFixture fixture;
  fixture.limits.recordLimit(kReplica, 1, std::nullopt, fixture.now);
  const auto credit_request = fixture.limits.requestCredit(kReplica, 0s, fixture.now);
  fixture.limits.message(fixture.now);
  fixture.limits.abandon(*credit_request);
  CHECK(fixture.limits.accept({8, {fixture.decision(*credit_request, true, 0)}}, fixture.now).empty());
  CHECK_FALSE(fixture.limits.message(fixture.now));
  fixture.limits.accept({7, {fixture.decision(*credit_request, true, 0)}}, fixture.now);
  CHECK(fixture.limits.message(fixture.now)->returned == std::vector<ReplicaId>{kReplica});
}

TEST_CASE("A credit request without a reply ends within a quarter of a second") {
  LimitsFixture fixture;
  fixture.limits.recordLimit(kReplica, 1, std::nullopt, fixture.now);
  const auto credit_request = fixture.limits.requestCredit(kReplica, 1s, fixture.now);
  fixture.limits.message(fixture.now);
  CHECK(fixture.limits.nextDeadline() == fixture.now + 250ms);
  CHECK(fixture.limits.tick(fixture.now + 249ms).empty());
  const auto resolved = fixture.limits.tick(fixture.now + 250ms);
  REQUIRE(resolved.size() == 1);
  CHECK(resolved.front().request_number == *credit_request);
  CHECK(resolved.front().verdict == LimitRequestOutcome::Verdict::Unanswered);
}

TEST_CASE("A leader that knows no limit ends it, unless it was stated again after the request") {
  LimitsFixture fixture;
  fixture.limits.recordLimit(kReplica, 1, std::nullopt, fixture.now);
  const auto first = fixture.limits.requestCredit(kReplica, 0s, fixture.now);
  fixture.limits.recordLimit(kReplica, 1, std::nullopt, fixture.now + 1ms);
  fixture.limits.accept({7, {fixture.decision(*first, true, 0, true)}}, fixture.now + 5ms);
  CHECK(fixture.limits.isLimited(kReplica));
  const auto second = fixture.limits.requestCredit(kReplica, 0s, fixture.now + 6ms);
  fixture.limits.accept({7, {fixture.decision(*second, true, 0, true)}}, fixture.now + 9ms);
  CHECK_FALSE(fixture.limits.isLimited(kReplica));
}

TEST_CASE("A leader whose build doesn't grant credit gets no limit messages") {
  LimitsFixture fixture;
  fixture.limits.onLeader(false, 9, fixture.now);
  fixture.limits.recordLimit(kReplica, 1, std::nullopt, fixture.now);
  CHECK_FALSE(fixture.limits.requestCredit(kReplica, 1s, fixture.now));
  fixture.limits.requestSpareCredit(kReplica, fixture.now + 60s);
  CHECK_FALSE(fixture.limits.message(fixture.now));
}

/// All routers of a fleet have calls for one replica at all times, and there is no leader from the start.
TEST_CASE("Without a leader, all routers together send at most half of the limit and no initial burst") {
  const auto routers = GENERATE(9, 88, 985);
  const double per_second = GENERATE(0.5, 1.2, 10.0, 100.0);
  const bool grants = GENERATE(true, false);
  INFO(routers << " routers, " << per_second << " a second");
  std::vector<ReplicaLimits> fleet;
  for (int i = 0; i < routers; ++i) {
    fleet.emplace_back(ReplicaLimitsSettings{NodeName("edge"), 1, static_cast<std::uint64_t>(i + 1)});
    fleet.back().onLeader(grants, static_cast<std::uint32_t>(routers), kNow);
    fleet.back().recordLimit(kReplica, per_second, std::nullopt, kNow);
  }
  constexpr Duration kTime = 8s;
  std::map<std::int64_t, int> sent;  // by second
  for (Duration passed = 10ms; passed < kTime; passed += 10ms) {
    for (ReplicaLimits& limits : fleet) {
      if (limits.admits(kReplica, kNow + passed)) {
        limits.onSent(kReplica, kNow + passed);
        ++sent[passed / 1s];
      }
    }
  }
  for (std::int64_t second = 0; second < 4; ++second) {
    const int window = sent[second] + sent[second + 1] + sent[second + 2] + sent[second + 3];
    CHECK(window <= 1.5 * 4 * per_second + 5);
  }
}

}  // namespace
}  // namespace ferryrock::calls
