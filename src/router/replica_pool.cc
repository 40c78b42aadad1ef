#include "router/replica_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ferryrock::router {
namespace {

/// Part of the load of others that counts, when the report is new.
constexpr double kReportWeight = 0.25;
/// Age at which a report counts no more.
constexpr Duration kReportLife = std::chrono::seconds(2);
constexpr Duration kSlowStart = std::chrono::seconds(3);
constexpr double kSlowStartFirstShare = 0.25;

/// True when the endpoint says more than what is held of it: another state, or an adapter that is new. Each
/// name's row lists only the name's own adapter, so adapters that it doesn't list aren't news.
bool bringsNews(const wire::ReplicaEndpoint& held, wire::ReplicaEndpoint endpoint) {
  const auto known = [&held](const ModelName& adapter) {
    return std::find(held.adapters.begin(), held.adapters.end(), adapter) != held.adapters.end();
  };
  const bool new_adapter = !std::all_of(endpoint.adapters.begin(), endpoint.adapters.end(), known);
  endpoint.adapters = held.adapters;
  return new_adapter || !(endpoint == held);
}

double ratio(Duration part, Duration whole) {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

}  // namespace

void ReplicaPool::setReplicas(const ModelName& name, const std::vector<wire::ReplicaEndpoint>& endpoints,
                              TimePoint now) {
  std::vector<SlotId> before = std::move(slots_of_[name]);
  std::vector<SlotId>& slots = slots_of_[name];
  slots.clear();
  for (const auto& endpoint : endpoints) {
    auto [position, added] = replicas_.try_emplace(endpoint.slot);
    Replica& replica = position->second;
    if (added) {
      replica.first_seen = now;
      replica.slow_start = served_before_;
    }
    if (bringsNews(replica.endpoint, endpoint)) {
      // News of the control cell overrides what the engine said before.
      replica.refused_until = TimePoint{};
    }
    takeEndpoint(replica, endpoint);
    replica.listed = true;
    replica.names.insert(name);
    slots_on_[endpoint.engine].insert(endpoint.slot);
    slots.push_back(endpoint.slot);
  }
  for (const SlotId slot : before) {
    if (std::find(slots.begin(), slots.end(), slot) == slots.end()) {
      unlist(slot, name);
    }
  }
  if (slots.empty()) {
    slots_of_.erase(name);
  }
}

/// Keeps the adapters that other names' rows list.
void ReplicaPool::takeEndpoint(Replica& replica, const wire::ReplicaEndpoint& endpoint) {
  std::vector<ModelName> adapters = std::move(replica.endpoint.adapters);
  for (const ModelName& adapter : endpoint.adapters) {
    if (std::find(adapters.begin(), adapters.end(), adapter) == adapters.end()) {
      adapters.push_back(adapter);
    }
  }
  replica.endpoint = endpoint;
  replica.endpoint.adapters = std::move(adapters);
}

void ReplicaPool::unlist(SlotId slot, const ModelName& name) {
  Replica* replica = find(slot);
  if (replica == nullptr) {
    return;
  }
  replica->names.erase(name);
  replica->listed = !replica->names.empty();
  dropIfUnused(slot);
}

void ReplicaPool::dropIfUnused(SlotId slot) {
  const auto position = replicas_.find(slot);
  if (position == replicas_.end() || position->second.listed || position->second.outstanding > 0) {
    return;
  }
  const auto engine = slots_on_.find(position->second.endpoint.engine);
  if (engine != slots_on_.end()) {
    engine->second.erase(slot);
    if (engine->second.empty()) {
      slots_on_.erase(engine);
    }
  }
  replicas_.erase(position);
}

Replica* ReplicaPool::find(SlotId slot) {
  const auto position = replicas_.find(slot);
  return position == replicas_.end() ? nullptr : &position->second;
}

const Replica* ReplicaPool::find(SlotId slot) const {
  const auto position = replicas_.find(slot);
  return position == replicas_.end() ? nullptr : &position->second;
}

bool ReplicaPool::takesNew(const Replica& replica, TimePoint now) const {
  if (ignore_leaving_) {
    return replica.listed;
  }
  return replica.listed && replica.endpoint.accepts_new && now >= replica.refused_until &&
         !leaving(replica.endpoint.engine);
}

void ReplicaPool::onDispatched(SlotId slot, TimePoint now) {
  Replica* replica = find(slot);
  if (replica == nullptr) {
    return;
  }
  served_before_ = true;
  ++replica->outstanding;
  replica->health.onDispatched(now);
}

void ReplicaPool::onReleased(SlotId slot) {
  Replica* replica = find(slot);
  if (replica == nullptr) {
    return;
  }
  if (replica->outstanding > 0) {
    --replica->outstanding;
  }
  replica->health.onReleased();
  dropIfUnused(slot);
}

void ReplicaPool::onReportedLoad(const EngineName& engine, std::uint32_t running, std::uint32_t waiting,
                                 TimePoint now) {
  const auto slots = slots_on_.find(engine);
  if (slots == slots_on_.end()) {
    return;
  }
  double own = 0;
  for (const SlotId slot : slots->second) {
    own += replicas_.at(slot).outstanding;
  }
  const double others = std::max(0.0, static_cast<double>(running) + waiting - own);
  for (const SlotId slot : slots->second) {
    replicas_.at(slot).reported = ReportedLoad{others, now, true};
  }
}

std::vector<ModelName> ReplicaPool::namesOf(SlotId slot) const {
  const Replica* replica = find(slot);
  if (replica == nullptr) {
    return {};
  }
  return {replica->names.begin(), replica->names.end()};
}

bool servesName(const wire::ReplicaEndpoint& endpoint, const wire::ResolvedModel& settings) {
  if (!settings.is_adapter) {
    return true;
  }
  const auto& adapters = endpoint.adapters;
  const ModelName& adapter = settings.served.empty() ? settings.name : settings.served;
  return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

double estimatedLoad(const Replica& replica, std::uint32_t concurrency, TimePoint now) {
  const double own = replica.outstanding;
  const Duration age = now - replica.reported.received;
  if (!replica.reported.known || age >= kReportLife) {
    return own;
  }
  const double fresh = 1.0 - ratio(age, kReportLife);
  const double bound = std::max(1.0, concurrency / 2.0);
  return own + std::min(bound, kReportWeight * replica.reported.of_others) * fresh;
}

bool reportedFull(const Replica& replica, std::uint32_t concurrency, TimePoint now) {
  if (!replica.reported.known || now - replica.reported.received >= kReportLife) {
    return false;
  }
  return replica.reported.of_others + replica.outstanding >= concurrency;
}

double slowStartWeight(const Replica& replica, TimePoint now) {
  const auto returned = replica.health.returnedAt();
  if (!replica.slow_start && !returned) {
    return 1.0;
  }
  const TimePoint start = std::max(returned.value_or(replica.first_seen), replica.first_seen);
  const Duration age = now - start;
  if (age >= kSlowStart) {
    return 1.0;
  }
  return kSlowStartFirstShare + (1.0 - kSlowStartFirstShare) * ratio(age, kSlowStart);
}

}  // namespace ferryrock::router
