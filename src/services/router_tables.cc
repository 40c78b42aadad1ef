#include "services/router_tables.h"

#include <algorithm>

#include "common/hashing.h"

namespace ferryrock::services {
namespace {

/// A table that the router doesn't report to hold within this time after sending counts as lost.
constexpr Duration kDeliveryTimeout = std::chrono::milliseconds(400);
/// Maximum number of tables tracked per router; beyond it the two oldest are merged.
constexpr std::size_t kMaxTrackedTables = 8;

std::uint64_t combineHash(std::uint64_t hash, std::uint64_t value) {
  return stableHash({reinterpret_cast<const char*>(&value), sizeof(value)}, hash);
}

}  // namespace

void RouterTables::expect(const NodeName& router) {
  const RouterIterator expected = routers_.try_emplace(router).first;
  expected->second.confirm = true;
  updateSettled(expected);
}

void RouterTables::accept(const wire::CallRouterStatus& status, TimePoint now) {
  const RouterIterator router = routers_.try_emplace(status.router).first;
  Router& state = router->second;
  if (state.incarnation != status.incarnation) {
    clear(router);
    state.incarnation = status.incarnation;
  }
  const auto held = std::find_if(state.sent.rbegin(), state.sent.rend(),
                                 [&status](const Sent& sent) { return sent.table == status.table; });
  const bool holds_nothing = status.table == 0 && status.revision == LogIndex{};
  if (held != state.sent.rend()) {
    const auto older = std::distance(held, state.sent.rend()) - 1;
    for (std::ptrdiff_t i = 0; i < older; ++i) {
      dropOldest(router);
    }
    state.known = true;
  } else if (holds_nothing && state.sent.empty()) {
    recordTable(router, {0, closings_, true, {}});
    state.known = true;
  } else {
    state.known = false;
  }
  const bool holds_last = !state.sent.empty() && state.sent.back().table == status.table;
  state.lost = !holds_last && (status.missed_update || now - state.sent_at >= kDeliveryTimeout);
  // The last table may be older than the closing; only a table built after it counts as a confirmation.
  const bool confirmed = holds_last && state.sent.back().closings >= state.confirm_from;
  state.confirm = state.confirm && !confirmed;
  ++confirmations_;
  updateSettled(router);
  setAwaitedModels(router, status);
}

void RouterTables::updateSettled(RouterIterator router) {
  const Router& state = router->second;
  if (state.known && state.sent.front().complete) {
    unsettled_.erase(router->first);
  } else {
    unsettled_.insert(router->first);
  }
}

void RouterTables::setAwaitedModels(RouterIterator router, const wire::CallRouterStatus& status) {
  std::set<ModelKey> awaited_models;
  for (const wire::ModelCallCounts& want : status.model_calls) {
    if (want.waiting > 0 && awaited_models.size() < ReplicaChoice::kMaxInterests) {
      awaited_models.insert({want.service, want.model, {}});
      awaited_models.insert({want.service, want.model, want.adapter});
    }
  }
  Router& state = router->second;
  if (state.awaited_models == awaited_models) {
    return;
  }
  for (const ModelKey& key : state.awaited_models) {
    const auto waiting = waiting_.find(key);
    waiting->second.erase(router->first);
    if (waiting->second.empty()) {
      waiting_.erase(waiting);
    }
  }
  for (const ModelKey& key : awaited_models) {
    waiting_[key].insert(router->first);
  }
  state.awaited_models = std::move(awaited_models);
}

void RouterTables::applyChanges(const ReplicaIndex::Changes& changes, bool complete) {
  for (const ModelKey& key : changes.grown) {
    const auto waiting = waiting_.find(key);
    if (waiting != waiting_.end()) {
      due_.insert(waiting->second.begin(), waiting->second.end());
    }
  }
  if (changes.closed.empty()) {
    return;
  }
  ++closings_;
  if (complete && unsettled_.empty()) {
    closed_.clear();
  }
  std::set<NodeName> affected = unsettled_;
  for (const ReplicaId& replica : changes.closed) {
    if (!complete || !unsettled_.empty()) {
      closed_.insert(replica);
    }
    const auto users = users_.find(replica);
    if (users != users_.end()) {
      for (const auto& [name, tables] : users->second) {
        affected.insert(name);
      }
    }
  }
  for (const NodeName& name : affected) {
    Router& router = routers_.at(name);
    router.confirm = true;
    router.confirm_from = closings_;
  }
  due_.merge(affected);
}

void RouterTables::queueWaitingRouters() {
  for (const auto& [key, names] : waiting_) {
    due_.insert(names.begin(), names.end());
  }
}

void RouterTables::keepRouters(const std::map<NodeName, RouterRecord>& routers) {
  std::vector<NodeName> gone;
  for (const auto& [name, router] : routers_) {
    if (!routers.contains(name)) {
      gone.push_back(name);
    }
  }
  for (const NodeName& name : gone) {
    forget(name);
  }
}

void RouterTables::forget(const NodeName& name) {
  const RouterIterator router = routers_.find(name);
  if (router == routers_.end()) {
    return;
  }
  clear(router);
  unsettled_.erase(name);
  due_.erase(name);
  routers_.erase(router);
}

/// Resets the state of the router: its tables and the models that its calls wait for.
void RouterTables::clear(RouterIterator router) {
  while (!router->second.sent.empty()) {
    dropOldest(router);
  }
  setAwaitedModels(router, {});
  router->second = Router{};
}

void RouterTables::dropOldest(RouterIterator router) {
  for (const ReplicaId& replica : router->second.sent.front().open) {
    const auto users = users_.find(replica);
    const auto tables = users->second.find(router->first);
    if (--tables->second == 0) {
      users->second.erase(tables);
    }
    if (users->second.empty()) {
      users_.erase(users);
    }
  }
  router->second.sent.pop_front();
}

void RouterTables::recordTable(RouterIterator router, Sent sent) {
  Router& state = router->second;
  if (state.sent.size() >= kMaxTrackedTables) {
    Sent& oldest = state.sent.front();
    Sent& next = state.sent[1];
    // users_ counts a replica once per table; the entries of the oldest table are now counted for the next
    // one.
    next.open.insert(next.open.end(), oldest.open.begin(), oldest.open.end());
    next.complete = next.complete && oldest.complete;
    next.closings = oldest.closings;
    oldest.open.clear();
    state.sent.pop_front();
  }
  for (const ReplicaId& replica : sent.open) {
    ++users_[replica][router->first];
  }
  state.sent.push_back(std::move(sent));
}

std::uint64_t RouterTables::hashOf(const std::vector<const IndexedReplica*>& chosen, bool complete) const {
  std::uint64_t hash = complete ? 1 : 2;
  for (const IndexedReplica* replica : chosen) {
    hash = combineHash(hash, replica->content_hash);
  }
  if (!complete) {
    for (const ReplicaId& replica : closed_) {
      hash = stableHash(replica.value, hash);
    }
  }
  return hash == 0 ? 1 : hash;
}

void RouterTables::appendReplicas(wire::ServiceUpdate& update,
                                  const std::vector<const IndexedReplica*>& chosen) const {
  for (const IndexedReplica* replica : chosen) {
    update.replicas.push_back(replica->routed);
  }
  if (update.complete) {
    return;
  }
  for (const ReplicaId& closed : closed_) {
    const IndexedReplica* replica = index_.find(closed);
    if (replica != nullptr && !replica->routed.accepting) {
      update.replicas.push_back(replica->routed);
    } else if (replica == nullptr) {
      update.removed.push_back(closed);
    }
  }
}

void RouterTables::fill(wire::ServiceUpdate& update, const wire::CallRouterStatus& status, TimePoint now) {
  const RouterIterator router = routers_.try_emplace(status.router).first;
  Router& state = router->second;
  state.incarnation = status.incarnation;
  const std::vector<const IndexedReplica*> chosen = choice_.choose(status, plain_services_);
  Sent sent{hashOf(chosen, update.complete), closings_, update.complete, {}};
  for (const IndexedReplica* replica : chosen) {
    sent.open.push_back(replica->routed.id);
  }
  update.table = sent.table;
  update.confirm = state.confirm;
  const bool sent_last = !state.sent.empty() && state.sent.back().table == sent.table && !state.lost;
  const bool found_held = !sent_last && status.table == sent.table &&
                          (state.sent.empty() || now - state.sent_at >= kDeliveryTimeout);
  if (found_held) {
    recordTable(router, std::move(sent));
    while (state.sent.size() > 1) {
      dropOldest(router);
    }
    state.known = true;
    state.lost = false;
    state.confirm = false;
    ++confirmations_;
    updateSettled(router);
    update.base = update.revision;
    return;
  }
  if (sent_last) {
    update.base = update.revision;
    return;
  }
  appendReplicas(update, chosen);
  state.sent_at = now;
  state.lost = false;
  recordTable(router, std::move(sent));
  updateSettled(router);
}

std::optional<NodeName> RouterTables::findUser(const ReplicaId& replica, std::uint64_t closing_count,
                                               const std::function<bool(const NodeName&)>& counts) const {
  const auto users = users_.find(replica);
  if (users != users_.end()) {
    for (const auto& [name, tables] : users->second) {
      if (counts(name)) {
        return name;
      }
    }
  }
  for (const NodeName& name : unsettled_) {
    const Router& router = routers_.at(name);
    const bool confirmed = router.known && router.sent.front().closings >= closing_count;
    if (!confirmed && counts(name)) {
      return name;
    }
  }
  return std::nullopt;
}

}  // namespace ferryrock::services
