#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "balance/load_key.h"
#include "balance/slow_replica.h"
#include "services/model_placer.h"
#include "services/model_placer_rules.h"

/// The part of ModelPlacer that decides which replica loads a missing or overloaded model, and which model is
/// evicted to make room.
namespace ferryrock::services {
namespace {

/// A model whose last demand is more recent than this is not evicted.
constexpr Duration kMinIdleTime = std::chrono::seconds(2);
/// Running plus waiting requests per copy, as a share of the batch slots, above which another copy is loaded.
constexpr double kBatchShare = 0.2;
/// Calls per second and copy above which another copy is loaded. The prefill of one prompt delays the other
/// streams of the copy, so copies are added until prefills rarely overlap.
constexpr double kCallRatePerCopy = 4.0;
/// Time for which freed memory stays reserved for the model that it was freed for.
constexpr Duration kReservationTtl = std::chrono::seconds(5);
/// Estimated time for which an unload waits for running calls of its model.
constexpr Duration kDrainTime = std::chrono::seconds(3);
/// Estimated time within which a replica answers an inspection or an order.
constexpr Duration kResponseTime = std::chrono::milliseconds(50);
/// Maximum number of replicas compared for one load from the weight store.
constexpr std::size_t kMaxCompared = 256;
/// Horizon of urgency(): expected calls of this many seconds count. A call delayed by overload counts as
/// kOverloadWeight of a call that waits for a missing model.
constexpr double kUrgencyHorizonSeconds = 5.0;
constexpr double kOverloadWeight = 0.12;
/// Added urgency, in waiting calls, of a model whose callers got a time to retry after.
constexpr double kAnnouncedUrgency = 1.5;
/// Cost of evicting a model, in seconds of load time per recent call for it.
constexpr double kEvictionCostPerCall = 0.5;
/// Penalty in seconds for a copy on a replica of half the speed. Callers use a copy for at least ten seconds
/// and get half the throughput from a slow one, so the slow replica must be ready 5 s earlier to be chosen.
constexpr double kSlowCopyPenaltySeconds = 5;
/// Subtracted from the value of a copy that exceeds its model's demand, so that it ranks below every copy
/// that is needed.
constexpr double kSpareCopyDiscount = 1000;
/// Callers wait for at most about this share of their timeout before they retry.
constexpr double kMaxRetryDelayShare = 0.32;

/// Longest time that callers of the service wait before they retry, if they get a time to retry after.
Duration maxRetryDelay(const wire::ServiceCatalog& catalog, const ServiceName& service) {
  std::int64_t max_timeout_ms = 0;
  for (const wire::CallRoute& route : catalog.routes) {
    const bool targets_service =
        std::any_of(route.targets.begin(), route.targets.end(),
                    [&service](const wire::RouteTarget& target) { return target.service == service; });
    max_timeout_ms = targets_service ? std::max(max_timeout_ms, route.timeout_ms) : max_timeout_ms;
  }
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(static_cast<double>(max_timeout_ms) * kMaxRetryDelayShare));
}

}  // namespace

/// Indexes which candidates have the weights of requested models in memory or on disk.
class ModelPlacer::LocalWeights {
 public:
  LocalWeights(const Candidates& candidates, const PlacementRequests& requests) {
    for (const PlacementRequest& item : requests) {
      holders_.emplace(item.model->name.value, std::vector<std::size_t>());
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      const wire::ReplicaReport& report = candidates[i].record->report;
      for (const auto* list : {&report.in_memory, &report.on_disk}) {
        for (const ModelName& model : *list) {
          const auto found = holders_.find(model.value);
          const bool new_holder =
              found != holders_.end() && (found->second.empty() || found->second.back() != i);
          if (new_holder) {
            found->second.push_back(i);
          }
        }
      }
    }
  }
  const std::vector<std::size_t>& of(const ModelName& model) const {
    static const std::vector<std::size_t> none;
    const auto found = holders_.find(model.value);
    return found == holders_.end() ? none : found->second;
  }

 private:
  std::unordered_map<std::string_view, std::vector<std::size_t>> holders_;
};

StoreLoads& ModelPlacer::storeOf(const ServiceName& service) {
  return stores_.try_emplace(service, settings_.switches.estimated_store_width).first->second;
}

