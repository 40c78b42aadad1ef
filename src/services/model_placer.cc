#include "services/model_placer.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace ferryrock::services {
namespace {

/// A load or unload that no report shows by then is looked at again.
constexpr Duration kLoadTimeLimit = std::chrono::seconds(12);
/// A model that was wanted so recently isn't displaced.
constexpr Duration kKeptAfterUse = std::chrono::seconds(2);
/// The store's rate is kept over windows of this length, with a margin for loads that begin late.
constexpr Duration kStoreWindow = std::chrono::seconds(5);
constexpr double kStoreShare = 0.9;
/// Requests running or waiting on one copy of a model, as a share of a batch, before another is loaded.
constexpr double kBatchShare = 0.1;
/// Calls a second on one copy of a model: reading one prompt holds up the streams beside it, so that copies
/// are spread until prompts seldom meet.
constexpr double kCallsPerCopy = 2.0;
/// From the order to unload something until the load that it makes room for begins, as a rule and at most.
constexpr Duration kRoomTime = std::chrono::milliseconds(200);
constexpr Duration kRoomLasts = std::chrono::seconds(5);
/// Calls of so many seconds count for how urgent a load is; a call that a crowd makes late counts as a share
/// of one that has to wait for its model.
constexpr double kUrgencySeconds = 5.0;
constexpr double kCrowdedShare = 0.12;
/// What displacing a model costs, per recent call for it, against a second of loading.
constexpr double kDisplacedShare = 0.5;
/// Worth of a copy that its model's demand doesn't need, against any that it does.
constexpr double kSpareCopyDiscount = 1000;

bool holds(const ReplicaRecord& record, const ModelName& model) {
  return std::any_of(record.report.held.begin(), record.report.held.end(),
                     [&model](const wire::HeldModel& held) { return held.model == model; });
}

const wire::HostedModel* findModel(const wire::EngineTraits& traits, const ModelName& name) {
  const auto found = std::find_if(traits.models.begin(), traits.models.end(),
                                  [&name](const auto& m) { return m.name == name; });
  return found == traits.models.end() ? nullptr : &*found;
}

bool contains(const std::vector<ModelName>& names, const ModelName& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

PlacerEffects ModelPlacer::plan(const wire::ServiceCatalog& catalog, const std::set<ReplicaId>& unreachable,
                                TimePoint now) {
  if (now >= settings_.first_order) {
    std::erase_if(engines_, [this](const auto& item) { return registry_.find(item.first) == nullptr; });
    for (const wire::HostedService& service : catalog.services) {
      if (service.engine) {
        Candidates candidates = candidatesOf(service, unreachable, now);
        copies_ = countCopies(candidates);
        placeAdapters(service, candidates, now);
        placeModels(service, candidates, now);
      }
    }
  }
  return std::exchange(effects_, {});
}

ModelPlacer::Candidates ModelPlacer::candidatesOf(const wire::HostedService& service,
                                                  const std::set<ReplicaId>& unreachable, TimePoint now) {
  Candidates candidates;
  for (const auto& [id, record] : registry_.replicas()) {
    if (record.report.service == service.name && !record.leaving && !unreachable.contains(id)) {
      Engine& engine = engines_[id];
      candidates.push_back({&record, &engine, 0});
    }
  }
  settleFinished(candidates, now);
  for (Candidate& candidate : candidates) {
    candidate.used_mb = usedMegabytes(*candidate.record, *candidate.engine, *service.engine);
  }
  return candidates;
}

/// Takes from reports that a load or an unload has ended.
void ModelPlacer::settleFinished(Candidates& candidates, TimePoint now) {
  for (Candidate& candidate : candidates) {
    Engine& engine = *candidate.engine;
    const bool loaded = engine.loading && holds(*candidate.record, *engine.loading);
    const bool load_overdue = engine.loading && now - engine.loading_since > kLoadTimeLimit;
    if (loaded || load_overdue) {
      forgetLoad(engine);
    }
    const bool unloaded = engine.unloading && !holds(*candidate.record, *engine.unloading);
    const bool unload_overdue = engine.unloading && now - engine.unloading_since > kLoadTimeLimit;
    if (unloaded) {
      engine.models.erase(*engine.unloading);
      std::erase_if(engine.adapters, [&engine](const auto& key) { return key.first == *engine.unloading; });
    }
    if (unloaded || unload_overdue) {
      engine.unloading.reset();
    }
    if (load_overdue || unload_overdue) {
      engine.orders_taken.reset();
    }
  }
}

std::set<ModelPlacer::AdapterKey> ModelPlacer::adaptersOf(const ReplicaRecord& record, const Engine& engine) {
  std::set<AdapterKey> adapters = engine.adapters;
  for (const wire::HeldModel& held : record.report.held) {
    for (const std::string& adapter : held.adapters) {
      adapters.insert({held.model, adapter});
    }
  }
  return adapters;
}

double ModelPlacer::usedMegabytes(const ReplicaRecord& record, const Engine& engine,
                                  const wire::EngineTraits& traits) {
  std::set<ModelName> models = engine.models;
  for (const wire::HeldModel& held : record.report.held) {
    models.insert(held.model);
  }
  double used = engine.loading && !models.contains(*engine.loading) ? engine.loading_mb : 0;
  for (const ModelName& name : models) {
    const wire::HostedModel* model = findModel(traits, name);
    used += model != nullptr ? model->weight_mb : traits.weight_capacity_mb;
  }
  for (const auto& [name, adapter] : adaptersOf(record, engine)) {
    const wire::HostedModel* model = findModel(traits, name);
    used += model != nullptr ? model->adapter_mb : 0;
  }
  return used;
}

bool ModelPlacer::ready(const Candidate& candidate, TimePoint now) const {
  return !candidate.engine->pending && now >= candidate.engine->not_before;
}

void ModelPlacer::placeAdapters(const wire::HostedService& service, Candidates& candidates, TimePoint now) {
  for (const auto& [key, demand] : demand_.keys()) {
    if (key.service == service.name && !key.adapter.empty() && demand.waiting > 0) {
      loadAdapter(service, key, candidates, now);
    }
  }
}

/// On the replica that holds the model with the fewest adapters; the one least wanted gives way.
void ModelPlacer::loadAdapter(const wire::HostedService& service, const ModelKey& key, Candidates& candidates,
                              TimePoint now) {
  const wire::HostedModel* model = findModel(*service.engine, key.model);
  Candidate* best = nullptr;
  std::size_t fewest = 0;
  for (Candidate& candidate : candidates) {
    const auto adapters = adaptersOf(*candidate.record, *candidate.engine);
    if (adapters.contains({key.model, key.adapter})) {
      return;
    }
    const Engine& engine = *candidate.engine;
    const bool asked = engine.pending && engine.pending->order.model == key.model &&
                       engine.pending->order.adapter == key.adapter && !engine.pending->inspecting;
    if (asked) {
      return;
    }
    const bool usable = holds(*candidate.record, key.model) && engine.unloading != key.model;
    if (usable && (best == nullptr || adapters.size() < fewest)) {
      best = &candidate;
      fewest = adapters.size();
    }
  }
  if (best == nullptr || model == nullptr || !ready(*best, now)) {
    return;
  }
  const bool slot_free = fewest < service.engine->adapter_slots;
  const bool fits = best->used_mb + model->adapter_mb <= service.engine->weight_capacity_mb;
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
    if (idle && (!least || wanted.lasting_arrivals < least_arrivals)) {
      least = other;
      least_arrivals = wanted.lasting_arrivals;
    }
  }
  if (least) {
    order(*best, OrderAction::Unload, least->model, least->adapter, 0, now);
  }
}

ModelPlacer::CopyCounts ModelPlacer::countCopies(const Candidates& candidates) {
  CopyCounts counts;
  for (const Candidate& candidate : candidates) {
    const Engine& engine = *candidate.engine;
    std::set<ModelName> serving;
    for (const wire::HeldModel& held : candidate.record->report.held) {
      if (engine.unloading != held.model) {
        serving.insert(held.model);
      }
    }
    if (engine.loading) {
      serving.insert(*engine.loading);
    }
    for (const ModelName& model : serving) {
      ++counts[model];
    }
  }
  return counts;
}

std::size_t ModelPlacer::copies(const ModelName& model) const {
  const auto found = copies_.find(model);
  return found == copies_.end() ? 0 : found->second;
}

double ModelPlacer::callsInHandPerCopy(const wire::HostedService& service) {
  return std::max(1.0, kBatchShare * service.engine->slots);
}

std::size_t ModelPlacer::wantedCopies(const wire::HostedService& service, const ModelName& model) const {
  const KeyDemand demand = demand_.find({service.name, model, {}});
  const double in_hand = demand.running + demand.waiting;
  const double by_load = std::ceil(in_hand / callsInHandPerCopy(service));
  const double by_rate = std::ceil(demand.rate() / kCallsPerCopy);
  return static_cast<std::size_t>(std::max({1.0, by_load, by_rate}));
}

/// Calls of the next seconds that another copy serves better: a model that is missing keeps them waiting, one
/// with too few copies makes them late.
double ModelPlacer::urgency(const wire::HostedService& service, const KeyDemand& demand,
                            std::size_t held) const {
  if (held == 0) {
    return demand.waiting + demand.rate() * kUrgencySeconds;
  }
  const auto copies = static_cast<double>(held);
  const double calls_over = (demand.rate() - copies * kCallsPerCopy) * kUrgencySeconds;
  const double in_hand_over = demand.running + demand.waiting - copies * callsInHandPerCopy(service);
  return kCrowdedShare * std::max(calls_over, in_hand_over);
}

/// Room that was made for a model that isn't wanted any more is anybody's.
void ModelPlacer::dropReservations(Candidates& candidates, const WantedModels& wanted, TimePoint now) {
  for (Candidate& candidate : candidates) {
    Engine& engine = *candidate.engine;
    const bool still_wanted = std::any_of(wanted.begin(), wanted.end(), [&engine](const auto& item) {
      return item.second->name == engine.room_for;
    });
    if (engine.room_for && (!still_wanted || now - engine.room_since > kRoomLasts)) {
      engine.room_for.reset();
    }
  }
}

void ModelPlacer::placeModels(const wire::HostedService& service, Candidates& candidates, TimePoint now) {
  WantedModels wanted;
  for (const auto& [key, demand] : demand_.keys()) {
    const bool whole_model = key.service == service.name && key.adapter.empty();
    const wire::HostedModel* model = whole_model ? findModel(*service.engine, key.model) : nullptr;
    if (model == nullptr) {
      continue;
    }
    const std::size_t held = copies(key.model);
    const bool missing = held == 0 && demand.waiting > 0;
    const bool crowded = held > 0 && held < wantedCopies(service, key.model);
    if (missing || crowded) {
      wanted.emplace_back(urgency(service, demand, held), model);
    }
  }
  std::sort(wanted.begin(), wanted.end(), [](const auto& left, const auto& right) {
    return left.first != right.first ? left.first > right.first : left.second->name < right.second->name;
  });
  dropReservations(candidates, wanted, now);
  for (const auto& item : wanted) {
    const wire::HostedModel* model = item.second;
    const bool room_is_coming = std::any_of(candidates.begin(), candidates.end(), [&](const auto& candidate) {
      const Engine& engine = *candidate.engine;
      return engine.room_for == model->name && (engine.pending || engine.unloading);
    });
    if (!placeModel(service, *model, candidates, now) && !room_is_coming) {
      makeRoom(service, *model, candidates, now);
    }
  }
}

/// Loads the model where it fits, from the nearest copy of its weights. True if an order left or a replica
/// with room is only busy.
bool ModelPlacer::placeModel(const wire::HostedService& service, const wire::HostedModel& model,
                             Candidates& candidates, TimePoint now) {
  Candidate* best = nullptr;
  Duration best_time{};
  for (Candidate& candidate : candidates) {
    const Engine& engine = *candidate.engine;
    const bool fits = candidate.used_mb + model.weight_mb <= service.engine->weight_capacity_mb;
    const bool reserved = engine.room_for && engine.room_for != model.name;
    if (!fits || reserved || engine.loading || engine.unloading || holds(*candidate.record, model.name)) {
      continue;
    }
    const Duration load_time = loadTime(*candidate.record, model);
    if (best == nullptr || load_time < best_time) {
      best = &candidate;
      best_time = load_time;
    }
  }
  if (best == nullptr) {
    return false;
  }
  const wire::ReplicaReport& report = best->record->report;
  const bool from_store = !contains(report.in_memory, model.name) && !contains(report.on_disk, model.name);
  if (ready(*best, now) && (!from_store || mayLoadFromStore(*service.engine, now))) {
    order(*best, OrderAction::Load, model.name, {}, model.weight_mb, now);
    const bool ordered = best->engine->pending && !best->engine->pending->inspecting;
    best->engine->loading_time = best_time;
    best->engine->room_for.reset();
    best->used_mb += model.weight_mb;
    if (ordered && from_store) {
      store_loads_.push_back(now);
    }
  }
  return true;
}

bool ModelPlacer::mayLoadFromStore(const wire::EngineTraits& traits, TimePoint now) {
  if (traits.loads_per_second <= 0) {
    return true;
  }
  while (!store_loads_.empty() && now - store_loads_.front() > kStoreWindow) {
    store_loads_.pop_front();
  }
  const double window_seconds = std::chrono::duration<double>(kStoreWindow).count();
  return static_cast<double>(store_loads_.size()) + 1 <=
         traits.loads_per_second * window_seconds * kStoreShare;
}

std::optional<double> ModelPlacer::keepWorth(const wire::HostedService& service, const ModelName& model,
                                             TimePoint now) const {
  const KeyDemand demand = demand_.find({service.name, model, {}});
  const std::size_t held = copies(model);
  const bool spare_copy = held > wantedCopies(service, model);
  const bool in_use = demand.running + demand.waiting > 0 || now - demand.last_wanted < kKeptAfterUse;
  if (in_use && !spare_copy) {
    return std::nullopt;
  }
  const double worth = demand.lasting_arrivals / static_cast<double>(std::max<std::size_t>(held, 1));
  return spare_copy ? worth - kSpareCopyDiscount : worth;
}

/// Unloads what is worth least on one replica, until the model fits there. A replica that has the model's
/// weights on its disk or in its memory is preferred: the load is shorter and spares the store.
bool ModelPlacer::makeRoom(const wire::HostedService& service, const wire::HostedModel& model,
                           Candidates& candidates, TimePoint now) {
  Candidate* best = nullptr;
  const ModelName* victim = nullptr;
  double best_cost = 0;
  for (Candidate& candidate : candidates) {
    const Engine& engine = *candidate.engine;
    if (engine.loading || holds(*candidate.record, model.name)) {
      continue;
    }
    if (engine.unloading) {
      continue;
    }
    double least = 0;
    const ModelName* least_worth = nullptr;
    double freed = 0;
    for (const wire::HeldModel& held : candidate.record->report.held) {
      const auto worth = keepWorth(service, held.model, now);
      const wire::HostedModel* known = findModel(*service.engine, held.model);
      if (!worth || known == nullptr) {
        continue;
      }
      freed += known->weight_mb;
      if (least_worth == nullptr || *worth < least) {
        least_worth = &held.model;
        least = *worth;
      }
    }
    const bool helps = candidate.used_mb - freed + model.weight_mb <= service.engine->weight_capacity_mb;
    const double load_seconds = std::chrono::duration<double>(loadTime(*candidate.record, model)).count();
    const double cost = least * kDisplacedShare + load_seconds;
    if (least_worth != nullptr && helps && ready(candidate, now) && (best == nullptr || cost < best_cost)) {
      best = &candidate;
      victim = least_worth;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return false;
  }
  const ModelName displaced = *victim;
  best->engine->room_for = model.name;
  best->engine->room_since = now;
  ++loads_begun_;
  order(*best, OrderAction::Unload, displaced, {}, 0, now);
  return true;
}

Duration ModelPlacer::loadTime(const ReplicaRecord& record, const wire::HostedModel& model) {
  const std::int64_t load_ms = contains(record.report.in_memory, model.name) ? model.memory_load_ms
                               : contains(record.report.on_disk, model.name) ? model.disk_load_ms
                                                                             : model.store_load_ms;
  return std::chrono::milliseconds(load_ms);
}

Duration ModelPlacer::shortestLoad(const wire::HostedService& service, const wire::HostedModel& model) const {
  Duration shortest = std::chrono::milliseconds(model.store_load_ms);
  for (const auto& [id, record] : registry_.replicas()) {
    if (record.report.service == service.name && !record.leaving) {
      shortest = std::min(shortest, loadTime(record, model));
    }
  }
  return shortest;
}

/// An unload waits for the runs of its model, nobody knows how long.
bool ModelPlacer::waitsForRuns(const wire::HostedService& service, const Engine& engine) const {
  return engine.unloading && demand_.find({service.name, *engine.unloading, {}}).running > 0;
}

std::optional<TimePoint> ModelPlacer::expectedAt(const wire::HostedService& service, const ModelName& name,
                                                 TimePoint now) const {
  const wire::HostedModel* model = service.engine ? findModel(*service.engine, name) : nullptr;
  if (model == nullptr) {
    return std::nullopt;
  }
  std::optional<TimePoint> earliest;
  for (const auto& [id, engine] : engines_) {
    std::optional<TimePoint> ready;
    if (engine.loading == name) {
      ready = engine.loading_since + engine.loading_time;
    } else if (engine.room_for == name && now - engine.room_since < kRoomLasts &&
               !waitsForRuns(service, engine)) {
      const ReplicaRecord* record = registry_.find(id);
      ready =
          now + kRoomTime + (record == nullptr ? shortestLoad(service, *model) : loadTime(*record, *model));
    }
    earliest = ready && (!earliest || *ready < *earliest) ? ready : earliest;
  }
  if (!earliest && now < settings_.first_order) {
    earliest = settings_.first_order + kRoomTime + shortestLoad(service, *model);
  }
  return earliest && *earliest > now ? earliest : std::nullopt;
}

}  // namespace ferryrock::services
