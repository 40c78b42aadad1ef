#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "common/error.h"
#include "services/catalog_rules.h"
#include "services/service_cluster.h"
#include "services/table_feed.h"
#include "services/update_ledger.h"
#include "wire/recorded_messages.h"
#include "wire/replica_incarnation.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

TEST_CASE("A reordered report is ignored, except for its leave notice") {
  ReplicaRegistry registry;
  CHECK(registry.accept(makeReport("r1", "desk", 5), kStart) == ReportOutcome::Changed);
  CHECK(registry.accept(makeReport("r1", "desk", 4), kStart) == ReportOutcome::Stale);
  CHECK(registry.accept(makeReport("r1", "desk", 6), kStart) == ReportOutcome::Unchanged);
  wire::ReplicaReport leaving = makeReport("r1", "desk", 2);
  leaving.leaving = true;
  CHECK(registry.accept(leaving, kStart) == ReportOutcome::Changed);
  CHECK(registry.accept(makeReport("r1", "desk", 7), kStart) != ReportOutcome::Stale);
  CHECK(registry.find(ReplicaId("r1"))->leaving);
}

TEST_CASE("A new replica at a reused address replaces the former one") {
  ReplicaRegistry registry;
  registry.accept(makeReport("r1", "desk", 5), kStart);
  wire::ReplicaReport next = makeReport("r2", "llm", 1);
  next.address = "r1:80";
  registry.accept(next, kStart);
  CHECK(registry.find(ReplicaId("r1")) == nullptr);
  CHECK(registry.find(ReplicaId("r2")) != nullptr);
}

/// A heartbeat that a network partition delayed may arrive after its sender's successor has registered at the
/// address.
TEST_CASE("A late report of a replica that was replaced at its address is ignored") {
  ReplicaRegistry registry;
  registry.accept(makeReport("r1", "desk", 5), kStart);
  wire::ReplicaReport next = makeReport("r2", "desk", 1);
  next.address = "r1:80";
  registry.accept(next, kStart + 2s);
  CHECK(registry.accept(makeReport("r1", "desk", 6), kStart + 2500ms) == ReportOutcome::Stale);
  CHECK(registry.find(ReplicaId("r1")) == nullptr);
  CHECK(registry.find(ReplicaId("r2")) != nullptr);
  wire::ReplicaReport leaving = makeReport("r1", "desk", 7);
  leaving.leaving = true;
  registry.accept(leaving, kStart + 2600ms);
  REQUIRE(registry.find(ReplicaId("r2")) != nullptr);
  CHECK_FALSE(registry.find(ReplicaId("r2"))->leaving);
}

TEST_CASE("A replica that expired in a partition doesn't take its address from a successor that is alive") {
  ReplicaRegistry registry;
  registry.accept(makeReport("r1", "desk", 5), kStart);
  registry.expire(kStart + 7s, 6s);
  REQUIRE(registry.find(ReplicaId("r1")) == nullptr);
  wire::ReplicaReport next = makeReport("r2", "desk", 1);
  next.address = "r1:80";
  registry.accept(next, kStart + 8s);
  registry.recordHeartbeat({ReplicaId("r2"), 3}, kStart + 10s);
  CHECK(registry.accept(makeReport("r1", "desk", 6), kStart + 11s) == ReportOutcome::Stale);
  CHECK(registry.find(ReplicaId("r2")) != nullptr);
}

/// A member that started recently can't distinguish a delayed report from the first report of a new replica.
TEST_CASE("A replica that is alive recovers its address after a late report of the former replica took it") {
  ReplicaRegistry registry;
  wire::ReplicaReport living = makeReport("r2", "desk", 1);
  living.address = "r1:80";
  registry.accept(living, kStart);
  registry.accept(makeReport("r1", "desk", 6), kStart + 100ms);
  living.sequence = 2;
  CHECK(registry.accept(living, kStart + 1s) == ReportOutcome::Stale);
  living.sequence = 4;
  CHECK(registry.accept(living, kStart + 3s) == ReportOutcome::Changed);
  CHECK(registry.find(ReplicaId("r1")) == nullptr);
  CHECK(registry.find(ReplicaId("r2")) != nullptr);
}

TEST_CASE("A replica that expired is registered again when it reports") {
  ReplicaRegistry registry;
  registry.accept(makeReport("r1", "desk", 5), kStart);
  registry.expire(kStart + 7s, 6s);
  CHECK(registry.accept(makeReport("r1", "desk", 9), kStart + 8s) == ReportOutcome::Changed);
}