void ModelPlacer::countCopies(const Candidates& candidates, TimePoint now) {
  std::unordered_map<std::string_view, std::size_t> counts;
  copies_.clear();
  served_.clear();
  for (const Candidate& candidate : candidates) {
    const Engine& engine = *candidate.engine;
    for (const wire::LoadedModel& held : candidate.record->report.held) {
      if (engine.unloading != held.model) {
        ++counts[held.model.value];
      }
    }
  }
  for (const auto& [name, count] : counts) {
    const ModelName model{std::string(name)};
    copies_[model] = count;
    served_.insert(model);
  }
  for (const Candidate& candidate : candidates) {
    const Engine& engine = *candidate.engine;
    const bool counts_load = engine.loading && !loadIsLate(engine, now);
    if (counts_load && !(holds(*candidate.record, *engine.loading) && engine.unloading != engine.loading)) {
      ++copies_[*engine.loading];
    }
  }
}

double ModelPlacer::slownessOf(const ReplicaId& replica) const {
  const auto found = slowness_.find(balance::loadKey(replica.value));
  return found == slowness_.end() ? 1 : balance::effectiveSlowness(found->second);
}

ModelPlacer::Capacities ModelPlacer::lostCapacities(const Candidates& candidates) const {
  Capacities lost;
  if (slowness_.empty()) {
    return lost;
  }
  for (const Candidate& candidate : candidates) {
    const double part = 1 - 1 / slownessOf(candidate.record->report.id);
    for (const wire::LoadedModel& held : candidate.record->report.held) {
      if (part > 0 && candidate.engine->unloading != held.model) {
        lost[held.model] += part;
      }
    }
  }
  return lost;
}

double ModelPlacer::capacity(const ModelName& model) const {
  const auto lost = lost_capacity_.find(model);
  return static_cast<double>(copies(model)) - (lost == lost_capacity_.end() ? 0 : lost->second);
}

std::size_t ModelPlacer::copies(const ModelName& model) const {
  const auto found = copies_.find(model);
  return found == copies_.end() ? 0 : found->second;
}

double ModelPlacer::callsInFlightPerCopy(const wire::HostedService& service) {
  return std::max(1.0, kBatchShare * service.engine->slots);
}

double ModelPlacer::requiredCapacity(const wire::HostedService& service, const ModelName& model) const {
  const KeyDemand demand = demand_.find({service.name, model, {}});
  const double in_flight = demand.running + demand.waiting;
  const double by_load = in_flight / callsInFlightPerCopy(service);
  const double by_rate = demand.rate() / kCallRatePerCopy;
  return std::max(by_load, by_rate);
}

/// Expected calls within the horizon that another copy serves better: a missing model makes them wait, too
/// few copies delay them.
double ModelPlacer::urgency(const wire::HostedService& service, const ModelName& model,
                            const KeyDemand& demand) const {
  const std::size_t held = copies(model);
  if (held == 0) {
    const bool announced = announced_.contains({service.name, model});
    return demand.waiting + demand.rate() * kUrgencyHorizonSeconds + (announced ? kAnnouncedUrgency : 0);
  }
  const double full_copies = capacity(model);
  const double rate_excess = (demand.rate() - full_copies * kCallRatePerCopy) * kUrgencyHorizonSeconds;
  const double in_flight_excess =
      demand.running + demand.waiting - full_copies * callsInFlightPerCopy(service);
  return kOverloadWeight * std::max(rate_excess, in_flight_excess);
}

/// Releases reservations that have expired or whose model is no longer requested.
void ModelPlacer::dropReservations(Candidates& candidates, const PlacementRequests& requests, TimePoint now) {
  for (Candidate& candidate : candidates) {
    Engine& engine = *candidate.engine;
    if (!engine.reserved_for) {
      continue;
    }
    const bool still_requested = std::any_of(
        requests.begin(), requests.end(),
        [&engine](const PlacementRequest& item) { return item.model->name == engine.reserved_for; });
    if (!still_requested || now - engine.reserved_since > kReservationTtl) {
      engine.reserved_for.reset();
    }
  }
}

ModelPlacer::PlacementRequests ModelPlacer::placementRequests(const wire::HostedService& service) const {
  PlacementRequests requests;
  for (const auto& [key, demand] : demand_.keys()) {
    const bool whole_model = key.service == service.name && key.adapter.empty();
    const wire::HostedModel* model = whole_model ? modelNamed(key.model) : nullptr;
    if (model == nullptr) {
      continue;
    }
    const std::size_t held = copies(key.model);
    // If the last copies of a model are in an evacuated zone, it is loaded elsewhere before its calls have to
    // wait.
    const bool has_demand = demand.waiting > 0 || evacuated_models_.contains(key.model);
    const bool missing = held == 0 && has_demand;
    const bool overloaded = held > 0 && capacity(key.model) < requiredCapacity(service, key.model);
    if (missing || overloaded) {
      requests.push_back({urgency(service, key.model, demand), missing, model});
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const PlacementRequest& left, const PlacementRequest& right) {
              return left.urgency != right.urgency ? left.urgency > right.urgency
                                                   : left.model->name < right.model->name;
            });
  return requests;
}

