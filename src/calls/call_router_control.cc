#include <algorithm>
#include <tuple>
#include <utility>

#include "calls/call_router.h"

/// The part of CallRouter that communicates with the control members: it applies catalogs and replica tables,
/// and reports the demand of its calls.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// Minimum interval between two log lines about the replica table.
constexpr Duration kTableLogInterval = 1s;

std::string_view view(const std::string& text) {
  return text;
}

}  // namespace

Effects CallRouter::receive(const wire::Envelope& envelope, TimePoint now) {
  if (const auto* update = std::get_if<wire::ServiceUpdate>(&envelope.message)) {
    applyUpdate(envelope.from, *update, now);
  } else if (const auto* list = std::get_if<wire::MemberList>(&envelope.message)) {
    feed_.accept(envelope.from, *list);
    origins_.onMember(envelope.from, list->keeps_stream_origins);
  } else if (const auto* late = std::get_if<wire::CatalogUpdate>(&envelope.message)) {
    feed_.recordAnswer(envelope.from);
    applyCatalog(envelope.from, late->catalog, feed_.lastLeaderContact(), now);
  } else if (const auto* answer = std::get_if<wire::QuotaAnswer>(&envelope.message)) {
    feed_.recordAnswer(envelope.from);
    acceptQuotaAnswer(envelope.from, *answer, now);
  } else if (const auto* reply = std::get_if<wire::LimitReply>(&envelope.message)) {
    feed_.recordAnswer(envelope.from);
    resolveCredits(replicas_.limits().accept(*reply, now), now);
  } else if (const auto* records = std::get_if<wire::CrashRecords>(&envelope.message)) {
    feed_.recordAnswer(envelope.from);
    applyCrashRecords(envelope.from, *records, now);
  } else if (const auto* origin = std::get_if<wire::StreamOriginReply>(&envelope.message)) {
    feed_.recordAnswer(envelope.from);
    if (const auto decided = origins_.accept(envelope.from, *origin, now)) {
      resolveOrigin(*decided, now);
    }
  }
  return finish(now);
}

void CallRouter::applyCatalog(const NodeName& from, const wire::ServiceCatalog& catalog,
                              std::optional<TimePoint> last_leader_contact, TimePoint now) {
  if (catalog.version <= catalogVersion()) {
    return;
  }
  routes_ = std::make_shared<const RouteTable>(catalog);
  feed_.notifyAll();
  routeUnroutedCalls(now);
  log_.write(LogLevel::Info, "catalog.in_force",
             {{"version", static_cast<std::int64_t>(routes_->version().value)},
              {"routes", static_cast<std::int64_t>(catalog.routes.size())},
              {"from", view(from.value)},
              {"confirmed_ms_ago", last_leader_contact ? toMilliseconds(now - *last_leader_contact) : -1}});
}

void CallRouter::applyUpdate(const NodeName& from, const wire::ServiceUpdate& update, TimePoint now) {
  const NodeName leader = feed_.leader();
  const std::optional<TimePoint> previous_contact = feed_.lastLeaderContact();
  const bool stale = feed_.isStale(update);
  const bool replicas_follow = feed_.accept(from, update, now);
  if (feed_.leader() != leader) {
    log_.write(LogLevel::Info, "control.leader",
               {{"leader", view(feed_.leader().value)},
                {"revision", static_cast<std::int64_t>(update.revision.value)}});
  }
  if (!stale) {
    quota_.onUpdate(from, update, now);
    replicas_.limits().onLeader(update.grants_limit_credit, update.routers, now);
    replicas_.setRouters(update.routers);
  }
  if (!stale && update.retry_credits) {
    resolveRetryCredits(budget_.accept(*update.retry_credits, now), now);
  } else if (!stale) {
    budget_.onLegacyLeader();
  }
  origins_.onMember(from, update.keeps_stream_origins);
  if (!stale && update.relays) {
    relays_.set(*update.relays);
  }
  if (update.catalog) {
    applyCatalog(from, *update.catalog, previous_contact, now);
  }
  const bool proved = feed_.proof().holds(now);
  feed_.confirm(update, catalogVersion());
  if (!proved && feed_.proof().holds(now)) {
    log_.write(LogLevel::Info, "catalog.proved",
               {{"version", static_cast<std::int64_t>(catalogVersion().value)}, {"by", view(from.value)}});
    routeUnroutedCalls(now);
  }
  loads_.accept(update.coming, now);
  if (update.loads) {
    replicas_.acceptLoads(*update.loads, now);
  }
  dispatch_pending_ = dispatch_pending_ || !update.coming.empty();
  if (!replicas_follow) {
    return;
  }
  logTableChanges(update, now);
  replicas_.setSubscribed(feed_.holdsSubscribedTable());
  replicas_.apply(update, now);
  dispatch_pending_ = dispatch_pending_ || !update.replicas.empty() || !update.removed.empty();
}

std::vector<std::string> CallRouter::directory() const {
  std::vector<std::string> addresses = feed_.directory();
  if (draining_) {
    std::erase(addresses, settings_.feed.address);
  }
  return addresses;
}