/// A report of the incarnation of replica "r1" that started at this time.
wire::ReplicaReport reportOfIncarnation(std::uint64_t born, std::uint64_t sequence) {
  wire::ReplicaReport report = makeReport("r1", "llm", sequence);
  report.id = wire::replicaIncarnationId("r1", born);
  return report;
}

TEST_CASE("A replica that restarts under its name starts without its former state and report sequence") {
  ReplicaRegistry registry;
  wire::ReplicaReport before = reportOfIncarnation(1000, 40);
  before.held = {{ModelName("m0"), {}}};
  registry.accept(before, kStart);
  registry.assumeAdapter(before.id, ModelName("m0"), "a2", kStart);
  registry.markLeaving(before.id);
  const std::uint64_t changes = registry.changes();
  CHECK(registry.accept(reportOfIncarnation(2000, 1), kStart + 1s) == ReportOutcome::Changed);
  CHECK(registry.find(before.id) == nullptr);
  const ReplicaRecord* record = registry.find(wire::replicaIncarnationId("r1", 2000));
  REQUIRE(record != nullptr);
  CHECK_FALSE(record->leaving);
  CHECK(record->usable().empty());
  std::vector<ReplicaId> removed;
  CHECK(registry.removedSince(changes, removed));
  CHECK(removed == std::vector<ReplicaId>{before.id});
}

TEST_CASE("Late reports of a former incarnation are ignored, even after its successor has expired") {
  ReplicaRegistry registry;
  registry.accept(reportOfIncarnation(1000, 40), kStart);
  wire::ReplicaReport next = reportOfIncarnation(2000, 1);
  next.address = "elsewhere:80";
  registry.accept(next, kStart + 1s);
  CHECK(registry.accept(reportOfIncarnation(1000, 41), kStart + 1s) == ReportOutcome::Stale);
  registry.recordHeartbeat({wire::replicaIncarnationId("r1", 1000), 42}, kStart + 1s);
  wire::ReplicaReport leaving = reportOfIncarnation(1000, 43);
  leaving.leaving = true;
  CHECK(registry.accept(leaving, kStart + 1s) == ReportOutcome::Stale);
  REQUIRE(registry.replicas().size() == 1);
  CHECK_FALSE(registry.replicas().begin()->second.leaving);
  registry.expire(kStart + 10s, 6s);
  REQUIRE(registry.replicas().empty());
  CHECK(registry.accept(reportOfIncarnation(1000, 44), kStart + 10s) == ReportOutcome::Stale);
  CHECK(registry.accept(reportOfIncarnation(2000, 2), kStart + 10s) == ReportOutcome::Changed);
}

TEST_CASE("A leave notice without a start time applies to the current incarnation only") {
  ReplicaRegistry registry;
  registry.accept(reportOfIncarnation(1000, 40), kStart);
  registry.accept(reportOfIncarnation(2000, 1), kStart);
  wire::ReplicaReport bare;
  bare.id = ReplicaId("r1");
  bare.leaving = true;
  registry.accept(bare, kStart);
  CHECK(registry.find(wire::replicaIncarnationId("r1", 2000))->leaving);
  CHECK(registry.accept(reportOfIncarnation(3000, 1), kStart + 1s) == ReportOutcome::Changed);
  CHECK_FALSE(registry.find(wire::replicaIncarnationId("r1", 3000))->leaving);
}

TEST_CASE("A report for an unconfigured service doesn't replace a replica that is alive at its address") {
  ReplicaRegistry registry;
  constexpr bool kConfigured = false;
  registry.accept(makeReport("r1", "desk", 5), kStart);
  wire::ReplicaReport foreign = makeReport("r2", "unheard-of", 1);
  foreign.address = "r1:80";
  CHECK(registry.accept(foreign, kStart + 1s, kConfigured) == ReportOutcome::Stale);
  CHECK(registry.find(ReplicaId("r1")) != nullptr);
  foreign.address = "r2:80";
  CHECK(registry.accept(foreign, kStart + 1s, kConfigured) == ReportOutcome::Changed);
}

TEST_CASE("An ordered adapter is usable at once, and a model with an ordered unload is hidden at once") {
  ReplicaRegistry registry;
  wire::ReplicaReport report = makeReport("r1", "llm", 1);
  report.held = {{ModelName("m0"), {"a1"}}, {ModelName("m1"), {}}};
  registry.accept(report, kStart);
  registry.assumeAdapter(report.id, ModelName("m0"), "a2", kStart);
  registry.withdrawModel(report.id, ModelName("m1"), kStart);
  const auto usable = registry.find(report.id)->usable();
  REQUIRE(usable.size() == 1);
  CHECK(usable[0].adapters == std::vector<std::string>{"a1", "a2"});
  registry.expire(kStart + 5s, 60s);
  CHECK(registry.find(report.id)->usable().size() == 2);
}