void ModelPlacer::placeModels(const wire::ServiceCatalog& catalog, const wire::HostedService& service,
                              Candidates& candidates, TimePoint now) {
  StoreLoads& store = storeOf(service.name);
  const PlacementRequests requests = placementRequests(service);
  dropReservations(candidates, requests, now);
  forgetAnnouncements(service, requests);
  if (requests.empty()) {
    return;
  }
  for (const PlacementRequest& item : requests) {
    store.expectLoad(std::chrono::milliseconds(item.model->store_load_ms));
  }
  const LocalWeights local_weights(candidates, requests);
  const Duration max_retry_delay = maxRetryDelay(catalog, service.name);
  StoreLoads::Forecast forecast = store.forecast(now);
  // Loads from memory or disk are short, so they are placed first: long loads would occupy the replicas that
  // hold those weights.
  std::vector<const PlacementRequest*> store_requests;
  for (const PlacementRequest& item : requests) {
    const auto placement = placeFromLocalTier(service, *item.model, candidates, local_weights, now);
    if (placement) {
      recordPlacement(service, item, *placement, max_retry_delay, now);
    } else if (settings_.switches.local_weights_first) {
      store_requests.push_back(&item);
    } else {
      recordPlacement(service, item, placeFromStore(service, *item.model, candidates, forecast, now),
                      max_retry_delay, now);
    }
  }
  for (const PlacementRequest* item : store_requests) {
    Placement placement = placeFromStore(service, *item->model, candidates, forecast, now);
    placement.local_tier_replicas = static_cast<std::uint32_t>(local_weights.of(item->model->name).size());
    if (placement.reason != UnplacedReason::None && placement.local_tier_replicas > 0) {
      placement.ready.reset();  // a replica with local weights may be free sooner, at an unknown time
    }
    recordPlacement(service, *item, placement, max_retry_delay, now);
  }
}

void ModelPlacer::recordPlacement(const wire::HostedService& service, const PlacementRequest& item,
                                  const Placement& placement, Duration max_retry_delay, TimePoint now) {
  const bool publishes = placement.reason == UnplacedReason::None || settings_.switches.expected_times;
  if (item.missing && placement.ready && publishes) {
    expected_[{service.name, item.model->name}] = *placement.ready;
  }
  if (item.missing && placement.ready && *placement.ready - now <= max_retry_delay) {
    announced_.insert({service.name, item.model->name});
  }
  if (placement.reason != UnplacedReason::None) {
    reportUnplaced(service, item, placement, now);
  }
}

void ModelPlacer::forgetAnnouncements(const wire::HostedService& service, const PlacementRequests& requests) {
  std::erase_if(announced_, [&](const auto& key) {
    return key.first == service.name &&
           std::none_of(requests.begin(), requests.end(),
                        [&key](const PlacementRequest& item) { return item.model->name == key.second; });
  });
}

/// Places the model on a replica with local weights; nullopt if a load from the weight store is faster or no
/// such replica is available.
std::optional<ModelPlacer::Placement> ModelPlacer::placeFromLocalTier(const wire::HostedService& service,
                                                                      const wire::HostedModel& model,
                                                                      Candidates& candidates,
                                                                      const LocalWeights& local_weights,
                                                                      TimePoint now) {
  if (const auto in_preparation = findReservedReplica(service, model, candidates, now)) {
    return *in_preparation;
  }
  std::optional<Option> nearest;
  for (const std::size_t index : local_weights.of(model.name)) {
    const auto option = optionOn(service, model, candidates[index], now);
    if (option && (!nearest || option->cost < nearest->cost)) {
      nearest = option;
    }
  }
  const Duration store_load = std::chrono::milliseconds(model.store_load_ms);
  const bool sooner = nearest && nearest->ready <= now + store_load;
  return sooner ? std::optional(applyOption(service, model, *nearest, now)) : std::nullopt;
}