/// Logs each replica that is draining or removed. Other changes of the table, thousands of entries a minute
/// in a large fleet, are only counted.
void CallRouter::logTableChanges(const wire::ServiceUpdate& update, TimePoint now) {
  for (const wire::RoutedReplica& replica : update.replicas) {
    const Replica* known = replicas_.find(replica.id);
    if (!replica.accepting && (known == nullptr || known->routed.accepting)) {
      log_.write(LogLevel::Info, "replica.leaving",
                 {{"replica", view(replica.id.value)},
                  {"service", view(replica.service.value)},
                  {"revision", static_cast<std::int64_t>(update.revision.value)}});
    }
  }
  for (const ReplicaId& id : update.removed) {
    log_.write(LogLevel::Info, "replica.gone", {{"replica", view(id.value)}});
  }
  table_changes_ += update.replicas.size();
  if (table_changes_ > 0 && now >= next_table_log_) {
    log_.write(LogLevel::Info, "replica.table",
               {{"changed", static_cast<std::int64_t>(table_changes_)},
                {"known", static_cast<std::int64_t>(replicas_.size())},
                {"revision", static_cast<std::int64_t>(update.revision.value)}});
    table_changes_ = 0;
    next_table_log_ = now + kTableLogInterval;
  }
}

std::vector<wire::ModelCallCounts> CallRouter::modelCalls(TimePoint now) {
  std::map<std::tuple<ServiceName, ModelName, std::string>, wire::ModelCallCounts> merged;
  const auto entry = [&merged](const auto& key) -> wire::ModelCallCounts& {
    wire::ModelCallCounts& want = merged[key];
    std::tie(want.service, want.model, want.adapter) = key;
    return want;
  };
  for (const auto& [key, count] : std::exchange(arrivals_, {})) {
    entry(key).arrivals = count;
  }
  for (const auto& [number, call] : calls_) {
    if (call.route == nullptr || call.need.model.empty()) {
      continue;
    }
    wire::ModelCallCounts& want =
        entry(std::make_tuple(call.need.service, call.need.model, call.need.adapter));
    if (call.attempt) {
      ++want.running;
    } else if (!replicas_.anyHolds(call.need, now)) {
      ++want.waiting;
    }
  }
  for (const auto& [key, callers] : loads_.returningCallers(now)) {
    const auto& [service, model] = key;
    wire::ModelCallCounts& want = entry(std::make_tuple(service, model, std::string()));
    ReplicaNeed need;
    need.service = service;
    need.model = model;
    (replicas_.anyHolds(need, now) ? want.running : want.waiting) += callers;
  }
  std::vector<wire::ModelCallCounts> model_calls;
  model_calls.reserve(merged.size());
  for (auto& [key, want] : merged) {
    model_calls.push_back(std::move(want));
  }
  return model_calls;
}

void CallRouter::logPartition(TimePoint now) {
  for (const auto& [service, paths] : paths_) {
    const auto since = partitioned_since_.find(service);
    if (paths.isPartitioned() == (since != partitioned_since_.end())) {
      continue;
    }
    feed_.expedite();
    if (since != partitioned_since_.end()) {
      log_.write(LogLevel::Info, "router.reaches_replicas",
                 {{"service", view(service.value)}, {"partitioned_ms", toMilliseconds(now - since->second)}});
      partitioned_since_.erase(since);
      continue;
    }
    partitioned_since_[service] = now;
    ++counts_.partitions;
    log_.write(LogLevel::Warning, "router.partitioned",
               {{"service", view(service.value)},
                {"unreachable", static_cast<std::int64_t>(paths.unreachableCount())},
                {"replicas", static_cast<std::int64_t>(replicas_.size())},
                {"last_progress_ms_ago", toMilliseconds(now - paths.lastProgress())},
                {"running", static_cast<std::int64_t>(attempts_.size())},
                {"waiting", static_cast<std::int64_t>(waiting_.size())}});
  }
}

void CallRouter::sendStatuses(TimePoint now) {
  if (!feed_.due(now)) {
    return;
  }
  for (NodeName& member : feed_.unresponsiveMembers(now)) {
    log_.write(LogLevel::Info, "control.reconnect", {{"member", view(member.value)}});
    effects_.emplace_back(RenewConnectionEffect{std::move(member)});
  }
  const NodeName leader = feed_.leader();
  updatePaths(now);
  RouterState state{modelCalls(now),
                    replicas_.unreachable(now),
                    ready(),
                    catalogVersion(),
                    crashes_.digest(),
                    replicas_.takeLocalLoads(),
                    replicas_.takeEventGaps(),
                    interests_.list(now),
                    isPartitioned(),
                    relays_.digest(),
                    budget_.report(waitingRetries(), now),
                    toMilliseconds(now - started_at_)};
  for (wire::SendEffect& send : feed_.statuses(std::move(state), now)) {
    effects_.emplace_back(std::move(send));
  }
  budget_.onStatusSent(feed_.lastSequence(), now);
  if (!leader.empty() && feed_.leader().empty()) {
    log_.write(LogLevel::Warning, "control.silent",
               {{"leader", view(leader.value)},
                {"heard_ms_ago", toMilliseconds(now - *feed_.lastLeaderContact())},
                {"catalog", static_cast<std::int64_t>(catalogVersion().value)}});
  }
}

}  // namespace ferryrock::calls