TEST_CASE("A router gets incremental updates within a term and a full table in another term") {
  ReplicaRegistry registry;
  registry.accept(makeReport("r1", "desk", 1), kStart);
  const wire::ServiceCatalog catalog = makeCatalog(3);
  const FeedContext context{catalog, {}, 2, true, {"edge-1:80"}, wire::directoryDigest({"edge-1:80"})};
  const TableFeed feed(Term{4}, registry);
  wire::CallRouterStatus status;
  const wire::ServiceUpdate first = feed.updateFor(status, context);
  CHECK(first.base == LogIndex{});
  REQUIRE(first.catalog.has_value());
  CHECK(first.catalog->routes.size() == catalog.routes.size());
  REQUIRE(first.catalog->services.size() == catalog.services.size());
  const auto engine =
      std::find_if(first.catalog->services.begin(), first.catalog->services.end(),
                   [](const wire::HostedService& service) { return service.engine.has_value(); });
  REQUIRE(engine != first.catalog->services.end());
  CHECK(engine->engine->weight_capacity_mb > 0);
  CHECK(engine->engine->models.empty());  // most of the bytes, and routers don't need them
  CHECK(first.replicas.size() == 1);
  status.revision = first.revision;
  status.catalog = first.version;
  CHECK(feed.holds(status, feed.revision()));
  registry.accept(makeReport("r2", "desk", 1), kStart);
  CHECK_FALSE(feed.holds(status, feed.revision()));
  const wire::ServiceUpdate second = feed.updateFor(status, context);
  CHECK(second.base == first.revision);
  CHECK_FALSE(second.catalog.has_value());
  REQUIRE(second.replicas.size() == 1);
  CHECK(second.replicas[0].id == ReplicaId("r2"));
  registry.expire(kStart + 10s, 6s);
  status.revision = second.revision;
  CHECK(feed.updateFor(status, context).removed.size() == 2);
  const TableFeed later(Term{5}, registry);
  CHECK(later.updateFor(status, context).base == LogIndex{});
  CHECK(later.revision() > feed.revision());
}

TEST_CASE("An update in flight isn't sent again until it times out or is reported as missed") {
  UpdateLedger ledger;
  wire::CallRouterStatus status;
  status.router = NodeName("edge-1");
  status.revision = LogIndex{5};
  CHECK(ledger.expected(status, kStart).revision.value == 5);
  wire::ServiceUpdate update;
  update.revision = LogIndex{8};
  update.catalog = makeCatalog(3);
  ledger.onSent(status.router, update, kStart);
  CHECK(ledger.expected(status, kStart + 100ms).revision.value == 8);
  CHECK(ledger.expected(status, kStart + 100ms).catalog.value == 3);
  status.missed_update = true;
  CHECK(ledger.expected(status, kStart + 200ms).revision.value == 5);
  status.missed_update = false;
  ledger.onSent(status.router, update, kStart + 200ms);
  CHECK(ledger.expected(status, kStart + 900ms).revision.value == 5);
  CHECK(ledger.expected(status, kStart + 900ms).catalog.value == 0);
}

TEST_CASE("A replica counts as unreachable until the router's report expires or is superseded") {
  RouterDirectory directory;
  wire::CallRouterStatus status;
  status.router = NodeName("edge-1");
  status.sequence = 1;
  status.unreachable = {ReplicaId("r1")};
  directory.accept(status, kStart);
  CHECK(directory.unreachable(kStart + 500ms) == std::set<ReplicaId>{ReplicaId("r1")});
  CHECK(directory.unreachable(kStart + 3s).empty());
  status.sequence = 2;
  status.unreachable.clear();
  directory.accept(status, kStart + 600ms);
  CHECK(directory.unreachable(kStart + 700ms).empty());
}

struct InvalidCase {
  const char* name;
  void (*invalidate)(wire::ServiceCatalog&);
};