/// Uses only replicas that can accept the order now, and doesn't wait for busy ones.
ModelPlacer::Placement ModelPlacer::placeFromStore(const wire::HostedService& service,
                                                   const wire::HostedModel& model, Candidates& candidates,
                                                   StoreLoads::Forecast& forecast, TimePoint now) {
  StoreLoads& store = storeOf(service.name);
  const Duration store_load = std::chrono::milliseconds(model.store_load_ms);
  if (!store.mayBegin(service.engine->loads_per_second, now)) {
    return {forecast.add(store_load, now), UnplacedReason::StoreFull};
  }
  std::optional<Option> best;
  // Compares a limited window of candidates, which advances with each load. The best of 256 is hardly worse
  // than the best of all.
  const std::size_t compared = std::min(candidates.size(), kMaxCompared);
  for (std::size_t i = 0; i < compared; ++i) {
    Candidate& candidate = candidates[(first_compared_ + i) % candidates.size()];
    const auto option = optionOn(service, model, candidate, now);
    if (option && option->possible_now && (!best || option->cost < best->cost)) {
      best = option;
    }
  }
  first_compared_ = compared < candidates.size() ? first_compared_ + compared : 0;
  if (!best) {
    return {std::nullopt, UnplacedReason::NoReplicaReady};
  }
  forecast.add(store_load, now);
  return applyOption(service, model, *best, now);
}

/// Finds a replica that is already freeing memory for the model.
std::optional<ModelPlacer::Placement> ModelPlacer::findReservedReplica(const wire::HostedService& service,
                                                                       const wire::HostedModel& model,
                                                                       const Candidates& candidates,
                                                                       TimePoint now) const {
  for (const Candidate& candidate : candidates) {
    const Engine& engine = *candidate.engine;
    if (engine.reserved_for != model.name || !(engine.pending || engine.unloading)) {
      continue;
    }
    const Duration unload_time = waitsForRunningCalls(service, engine) ? kDrainTime : kUnloadTime;
    return Placement{now + unload_time + loadTime(model, tierOf(candidate.record->report, model.name)),
                     UnplacedReason::UnloadInProgress};
  }
  return std::nullopt;
}

/// Evaluates the placement on this candidate; nullopt if it is impossible.
std::optional<ModelPlacer::Option> ModelPlacer::optionOn(const wire::HostedService& service,
                                                         const wire::HostedModel& model, Candidate& candidate,
                                                         TimePoint now) {
  const Engine& engine = *candidate.engine;
  const bool reserved = engine.reserved_for && engine.reserved_for != model.name;
  if (reserved || holds(*candidate.record, model.name) || engine.loading == model.name) {
    return std::nullopt;
  }
  Option option;
  option.candidate = &candidate;
  const TimePoint free_at = freeAt(service, candidate, now);
  option.possible_now = free_at <= now && canOrder(candidate, now);
  option.ready = free_at + loadTime(model, tierOf(candidate.record->report, model.name));
  const double capacity = service.engine->weight_capacity_mb;
  double eviction_cost = 0;
  const double used_mb = cachedUsedMegabytes(service, candidate);
  if (used_mb + model.weight_mb > capacity) {
    const std::optional<Victim> victim = selectVictim(service, candidate, now);
    if (!victim || used_mb - victim->evictable_mb + model.weight_mb > capacity) {
      return std::nullopt;
    }
    option.victim = victim->model;
    option.ready += kUnloadTime + (victim->running ? kDrainTime : Duration::zero());
    eviction_cost = victim->retention_value;
  }
  const double slow_copy = (slownessOf(candidate.record->report.id) - 1) * kSlowCopyPenaltySeconds;
  option.cost = eviction_cost * kEvictionCostPerCall + toSeconds(option.ready - now) + slow_copy;
  return option;
}

/// Earliest time at which the replica can accept an order for a model.
TimePoint ModelPlacer::freeAt(const wire::HostedService& service, const Candidate& candidate,
                              TimePoint now) const {
  const Engine& engine = *candidate.engine;
  TimePoint free_at = std::max(now, candidate.claimed_until);
  if (engine.pending) {
    free_at = std::max(free_at, now + kResponseTime);
  }
  free_at = std::max(free_at, engine.not_before);
  if (engine.unloading) {
    free_at = std::max(free_at, now + (waitsForRunningCalls(service, engine) ? kDrainTime : kUnloadTime));
  }
  if (engine.loading) {
    // An overdue load may take as long again as it is overdue.
    const TimePoint end = engine.loading_since + engine.loading_time;
    free_at = std::max(free_at, end > now ? end : now + (now - end) + kResponseTime);
  }
  return free_at;
}

