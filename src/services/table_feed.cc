#include "services/table_feed.h"

#include <algorithm>

#include "wire/replica_incarnation.h"

namespace ferryrock::services {
namespace {

constexpr unsigned kTermShift = 40;
constexpr std::uint64_t kChangeMask = (std::uint64_t{1} << kTermShift) - 1;

}  // namespace

wire::RoutedReplica replicaForRouters(const ReplicaRecord& record, bool accepting) {
  wire::RoutedReplica replica;
  replica.id = record.report.id;
  replica.service = record.report.service;
  replica.address = record.report.address;
  replica.zone = record.report.zone;
  replica.slots = record.report.slots;
  replica.accepting = accepting;
  replica.slow_start_ms = record.report.slow_start_ms;
  replica.held = record.usable();
  replica.calls_per_second = record.calls_per_second;
  replica.limit_ended = record.limit_ended;
  replica.version = record.report.version;
  return replica;
}

wire::ServiceCatalog catalogForRouters(const wire::ServiceCatalog& catalog) {
  wire::ServiceCatalog part;
  part.version = catalog.version;
  part.routes = catalog.routes;
  part.limits = catalog.limits;
  part.tenants = catalog.tenants;
  part.has_tenants = catalog.has_tenants;
  for (const wire::HostedService& service : catalog.services) {
    wire::HostedService& routed = part.services.emplace_back(
        wire::HostedService{service.name, service.health_path, service.max_connections, {}});
    if (service.engine) {
      const wire::EngineTraits& engine = *service.engine;
      routed.engine =
          wire::EngineTraits{engine.slots,         engine.cache_tokens,     engine.weight_capacity_mb,
                             engine.adapter_slots, engine.loads_per_second, {}};
    }
  }
  return part;
}

LogIndex TableFeed::revisionAt(std::uint64_t change) const {
  return LogIndex{(term_.value << kTermShift) | ((change + 1) & kChangeMask)};
}

std::uint64_t TableFeed::changesAt(LogIndex revision) const {
  return revision.value >> kTermShift == term_.value ? (revision.value & kChangeMask) : 0;
}

bool TableFeed::holds(const wire::CallRouterStatus& status, LogIndex revision) const {
  return changesAt(status.revision) >= changesAt(revision);
}

/// For routers that don't support incarnation ids: they pass the id on as the expected instance, and replicas
/// reject their calls with any id but the plain name. A name is listed as removed only if none of its
/// incarnations is left.
void TableFeed::useReplicaNames(wire::ServiceUpdate& update) const {
  for (wire::RoutedReplica& replica : update.replicas) {
    replica.id = ReplicaId(wire::replicaName(replica.id));
  }
  const auto has_incarnation = [this](const ReplicaId& name) {
    const auto& replicas = registry_.replicas();
    return std::any_of(replicas.begin(), replicas.end(),
                       [&name](const auto& entry) { return wire::replicaName(entry.first) == name.value; });
  };
  for (ReplicaId& id : update.removed) {
    id = ReplicaId(wire::replicaName(id));
  }
  std::erase_if(update.removed, has_incarnation);
}

wire::ServiceUpdate TableFeed::withoutReplicas(const wire::CallRouterStatus& status,
                                               const FeedContext& context) const {
  wire::ServiceUpdate update;
  update.revision = revision();
  update.version = context.catalog.version;
  if (status.catalog < context.catalog.version) {
    update.catalog = catalogForRouters(context.catalog);
  }
  update.members = context.members;
  update.routers = context.routers;
  if (status.directory != context.directory_digest) {
    update.directory = context.directory;
  }
  update.complete = context.complete;
  return update;
}

wire::ServiceUpdate TableFeed::updateFor(const wire::CallRouterStatus& status,
                                         const FeedContext& context) const {
  wire::ServiceUpdate update = withoutReplicas(status, context);
  std::uint64_t known = status.table == 0 ? changesAt(status.revision) : 0;
  if (known > 0 && !registry_.removedSince(known - 1, update.removed)) {
    known = 0;
  }
  update.base = known > 0 ? status.revision : LogIndex{};
  for (const auto& [id, record] : registry_.replicas()) {
    if (known == 0 || record.last_change > known - 1) {
      update.replicas.push_back(replicaForRouters(record, registry_.acceptsCalls(record)));
    }
  }
  if (known == 0 && !update.complete) {
    for (const auto& [id, change] : registry_.closedUnknown()) {
      update.removed.push_back(id);
    }
  }
  if (!status.supportsIncarnationIds()) {
    useReplicaNames(update);
  }
  return update;
}

}  // namespace ferryrock::services
