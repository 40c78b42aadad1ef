#include "calls/replica_notices.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

const ReplicaId kReplica("e1");
const TimePoint kStart{1000s};

ReplicaNotice backoffNotice(Duration duration) {
  return {false, duration, ""};
}

/// Backoffs requested one after the other, and the resulting backoff.
struct BackoffCase {
  std::vector<Duration> requested;
  Duration closed;
};

TEST_CASE("The longest requested backoff applies, up to an hour") {
  const std::vector<BackoffCase> cases = {
      {{3s}, 3s}, {{3s, 3s}, 3s}, {{3s, 1s}, 3s}, {{1s, 3s}, 3s}, {{1ms}, 1ms}, {{24h}, 1h}, {{24h, 48h}, 1h},
  };
  for (const BackoffCase& given : cases) {
    ReplicaNotices notices;
    for (const Duration requested : given.requested) {
      notices.accept(kReplica, backoffNotice(requested), kStart);
    }
    INFO(toMilliseconds(given.closed));
    CHECK(notices.closedUntil(kReplica, kStart) == kStart + given.closed);
    CHECK_FALSE(notices.admits(kReplica, kStart + given.closed - 1ms));
    CHECK(notices.admits(kReplica, kStart + given.closed));
  }
}

TEST_CASE("The effect of a notice is returned") {
  ReplicaNotices notices;
  using Change = ReplicaNotices::Change;
  CHECK(notices.accept(kReplica, backoffNotice(3s), kStart) == Change::Backoff);
  CHECK(notices.accept(kReplica, backoffNotice(1s), kStart) == Change::None);
  CHECK(notices.accept(kReplica, {true, std::nullopt, ""}, kStart) == Change::Leaving);
  CHECK(notices.accept(kReplica, {true, std::nullopt, ""}, kStart) == Change::None);
  CHECK(notices.accept(kReplica, {false, std::nullopt, "soon"}, kStart) == Change::None);
  CHECK(notices.isLeaving(kReplica));
  CHECK_FALSE(notices.isLeaving(ReplicaId("e2")));
}

TEST_CASE("The notices of an incarnation end with it") {
  ReplicaNotices notices;
  notices.accept(kReplica, {true, 3s, ""}, kStart);
  notices.forget(kReplica);
  CHECK(notices.admits(kReplica, kStart));
  CHECK_FALSE(notices.isLeaving(kReplica));
}

TEST_CASE("After a backoff one call is admitted, then twice as many after each accepted call") {
  ReplicaNotices notices;
  notices.accept(kReplica, backoffNotice(3s), kStart);
  const TimePoint open = kStart + 3s;
  std::uint64_t round = 0;
  const auto sendable = [&] {
    int sent = 0;
    while (sent < 100 && notices.admits(kReplica, open)) {
      const auto reopening = notices.onSent(kReplica, open);
      round = reopening ? reopening->round : round;
      ++sent;
    }
    return sent;
  };
  CHECK(sendable() == 1);
  notices.onAccepted(kReplica, round);
  CHECK(sendable() == 2);
  notices.onNotAccepted(kReplica, round);
  CHECK(sendable() == 1);
  notices.onAccepted(kReplica, round);
  CHECK(sendable() == 3);
  notices.onAccepted(kReplica, round);
  notices.onAccepted(kReplica, round);
  CHECK(sendable() == 100);
}

TEST_CASE("The first attempt after a backoff yields the duration of the backoff") {
  ReplicaNotices notices;
  notices.accept(kReplica, backoffNotice(2s), kStart);
  notices.accept(kReplica, backoffNotice(2s), kStart + 1s);
  const auto first = notices.onSent(kReplica, kStart + 4s);
  REQUIRE(first.has_value());
  CHECK(first->first);
  CHECK(first->closed_for == 4s);
  CHECK_FALSE(notices.onSent(kReplica, kStart + 4s)->first);
  CHECK_FALSE(notices.onSent(ReplicaId("e2"), kStart).has_value());
}

TEST_CASE("A replica that refuses nothing for a second after its first call is fully open") {
  ReplicaNotices notices;
  notices.accept(kReplica, backoffNotice(3s), kStart);
  notices.onSent(kReplica, kStart + 3s);
  CHECK_FALSE(notices.admits(kReplica, kStart + 3900ms));
  CHECK(notices.admits(kReplica, kStart + 4s));
  CHECK_FALSE(notices.onSent(kReplica, kStart + 4s).has_value());
}

TEST_CASE("A backoff requested while reopening closes the replica and starts a new round") {
  ReplicaNotices notices;
  notices.accept(kReplica, backoffNotice(1s), kStart);
  const std::uint64_t round = notices.onSent(kReplica, kStart + 1s)->round;
  notices.onAccepted(kReplica, round);
  notices.onSent(kReplica, kStart + 1s);
  notices.accept(kReplica, backoffNotice(1s), kStart + 1100ms);
  notices.onAccepted(kReplica, round);
  CHECK_FALSE(notices.admits(kReplica, kStart + 2000ms));
  CHECK(notices.admits(kReplica, kStart + 2100ms));
  notices.onSent(kReplica, kStart + 2100ms);
  CHECK_FALSE(notices.admits(kReplica, kStart + 2100ms));
}

TEST_CASE("The number of stored draining replicas is bounded, and the latest are kept") {
  ReplicaNotices notices;
  for (int i = 0; i < 10'000; ++i) {
    notices.accept(ReplicaId("e" + std::to_string(i)), {true, std::nullopt, ""}, kStart);
  }
  CHECK(notices.leaving() == 4'000);
  CHECK(notices.isLeaving(ReplicaId("e9999")));
}

TEST_CASE("No sequence of backoffs and calls admits a call within a requested backoff") {
  CHECK(rc::check("closed while any backoff lasts", [] {
    ReplicaNotices notices;
    TimePoint now = kStart;
    TimePoint closed_until = kStart;
    std::vector<std::uint64_t> pending;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 2'000)));
    for (const auto& [action, milliseconds] : steps) {
      const Duration duration = std::chrono::milliseconds(milliseconds);
      if (action == 0) {
        now += duration;
      } else if (action == 1 && milliseconds > 0) {
        notices.accept(kReplica, backoffNotice(duration), now);
        closed_until = std::max(closed_until, now + duration);
      } else if (action == 2 && notices.admits(kReplica, now)) {
        const auto reopening = notices.onSent(kReplica, now);
        pending.push_back(reopening ? reopening->round : 0);
      } else if (action == 3 && !pending.empty()) {
        notices.onAccepted(kReplica, pending.back());
        pending.pop_back();
      } else if (action == 4 && !pending.empty()) {
        notices.onNotAccepted(kReplica, pending.back());
        pending.pop_back();
      }
      RC_ASSERT(now >= closed_until || !notices.admits(kReplica, now));
      RC_ASSERT(notices.closedUntil(kReplica, now).has_value() == (now < closed_until));
    }
    RC_ASSERT(notices.admits(kReplica, std::max(now, closed_until) + 1h));
  }));
}

}  // namespace
}  // namespace ferryrock::calls