/// The model to evict first on the candidate; nullopt if none may be evicted.
std::optional<ModelPlacer::Victim> ModelPlacer::selectVictim(const wire::HostedService& service,
                                                             const Candidate& candidate,
                                                             TimePoint now) const {
  std::optional<Victim> least;
  double evictable_mb = 0;
  for (const wire::LoadedModel& held : candidate.record->report.held) {
    const auto retention_value = retentionValue(service, held.model, now);
    const wire::HostedModel* known = modelNamed(held.model);
    if (!retention_value || known == nullptr || candidate.engine->unloading == held.model) {
      continue;
    }
    evictable_mb += known->weight_mb;
    if (!least || *retention_value < least->retention_value) {
      least = Victim{held.model, *retention_value, 0, false};
    }
  }
  if (least) {
    least->evictable_mb = evictable_mb;
    least->running = demand_.find({service.name, least->model, {}}).running > 0;
  }
  return least;
}

std::optional<double> ModelPlacer::retentionValue(const wire::HostedService& service, const ModelName& model,
                                                  TimePoint now) const {
  const KeyDemand demand = demand_.find({service.name, model, {}});
  const std::size_t held = copies(model);
  const bool spare_copy = capacity(model) - 1 >= std::max(1.0, requiredCapacity(service, model));
  const bool in_use = demand.running + demand.waiting > 0 || now - demand.last_demand < kMinIdleTime;
  if (in_use && !spare_copy) {
    return std::nullopt;
  }
  const double retention_value =
      demand.long_term_arrivals / static_cast<double>(std::max<std::size_t>(held, 1));
  if (spare_copy && demand.running > 0) {
    return 0.0;  // its cost is the wait for running calls, see optionOn()
  }
  return spare_copy ? retention_value - kSpareCopyDiscount : retention_value;
}

/// Sends the next order for the option if the replica can accept it now. Otherwise only claims the replica,
/// so that later placements take the claim into account.
ModelPlacer::Placement ModelPlacer::applyOption(const wire::HostedService& service,
                                                const wire::HostedModel& model, const Option& option,
                                                TimePoint now) {
  Candidate& candidate = *option.candidate;
  candidate.claimed_until = option.ready;
  if (!option.possible_now) {
    return {option.ready, UnplacedReason::ReplicaBusy};
  }
  Engine& engine = *candidate.engine;
  if (option.victim) {
    engine.reserved_for = model.name;
    engine.reserved_since = now;
    ++loads_begun_;
    order(candidate, OrderAction::Unload, *option.victim, {}, 0, now);
    return {option.ready, UnplacedReason::None};
  }
  beginLoad(service, model, candidate, now);
  return {option.ready, UnplacedReason::None};
}

void ModelPlacer::beginLoad(const wire::HostedService& service, const wire::HostedModel& model,
                            Candidate& candidate, TimePoint now) {
  Engine& engine = *candidate.engine;
  const wire::ReplicaReport& report = candidate.record->report;
  const bool from_store = tierOf(report, model.name) == WeightTier::Store;
  order(candidate, OrderAction::Load, model.name, {}, model.weight_mb, now);
  const bool ordered = engine.pending && !engine.pending->inspecting;
  engine.reserved_for.reset();
  cachedUsedMegabytes(service, candidate) += model.weight_mb;
  if (!ordered) {
    return;
  }
  engine.loading_time = loadTime(model, tierOf(candidate.record->report, model.name));
  engine.inspect_at = now + kLateFactor * engine.loading_time + kLateSlack;
  if (from_store) {
    storeOf(service.name).onBegun(report.id, engine.loading_time, now);
    engine.store = &storeOf(service.name);
  }
}

/// True while an unload in progress waits for running calls of its model, for an unknown time.
bool ModelPlacer::waitsForRunningCalls(const wire::HostedService& service, const Engine& engine) const {
  return engine.unloading && demand_.find({service.name, *engine.unloading, {}}).running > 0;
}

std::optional<TimePoint> ModelPlacer::expectedAt(const wire::HostedService& service, const ModelName& name,
                                                 TimePoint now) {
  const wire::HostedModel* model = service.engine ? findModel(*service.engine, name) : nullptr;
  if (model == nullptr) {
    return std::nullopt;
  }
  if (now < settings_.first_order) {
    return settings_.first_order + kUnloadTime + nearest_weights_.shortestLoad(service.name, *model, now);
  }
  const auto found = expected_.find({service.name, name});
  return found == expected_.end() || found->second <= now ? std::nullopt : std::optional(found->second);
}

}  // namespace ferryrock::services