TEST_CASE("Callers get routers of their own zone, and of other zones only if their zone has too few") {
  constexpr std::size_t kLimit = 12;
  RouterDirectory directory;
  const auto addRouter = [&directory](const std::string& zone, std::size_t number) {
    wire::CallRouterStatus status;
    status.router = NodeName(zone + "-" + std::to_string(number));
    status.zone = ZoneName(zone);
    status.address = status.router.value;
    status.accepting = true;
    status.sequence = 1;
    directory.accept(status, kStart);
  };
  for (std::size_t i = 0; i < 9; ++i) {
    addRouter("east", i);
    addRouter("west", i);
  }
  addRouter("north", 0);
  const auto inZone = [&](const std::string& zone) {
    const std::vector<std::string> addresses = directory.addresses(ZoneName(zone), kStart, kLimit);
    CHECK(addresses.size() <= kLimit);
    return std::count_if(addresses.begin(), addresses.end(),
                         [&zone](const std::string& address) { return address.rfind(zone, 0) == 0; });
  };
  CHECK(inZone("east") == kLimit / 3);
  CHECK(inZone("west") == kLimit / 3);
  CHECK(directory.addresses(ZoneName("west"), kStart, kLimit).size() == kLimit / 3);
  CHECK(directory.addresses(ZoneName("north"), kStart, kLimit).size() == kLimit);
  CHECK(directory.addresses(ZoneName("north"), kStart, kLimit).front() == "north-0");
  CHECK(directory.addresses(ZoneName("unknown"), kStart, kLimit).size() == kLimit);
}

TEST_CASE("An inconsistent catalog is rejected with the place of the violation and without any key") {
  const std::vector<InvalidCase> cases = {
      {"unknown service", [](wire::ServiceCatalog& c) { c.routes[0].targets[0].service = ServiceName("x"); }},
      {"no weight", [](wire::ServiceCatalog& c) { c.routes[0].targets[0].weight = 0; }},
      {"no target", [](wire::ServiceCatalog& c) { c.routes[0].targets.clear(); }},
      {"no timeout", [](wire::ServiceCatalog& c) { c.routes[0].timeout_ms = 0; }},
      {"same place", [](wire::ServiceCatalog& c) { c.routes[0].path_prefix = c.routes[1].path_prefix; }},
      {"shared key",
       [](wire::ServiceCatalog& c) {
         c.tenants = {{TenantName("a"), {"k1", "k2"}, {}, {}}, {TenantName("b"), {"k3", "k2"}, {}, {}}};
       }},
      {"same tenant",
       [](wire::ServiceCatalog& c) {
         c.tenants = {{TenantName("a"), {"k1"}, {}, {}}, {TenantName("a"), {"k2"}, {}, {}}};
       }},
      {"same service", [](wire::ServiceCatalog& c) { c.services[0].name = c.services[1].name; }},
  };
  CHECK_NOTHROW(checkCatalog(makeCatalog(1)));
  for (const InvalidCase& invalid : cases) {
    INFO(invalid.name);
    wire::ServiceCatalog catalog = makeCatalog(1);
    invalid.invalidate(catalog);
    try {
      checkCatalog(catalog);
      FAIL("it was accepted");
    } catch (const Error& fault) {
      CHECK(fault.code() == ResultCode::InvalidCatalog);
      CHECK_FALSE(fault.place().empty());
      CHECK(std::string(fault.what()).find("k2") == std::string::npos);
    }
  }
}

/// A legacy router passes the replica id on as the expected instance, so that replicas would reject every
/// call with an id that includes the incarnation's start time.
TEST_CASE("A legacy router without support for incarnation ids gets plain replica names") {
  ReplicaRegistry registry;
  const auto registerReplica = [&registry](const char* name, std::uint64_t born) {
    wire::ReplicaReport replica_report = makeReport("r1", "desk", 1);
    replica_report.id = wire::replicaIncarnationId(name, born);
    replica_report.address = std::string(name) + ":80";
    registry.accept(replica_report, kStart);
  };
  registerReplica("r1", 1000);
  const TableFeed feed(Term{4}, registry);
  const wire::ServiceCatalog catalog;
  auto status = std::get<wire::CallRouterStatus>(
      wire::decodeEnvelope(wire::recorded::bytes(wire::recorded::without_loads::kRouterStatus)).message);
  const wire::ServiceUpdate whole = feed.updateFor(status, {catalog, {}, 1, true, {}, 0});
  REQUIRE(whole.replicas.size() == 1);
  CHECK(whole.replicas.front().id == ReplicaId("r1"));

  // One update removes the former incarnation and adds the next one: the name must stay listed.
  status.revision = whole.revision;
  registerReplica("r1", 2000);
  const wire::ServiceUpdate changed = feed.updateFor(status, {catalog, {}, 1, true, {}, 0});
  REQUIRE(changed.replicas.size() == 1);
  CHECK(changed.replicas.front().id == ReplicaId("r1"));
  CHECK(changed.removed.empty());
}

}  // namespace
}  // namespace ferryrock::services
