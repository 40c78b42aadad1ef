#include "services/model_placer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "services/model_placer_rules.h"
#include "wire/replica_incarnation.h"

namespace ferryrock::services {
namespace {

/// A replica may carry out an unanswered order with a delay of up to 12 s, the longest that operators
/// specify.
constexpr Duration kMaxOrderDelay = std::chrono::seconds(12);

}  // namespace

PlacerEffects ModelPlacer::plan(const wire::ServiceCatalog& catalog, const std::set<ReplicaId>& unreachable,
                                TimePoint now) {
  if (now >= settings_.first_order) {
    forgetRemovedReplicas(now);
    expected_.clear();
    compared_ = 0;
    for (const wire::HostedService& service : catalog.services) {
      if (service.engine) {
        indexModels(*service.engine);
        Candidates candidates = candidatesOf(service, unreachable, now);
        countCopies(candidates, now);
        recordExpectedTimes(service, candidates, now);
        lost_capacity_ = lostCapacities(candidates);
        placeAdapters(service, candidates, now);
        placeModels(catalog, service, candidates, now);
      }
    }
  }
  return std::exchange(effects_, {});
}

/// An unanswered load stays accounted for after a restart: the order identifies the replica by its name and
/// its count of accepted orders, and both may be the same in the next incarnation.
void ModelPlacer::forgetRemovedReplicas(TimePoint now) {
  std::erase_if(orphaned_loads_, [now](const auto& item) { return now >= item.second.until; });
  std::erase_if(engines_, [&](const auto& item) {
    const auto& [id, engine] = item;
    if (registry_.find(id) != nullptr) {
      return false;
    }
    const bool answered = !engine.pending && engine.accepted_orders;
    if (engine.loading && !answered) {
      orphaned_loads_[wire::replicaName(id)] = {engine.loading_mb, now + kMaxOrderDelay};
    }
    return true;
  });
}

ModelPlacer::Candidates ModelPlacer::candidatesOf(const wire::HostedService& service,
                                                  const std::set<ReplicaId>& unreachable, TimePoint now) {
  Candidates candidates;
  evacuated_models_.clear();
  auto engine = engines_.begin();
  for (const auto& [id, record] : registry_.replicas()) {
    if (record.report.service == service.name && registry_.isEvacuated(record)) {
      for (const wire::LoadedModel& held : record.report.held) {
        evacuated_models_.insert(held.model);
      }
    }
    if (record.report.service == service.name && registry_.acceptsCalls(record) &&
        !unreachable.contains(id)) {
      // Both maps are sorted by id, so one pass merges them.
      while (engine != engines_.end() && engine->first < id) {
        ++engine;
      }
      if (engine == engines_.end() || engine->first != id) {
        engine = engines_.emplace_hint(engine, id, Engine{});
      }
      candidates.push_back({&record, &engine->second, std::nullopt, {}});
    }
  }
  const auto isCandidate = [&](const ReplicaId& id) {
    const ReplicaRecord* record = registry_.find(id);
    return record != nullptr && record->report.service == service.name && registry_.acceptsCalls(*record) &&
           !unreachable.contains(id);
  };
  storeOf(service.name).keepIf(isCandidate, now);
  applyReports(candidates, now);
  storeOf(service.name).observeOverdue(now);
  return candidates;
}

/// Records when models that no replica serves yet are expected to serve, from the loads in progress.
void ModelPlacer::recordExpectedTimes(const wire::HostedService& service, const Candidates& candidates,
                                      TimePoint now) {
  for (const Candidate& candidate : candidates) {
    const Engine& engine = *candidate.engine;
    if (engine.loading && !served_.contains(*engine.loading) && !loadIsLate(engine, now)) {
      expected_[{service.name, *engine.loading}] = engine.loading_since + engine.loading_time;
    }
  }
}

void ModelPlacer::indexModels(const wire::EngineTraits& traits) {
  models_.clear();
  for (const wire::HostedModel& model : traits.models) {
    models_.emplace(model.name.value, &model);
  }
}

const wire::HostedModel* ModelPlacer::modelNamed(const ModelName& name) const {
  const auto found = models_.find(name.value);
  return found == models_.end() ? nullptr : found->second;
}

/// Computed lazily, because a plan evaluates only a few replicas of a large service.
double& ModelPlacer::cachedUsedMegabytes(const wire::HostedService& service, Candidate& candidate) {
  if (!candidate.used_mb) {
    candidate.used_mb = usedMegabytes(*candidate.record, *candidate.engine, *service.engine);
    ++compared_;
  }
  return *candidate.used_mb;
}

/// Ends loads and unloads that reports show as complete. A load that is late isn't cancelled while the
/// replica may still be executing it; the replica is inspected instead.
void ModelPlacer::applyReports(Candidates& candidates, TimePoint now) {
  for (Candidate& candidate : candidates) {
    Engine& engine = *candidate.engine;
    if (engine.loading && holds(*candidate.record, *engine.loading)) {
      if (engine.store != nullptr) {
        engine.store->onEnded(candidate.record->report.id, now);
        engine.store = nullptr;
      }
      forgetLoad(candidate.record->report.id, engine, now);
    }
    applyReportedUnload(candidate);
    const bool needs_inspection = (engine.loading || engine.unloading) && now >= engine.inspect_at;
    if (needs_inspection && canOrder(candidate, now)) {
      inspect(candidate, now);
    }
  }
}

void ModelPlacer::applyReportedUnload(Candidate& candidate) {
  Engine& engine = *candidate.engine;
  if (!engine.unloading) {
    return;
  }
  if (!holds(*candidate.record, *engine.unloading)) {
    engine.models.erase(*engine.unloading);
    std::erase_if(engine.adapters, [&engine](const auto& key) { return key.first == *engine.unloading; });
    engine.unloading.reset();
  }
}

bool ModelPlacer::loadIsLate(const Engine& engine, TimePoint now) {
  return now - engine.loading_since > kLateFactor * engine.loading_time + kLateSlack;
}

std::set<ModelPlacer::AdapterKey> ModelPlacer::adaptersOf(const ReplicaRecord& record, const Engine& engine) {
  std::set<AdapterKey> adapters = engine.adapters;
  for (const wire::LoadedModel& held : record.report.held) {
    for (const std::string& adapter : held.adapters) {
      adapters.insert({held.model, adapter});
    }
  }
  return adapters;
}

double ModelPlacer::usedMegabytes(const ReplicaRecord& record, const Engine& engine,
                                  const wire::EngineTraits& traits) const {
  std::set<ModelName> models = engine.models;
  for (const wire::LoadedModel& held : record.report.held) {
    models.insert(held.model);
  }
  double used = engine.loading && !models.contains(*engine.loading) ? engine.loading_mb : 0;
  const auto orphaned = orphaned_loads_.find(wire::replicaName(record.report.id));
  used += orphaned == orphaned_loads_.end() ? 0 : orphaned->second.megabytes;
  for (const ModelName& name : models) {
    const wire::HostedModel* model = modelNamed(name);
    used += model != nullptr ? model->weight_mb : traits.weight_capacity_mb;
  }
  for (const auto& [name, adapter] : adaptersOf(record, engine)) {
    const wire::HostedModel* model = modelNamed(name);
    used += model != nullptr ? model->adapter_mb : 0;
  }
  return used;
}

bool ModelPlacer::canOrder(const Candidate& candidate, TimePoint now) const {
  return !candidate.engine->pending && now >= candidate.engine->not_before;
}

void ModelPlacer::placeAdapters(const wire::HostedService& service, Candidates& candidates, TimePoint now) {
  std::vector<ModelKey> wanted;
  for (const auto& [key, demand] : demand_.keys()) {
    if (key.service == service.name && !key.adapter.empty() && demand.waiting > 0) {
      wanted.push_back(key);
    }
  }
  if (wanted.empty()) {
    return;
  }
  const HoldersByModel holders = holdersOf(wanted, candidates);
  for (const ModelKey& key : wanted) {
    loadAdapter(service, key, holders.at(key.model), now);
  }
}

/// Candidates that hold the models of these keys, or that have an adapter load or a pending order for them.
ModelPlacer::HoldersByModel ModelPlacer::holdersOf(const std::vector<ModelKey>& keys,
                                                   Candidates& candidates) const {
  HoldersByModel holders;
  for (const ModelKey& key : keys) {
    holders[key.model];
  }
  const auto add = [&holders](const ModelName& model, Candidate& candidate) {
    const auto found = holders.find(model);
    if (found != holders.end() && (found->second.empty() || found->second.back() != &candidate)) {
      found->second.push_back(&candidate);
    }
  };
  for (Candidate& candidate : candidates) {
    for (const wire::LoadedModel& held : candidate.record->report.held) {
      add(held.model, candidate);
    }
    for (const auto& [model, adapter] : candidate.engine->adapters) {
      add(model, candidate);
    }
    if (candidate.engine->pending) {
      add(candidate.engine->pending->order.model, candidate);
    }
  }
  return holders;
}

/// Picks the replica that holds the model with the fewest adapters, preferring one that can accept the order
/// now. If it has no free slot or memory, evicts the idle adapter with the lowest demand.
void ModelPlacer::loadAdapter(const wire::HostedService& service, const ModelKey& key,
                              const std::vector<Candidate*>& holders, TimePoint now) {
  const wire::HostedModel* model = modelNamed(key.model);
  Candidate* best = nullptr;
  std::pair<bool, std::size_t> best_rank;
  for (Candidate* holder : holders) {
    Candidate& candidate = *holder;
    const auto adapters = adaptersOf(*candidate.record, *candidate.engine);
    if (adapters.contains({key.model, key.adapter})) {
      return;
    }
    const Engine& engine = *candidate.engine;
    const bool already_pending = engine.pending && engine.pending->order.model == key.model &&
                                 engine.pending->order.adapter == key.adapter && !engine.pending->inspecting;
    if (already_pending) {
      return;
    }
    const bool usable = holds(*candidate.record, key.model) && engine.unloading != key.model;
    const bool occupied = engine.loading || engine.unloading || !canOrder(candidate, now);
    const std::pair<bool, std::size_t> rank{occupied, adapters.size()};
    if (usable && (best == nullptr || rank < best_rank)) {
      best = &candidate;
      best_rank = rank;
    }
  }
  if (best == nullptr || model == nullptr || !canOrder(*best, now)) {
    return;
  }
  const bool slot_free = best_rank.second < service.engine->adapter_slots;
  const bool fits =
      cachedUsedMegabytes(service, *best) + model->adapter_mb <= service.engine->weight_capacity_mb;
  if (slot_free && fits) {
    order(*best, OrderAction::Load, key.model, key.adapter, model->adapter_mb, now);
    return;
  }
  std::optional<ModelKey> least;
  double least_arrivals = 0;
  for (const auto& [name, adapter] : adaptersOf(*best->record, *best->engine)) {
    const ModelKey other{service.name, name, adapter};
    const KeyDemand wanted = demand_.find(other);
    const bool idle = wanted.running == 0 && wanted.waiting == 0;
    if (idle && (!least || wanted.long_term_arrivals < least_arrivals)) {
      least = other;
      least_arrivals = wanted.long_term_arrivals;
    }
  }
  if (least) {
    order(*best, OrderAction::Unload, least->model, least->adapter, 0, now);
  }
}

}  // namespace ferryrock::services
