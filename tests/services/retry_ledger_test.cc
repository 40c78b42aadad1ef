#include "services/retry_ledger.h"

#include <catch2/catch.hpp>

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
constexpr Duration kStatusInterval = 250ms;
/// Longest lease plus the time for which a retry counts.
constexpr Duration kForgotten = 3s + 10s + 1s;
const ServiceName kDesk("desk");

/// One router process as the ledger sees it.
struct ReportingRouter {
  explicit ReportingRouter(const std::string& name, TimePoint process_start = kStart - 60s)
      : started(process_start) {
    status.router = NodeName(name);
    status.incarnation = 1;
    use.service = kDesk;
  }
  wire::RetryCredits update(RetryLedger& ledger, TimePoint now) {
    ++status.sequence;
    status.alive_ms = toMilliseconds(now - started);
    status.retry_uses = {use};
    ledger.accept(status, now);
    wire::RetryCredits credits = ledger.creditsFor(status, kStatusInterval, now);
    use.received = credits.grants.at(0).total;
    return credits;
  }
  /// Asks for credits for this many retries and returns the number that is held then.
  std::uint64_t ask(RetryLedger& ledger, std::uint32_t retries, TimePoint now) {
    use.waiting = retries;
    update(ledger, now);
    use.waiting = 0;
    return use.received - use.used - use.dropped;
  }
  /// Sends retries that are charged to credits, and reports them.
  void retry(RetryLedger& ledger, std::uint32_t retries, TimePoint now) {
    use.used += retries;
    use.recent = {retries};
    update(ledger, now);
  }
  void restart(TimePoint now) {
    ++status.incarnation;
    started = now;
    use = {};
    use.service = kDesk;
  }
  wire::CallRouterStatus status;
  wire::RetryUse use;
  TimePoint started;
};

RetryLedger ledger(const EarlierRetryUse& earlier = {{}, true, kStart}) {
  balance::RetryBudgetSettings settings;
  settings.share = 0.2;
  settings.slack = 40;
  return {settings, earlier, kStart};
}

double granted(RetryLedger& ledger, TimePoint now) {
  const auto views = ledger.view(now);
  return views.empty() ? 0 : views.front().used + views.front().outstanding;
}

TEST_CASE("Credits that several routers ask for stay within the retry budget") {
  RetryLedger it = ledger();
  std::uint64_t held = 0;
  for (int i = 0; i < 10; ++i) {
    ReportingRouter router("edge-" + std::to_string(i));
    held += router.ask(it, 20, kStart);
  }
  CHECK(held <= 40);
  CHECK(held >= 30);
}

TEST_CASE("The share of the calls that routers report is granted beside the slack") {
  RetryLedger it = ledger();
  ReportingRouter router("edge-1");
  router.use.calls = 200;
  CHECK(router.ask(it, 200, kStart) == 70);  // 40 + 0.75 x 0.2 x 200
}

TEST_CASE("Credits of a silent router count until a window after the end of its lease") {
  RetryLedger it = ledger();
  ReportingRouter silent("edge-1");
  ReportingRouter other("edge-2");
  const std::uint64_t held = silent.ask(it, 40, kStart);
  REQUIRE(held > 0);
  CHECK(granted(it, kStart + kForgotten - 100ms) == held);
  CHECK(granted(it, kStart + kForgotten + 100ms) == 0);
}

TEST_CASE("A former process of a router counts as having used its credits when it ended") {
  RetryLedger it = ledger();
  ReportingRouter router("edge-1");
  const auto held = static_cast<double>(router.ask(it, 30, kStart));
  router.restart(kStart + 2s);
  router.update(it, kStart + 2s);
  CHECK(granted(it, kStart + 12s) >= held);
  CHECK(granted(it, kStart + 14s) < held);
}

TEST_CASE("Retries leave the retry budget a window after they were sent, and returned credits at once") {
  RetryLedger it = ledger();
  ReportingRouter router("edge-1");
  router.ask(it, 20, kStart);
  router.retry(it, 15, kStart);
  router.use.dropped = router.use.received - router.use.used;
  router.use.recent = {15};
  router.update(it, kStart + 10ms);
  const double spare = granted(it, kStart + 20ms) - 15;
  CHECK(spare >= 0);
  CHECK(granted(it, kStart + 10s) >= 15);
  router.use.recent = {};
  CHECK(granted(it, kStart + 12s) == spare);
}

TEST_CASE("A new leader counts what it can't know as used until it no longer matters") {
  RetryLedger unsure = ledger({{}, false, TimePoint::min()});
  ReportingRouter router("edge-1");
  CHECK(router.ask(unsure, 5, kStart) == 0);
  CHECK(router.ask(unsure, 5, kStart + kForgotten + 100ms) >= 5);

  const EarlierRetryUse earlier{{NodeName("edge-1"), NodeName("edge-2")}, true, kStart - 11s};
  RetryLedger informed = ledger(earlier);
  ReportingRouter one("edge-1");
  ReportingRouter two("edge-2");
  CHECK(one.ask(informed, 1, kStart) == 0);  // edge-2 hasn't reported
  two.use.received = 12;
  two.use.used = 10;
  two.use.recent = {4, 6};
  two.update(informed, kStart + 10ms);
  CHECK(granted(informed, kStart + 20ms) >= 12);
  CHECK(one.ask(informed, 5, kStart + 100ms) >= 5);
}

TEST_CASE("A router process younger than a window doesn't show a new leader what its router has used") {
  const EarlierRetryUse earlier{{NodeName("edge-1")}, true, kStart - 11s};
  RetryLedger it = ledger(earlier);
  ReportingRouter young("edge-1", kStart - 5s);
  CHECK(young.ask(it, 5, kStart) == 0);
}

TEST_CASE("Routers of a build without credits keep their part of the slack") {
  RetryLedger it = ledger();
  ReportingRouter old("edge-1");
  old.status.encoded_member_count = wire::CallRouterStatus::kMembersWithRetryUses - 1;
  it.accept(old.status, kStart);
  ReportingRouter router("edge-2");
  CHECK(router.ask(it, 100, kStart) <= 26);  // 40 x (1 - 0.7 / 2)
}

TEST_CASE("Credits that one router holds for retries to come go to those that wait") {
  RetryLedger it = ledger();
  ReportingRouter idle("edge-1");
  ReportingRouter busy("edge-2");
  idle.update(it, kStart);
  const std::uint64_t ahead = idle.use.received;
  CHECK(ahead > 0);
  CHECK(ahead <= 20);
  std::uint64_t held = busy.ask(it, 40, kStart);
  busy.retry(it, static_cast<std::uint32_t>(held), kStart + 100ms);
  CHECK(idle.update(it, kStart + 200ms).grants.at(0).keep < ahead);
}

}  // namespace
}  // namespace ferryrock::services
