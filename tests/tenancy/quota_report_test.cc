#include <catch2/catch.hpp>
#include <optional>

#include "tenancy/quota_client.h"
#include "tenancy/quota_ledger.h"
#include "tenancy/quota_world.h"

/// A router's reports to its leader: what is sent again, when, and how long the leader counts as present.
namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

const NodeName kLeader("control-1");
const NodeName kNextLeader("control-2");
constexpr std::uint64_t kIncarnation = 7;

QuotaClient client() {
  QuotaClientSettings settings;
  settings.router = NodeName("edge-1");
  settings.incarnation = kIncarnation;
  settings.tolerance = kTolerance;
  return QuotaClient(settings);
}

wire::ServiceUpdate confirmingUpdate() {
  wire::ServiceUpdate update;
  update.confirms_quota_reports = true;
  return update;
}

wire::QuotaAnswer confirmation(std::uint64_t report_sequence) {
  wire::QuotaAnswer answer;
  answer.incarnation = kIncarnation;
  answer.report_sequence = report_sequence;
  return answer;
}

/// Ticks as the router's event loop does; returns the message that is due, if any.
std::optional<wire::QuotaUse> messageAt(QuotaClient& router, TimePoint now) {
  router.tick(now);
  return router.message(kNextLeader, now);
}

/// Guards against usage that a leader never learns of, because the only message that reports it was lost.
TEST_CASE("A full report is sent again until the leader confirms it") {
  QuotaClient router = client();
  router.onUpdate(kLeader, confirmingUpdate(), kStart);
  const std::uint64_t former = router.message(kLeader, kStart)->sequence;
  router.request(1, limitedTenant(1000, 1000), 300, kStart + 100ms);
  router.onUpdate(kNextLeader, confirmingUpdate(), kStart + 200ms);
  REQUIRE(messageAt(router, kStart + 200ms)->whole);
  CHECK_FALSE(messageAt(router, kStart + 400ms).has_value());
  router.accept(confirmation(former), kStart + 450ms);  // late, and from the leader before
  const auto again = messageAt(router, kStart + 600ms);
  REQUIRE(again.has_value());
  CHECK(again->whole);
  CHECK(again->histories.size() == 1);
  router.accept(confirmation(again->sequence), kStart + 610ms);
  CHECK_FALSE(messageAt(router, kStart + 2s).has_value());
  CHECK(router.nextDeadline() == TimePoint::max());
}

/// Guards against a router that the leader has forgotten, whose usage since is never charged.
TEST_CASE("A router reports in full to a leader that has no report of it, or that was out of contact") {
  QuotaClient router = client();
  router.onUpdate(kNextLeader, confirmingUpdate(), kStart);
  router.accept(confirmation(messageAt(router, kStart)->sequence), kStart);
  SECTION("forgotten") {
    router.accept(confirmation(0), kStart + 500ms);
    CHECK(messageAt(router, kStart + 500ms)->whole);
  }
  SECTION("out of contact") {
    router.onUpdate(kNextLeader, confirmingUpdate(), kStart + 2s);
    CHECK(messageAt(router, kStart + 2s)->whole);
  }
}

TEST_CASE("A report that was applied already is charged once") {
  QuotaLedger ledger(kTolerance, kStart);
  ledger.setCatalog(catalogOf(limitedTenant(1000, 1000)), kStart);
  wire::QuotaUse use;
  use.router = NodeName("edge-1");
  use.incarnation = kIncarnation;
  use.sequence = 1;
  use.whole = true;
  use.spent = {{TenantName("a"), 700}};
  CHECK(ledger.accept(use, kStart).report_sequence == 1);
  CHECK(ledger.accept(use, kStart).report_sequence == 1);
  use.sequence = 2;
  use.spent = {{TenantName("a"), 800}, {TenantName("b"), 50}};
  CHECK(ledger.accept(use, kStart + 300ms).report_sequence == 2);
  CHECK(ledger.counts().charged == 100);
  use.incarnation = kIncarnation + 1;
  use.sequence = 1;
  use.whole = false;
  CHECK(ledger.accept(use, kStart + 400ms).report_sequence == 0);
}

/// Guards against an event loop that spins for as long as there is no leader to report to.
TEST_CASE("Charges that can't be sent for want of a leader are not due at once") {
  QuotaClient router = client();
  router.onUpdate(kLeader, confirmingUpdate(), kStart);
  router.accept(confirmation(router.message(kLeader, kStart)->sequence), kStart);
  router.request(1, limitedTenant(1000, 1000), 300, kStart + 100ms);
  const TimePoint now = kStart + 2s;
  router.tick(now);
  CHECK_FALSE(router.message(NodeName(), now).has_value());
  CHECK(router.nextDeadline() > now);
}

/// Guards against a present leader that routers take for lost between two of its updates.
TEST_CASE("A leader that requests long status intervals isn't taken for lost between two updates") {
  QuotaClient router = client();
  wire::ServiceUpdate update = confirmingUpdate();
  update.status_interval_ms = 1000;
  router.onUpdate(kLeader, update, kStart);
  const wire::Tenant tenant = limitedTenant(1000, 1000);
  CHECK(router.request(1, tenant, 300, kStart + 1100ms).verdict == QuotaVerdict::Granted);
  CHECK(router.counts().unasked == 1);
  CHECK(router.request(2, tenant, 300, kStart + 2s).verdict == QuotaVerdict::Pending);
}

/// Guards against a router that grants on for longer than the leader holds its usage.
TEST_CASE("A router without a leader for longer than its usage is held grants nothing") {
  QuotaClient router = client();
  wire::ServiceUpdate update = confirmingUpdate();
  update.status_interval_ms = GENERATE(250, 1000);
  const wire::Tenant tenant = limitedTenant(1000, 1000);
  std::uint64_t number = 0;
  for (TimePoint now = kStart; now < kStart + 10s; now += 100ms) {
    router.onUpdate(kLeader, update, now);
    REQUIRE(router.request(++number, tenant, 100, now).verdict == QuotaVerdict::Granted);
  }
  std::uint64_t granted = 0;
  std::uint64_t granted_late = 0;
  for (TimePoint now = kStart + 12s; now < kStart + 100s; now += 100ms) {
    const bool runs = router.request(++number, tenant, 100, now).verdict == QuotaVerdict::Granted;
    granted += runs ? 1 : 0;
    granted_late += runs && now > kStart + 10s + kMaxLeaderlessTime ? 1 : 0;
  }
  CHECK(granted > 0);
  CHECK(granted_late == 0);
}

}  // namespace
}  // namespace ferryrock::tenancy
