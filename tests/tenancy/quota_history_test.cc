#include <catch2/catch.hpp>
#include <map>

#include "tenancy/quota_client.h"
#include "tenancy/quota_ledger.h"

/// Usage history that routers report to a new leader: usage must count for at least a whole window.
namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
const TenantName kTenant("a");

wire::ServiceCatalog catalogWithQuota(double per_second) {
  wire::Tenant tenant;
  tenant.name = kTenant;
  tenant.quota = wire::TenantQuota{wire::QuotaUnit::Tokens, per_second, 0, 200};
  wire::ServiceCatalog catalog;
  catalog.has_tenants = true;
  catalog.tenants = {tenant};
  return catalog;
}

/// Requests a token from another router; true if the ledger grants it.
bool grants(QuotaLedger& ledger, std::uint64_t number, TimePoint at) {
  wire::QuotaUse ask;
  ask.router = NodeName("edge-2");
  ask.incarnation = 8;
  ask.sequence = number;
  ask.whole = number == 1;
  ask.asks = {{number, kTenant, 1}};
  return ledger.accept(ask, at).decisions.at(0).granted;
}

TEST_CASE("Usage from before a leader's start counts for a whole window, at any offset within a second") {
  constexpr double kPerSecond = 1000;
  const auto used_at = GENERATE(0ms, 100ms, 500ms, 900ms, 999ms);
  const auto report_delay = GENERATE(20ms, 600ms, 1150ms, 3980ms);
  const QuotaTolerance exact{8s, 0, 0};
  QuotaClientSettings settings;
  settings.router = NodeName("edge-1");
  settings.incarnation = 7;
  settings.tolerance = exact;
  QuotaClient client(settings);
  client.onUpdate(NodeName("control-1"), {}, kStart - 20s);
  const TimePoint used = kStart + used_at;
  client.onUpdate(NodeName("control-1"), {}, used);
  const wire::ServiceCatalog catalog = catalogWithQuota(kPerSecond);
  REQUIRE(client.request(1, catalog.tenants.front(), 8000, used).verdict == QuotaVerdict::Granted);

  const TimePoint reported_at = used + report_delay;
  QuotaLedger next(exact, reported_at);
  next.setCatalog(catalog, reported_at);
  const NodeName next_leader("control-2");
  client.onUpdate(next_leader, {}, reported_at);
  next.accept(*client.message(next_leader, reported_at), reported_at);
  constexpr bool kComplete = true;
  next.updateRouterHistory(std::map<NodeName, int>{{NodeName("edge-1"), 0}}, kComplete);
  std::uint64_t asked = 0;
  INFO("used at " << used_at.count() << " ms, reported " << report_delay.count() << " ms later");
  for (TimePoint at = reported_at + 10ms; at < used + 8s; at += 70ms) {
    REQUIRE_FALSE(grants(next, ++asked, at));
  }
  // The history has whole seconds without their start, and the leader's slots are a tenth of a second long.
  CHECK(grants(next, ++asked, used + 8s + 2100ms));
}

/// Guards against callers that a new leader sends back at once, though it knows when there will be credit.
TEST_CASE("A new leader refuses callers until the usage that routers reported leaves the window") {
  const QuotaTolerance exact{8s, 0, 0};
  QuotaLedger ledger(exact, kStart);
  ledger.setCatalog(catalogWithQuota(1000), kStart);
  wire::QuotaUse report;
  report.router = NodeName("edge-1");
  report.incarnation = 7;
  report.sequence = 1;
  report.whole = true;
  report.history_ms = 20'000;
  report.spent = {{kTenant, 8000}};
  report.histories = {{kTenant, {0, 0, 0, 8000}}};
  ledger.accept(report, kStart + 10ms);
  constexpr bool kComplete = true;
  ledger.updateRouterHistory(std::map<NodeName, int>{{NodeName("edge-1"), 0}}, kComplete);
  wire::QuotaUse ask;
  ask.router = NodeName("edge-1");
  ask.incarnation = 7;
  ask.sequence = 2;
  ask.asks = {{1, kTenant, 1}};
  const wire::QuotaDecision decision = ledger.accept(ask, kStart + 20ms).decisions.at(0);
  REQUIRE_FALSE(decision.granted);
  CHECK(decision.retry_after_ms >= 4900);
  CHECK(decision.retry_after_ms <= 7000);
}

}  // namespace
}  // namespace ferryrock::tenancy
