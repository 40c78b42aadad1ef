#include <algorithm>
#include <limits>

#include "placement/load_policies.h"
#include "placement/planner_impl.h"

namespace ferryrock::placement {
namespace {

/// Maximum number of eviction candidates examined to make room, in ascending order of retention value.
constexpr std::size_t kEvictionProbes = 64;
/// Every queued load is retried at least at this interval.
constexpr Duration kQueueRetryInterval = std::chrono::seconds(1);
/// Time to wait for replicas that are being evicted before others are evicted instead.
constexpr Duration kEvictionWait = std::chrono::seconds(30);
constexpr Duration kPrefetchInterval = std::chrono::seconds(10);
constexpr Duration kPrefetchCooldown = std::chrono::minutes(30);
constexpr std::size_t kPrefetchProbes = 8;
/// A running load that exceeds its expected duration by this factor indicates a slow weight store.
constexpr double kOverdueFactor = 1.5;

Duration scaled(Duration duration, double factor) {
  return fromSeconds(toSeconds(duration) * factor);
}

std::uint64_t checkpointBytes(const wire::ResolvedModel& settings) {
  return settings.weight_bytes * settings.accelerators;
}

}  // namespace

double PlannerImpl::heldAccelerators(const wire::ResolvedModel& settings) const {
  const std::uint64_t whole = engines_.largestAcceleratorBytes();
  const double share = whole == 0
                           ? 1
                           : static_cast<double>(settings.weight_bytes + settings.cache_reserve_bytes) /
                                 static_cast<double>(whole);
  return settings.accelerators * std::min(1.0, share);
}

IdleModel PlannerImpl::idleModel(const ModelState& state) const {
  IdleModel model;
  model.model = state.name;
  model.idle_since = state.idle_since.value_or(now_);
  model.expected_load = state.average_load.value_or(expectedLoadOf(state));
  if (state.settings) {
    model.cold_start_weight = state.settings->cold_start_weight;
    model.accelerators = heldAccelerators(*state.settings);
    model.min_keep_alive = std::chrono::milliseconds(state.settings->keep_alive_min_ms);
    model.max_keep_alive = std::chrono::milliseconds(state.settings->keep_alive_max_ms);
  }
  return model;
}

Duration PlannerImpl::expectedLoadOf(const ModelState& state) const {
  if (!state.settings) {
    return Duration::zero();
  }
  const CheckpointTier tier =
      engines_.hasCheckpoint(state.name, CheckpointTier::Memory) ? CheckpointTier::Memory
      : engines_.hasCheckpoint(state.name, CheckpointTier::Disk) ? CheckpointTier::Disk
                                                                 : CheckpointTier::Remote;
  return expectedLoadFrom(tier, checkpointBytes(*state.settings), now_);
}

Duration PlannerImpl::expectedLoadFrom(CheckpointTier tier, std::uint64_t bytes, TimePoint now) const {
  const Duration expected = store_.expectedLoad(tier, bytes);
  return tier == CheckpointTier::Remote ? scaled(expected, storeDelayFactor(now)) : expected;
}

double PlannerImpl::storeDelayFactor(TimePoint now) const {
  double factor = 1;
  for (const SlotId id : slots_.remoteLoads()) {
    const SlotView& view = *slots_.find(id);
    const ModelState* state = findState(view.slot.model);
    if (!isUsable(view) || state == nullptr || !state->settings) {
      continue;
    }
    const Duration expected = store_.expectedLoad(CheckpointTier::Remote, checkpointBytes(*state->settings));
    const double overdue = toSeconds(now - view.decided_at) / std::max(toSeconds(expected), 1e-3);
    factor = overdue > kOverdueFactor ? std::max(factor, overdue) : factor;
  }
  return factor;
}

std::uint32_t PlannerImpl::remoteInFlight() const {
  std::uint32_t count = proposals_.remoteSlots();
  for (const SlotId id : slots_.remoteLoads()) {
    count += isUsable(*slots_.find(id)) ? 1 : 0;
  }
  return count;
}

void PlannerImpl::beginLoads(TimePoint now) {
  std::vector<ModelName> fresh;
  fresh.swap(fresh_loads_);
  if (load_queue_.empty()) {
    loads_due_ = false;
    return;
  }
  const bool all =
      loads_due_ || now - queue_tried_at_ >= kQueueRetryInterval || store_.mayBegin(remoteInFlight(), now);
  loads_due_ = false;
  if (all) {
    queue_tried_at_ = now;
    fresh.clear();
    for (const auto& [name, candidate] : load_queue_) {
      fresh.push_back(name);
    }
  }
  tryLoads(inLoadOrder(fresh, now), now);
}

std::vector<ModelName> PlannerImpl::inLoadOrder(const std::vector<ModelName>& names, TimePoint now) const {
  const auto mayWait = [this](const ModelName& name) {
    const auto entry = load_queue_.find(name);
    return entry != load_queue_.end() && entry->second.reason >= LoadReason::Rollout;
  };
  const bool room_for_demand = std::any_of(names.begin(), names.end(), mayWait) &&
                               std::any_of(load_queue_.begin(), load_queue_.end(), [&](const auto& entry) {
                                 return isRoomBeingMade(models_.at(entry.first), now);
                               });
  std::vector<std::pair<double, ModelName>> order;
  for (const ModelName& name : names) {
    const auto entry = load_queue_.find(name);
    const bool queued = entry != load_queue_.end() && models_.at(name).blocked_epoch != memory_epoch_;
    if (queued && !(room_for_demand && mayWait(name))) {
      order.emplace_back(policies_.load_order->rank(entry->second, now), name);
    }
  }
  std::sort(order.begin(), order.end());
  order.erase(std::unique(order.begin(), order.end()), order.end());
  std::vector<ModelName> result;
  result.reserve(order.size());
  for (auto& [rank, name] : order) {
    result.push_back(std::move(name));
  }
  return result;
}

void PlannerImpl::tryLoads(const std::vector<ModelName>& order, TimePoint now) {
  bool store_busy = false;
  for (const ModelName& name : order) {
    const bool on_local_tier = engines_.hasCheckpoint(name, CheckpointTier::Memory) ||
                               engines_.hasCheckpoint(name, CheckpointTier::Disk);
    if (store_busy && !on_local_tier) {
      continue;
    }
    const bool place_known = !on_local_tier && models_.at(name).placeable_epoch == memory_epoch_;
    if (place_known && !store_.mayBegin(remoteInFlight(), now)) {
      store_busy = true;
      continue;
    }
    const LoadCandidate candidate = load_queue_.at(name);
    const LoadOutcome outcome = beginLoad(candidate, now);
    store_busy = store_busy || outcome == LoadOutcome::StoreBusy;
    if (outcome == LoadOutcome::Begun) {
      reconcile(models_.at(name), now);
      loads_due_ = loads_due_ || load_queue_.contains(name);
    }
  }
}

PlannerImpl::LoadOutcome PlannerImpl::beginLoad(const LoadCandidate& candidate, TimePoint now) {
  ModelState& state = models_.at(candidate.name);
  const std::optional<Placement> placement = place(state, now);
  if (!placement) {
    const bool being_made = makeRoom(state, candidate, now);
    state.obstacle =
        being_made ? "idle replicas are being evicted to make room"
                   : "no engine has enough free memory, and no idle replicas can be evicted to make room";
    state.blocked_epoch = memory_epoch_;
    if (!being_made && countReplicas(state).leaving > 0) {
      markDirty(state.name);
    }
    return LoadOutcome::NoRoom;
  }
  if (placement->tier == CheckpointTier::Remote && !store_.mayBegin(remoteInFlight(), now)) {
    state.obstacle = "the rate or width limit of the weight store is reached";
    state.placeable_epoch = memory_epoch_;
    return LoadOutcome::StoreBusy;
  }
  propose(state, *placement, now);
  return LoadOutcome::Begun;
}

std::optional<PlannerImpl::Placement> PlannerImpl::place(const ModelState& state, TimePoint now) const {
  const std::optional<Placement> placement = placeShape(state, shapeWithAdapters(state), now);
  const bool adapters_required = state.adapter_blocked;
  return placement || adapters_required ? placement : placeShape(state, wantedVersion(state).shape, now);
}

std::optional<PlannerImpl::Placement> PlannerImpl::placeShape(const ModelState& state,
                                                              const ReplicaShape& shape,
                                                              TimePoint now) const {
  std::map<ZoneName, std::uint32_t> in_zone;
  std::map<MachineName, std::uint32_t> on_machine;
  const auto count = [&](const EngineName& name) {
    if (const EngineView* engine = engines_.find(name)) {
      in_zone[engine->record.zone] += 1;
      on_machine[engine->record.machine] += 1;
    }
  };
  for (const SlotView* view : slots_.of(state.name)) {
    count(view->slot.engine);
  }
  for (const PendingSlot& pending : proposals_.openSlots(state.name)) {
    count(pending.slot.engine);
  }
  std::optional<Placement> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const EngineName& name : engines_.candidates(state.name, shape, state.settings->zones)) {
    const EngineView& engine = *engines_.find(name);
    const std::vector<std::uint32_t> accelerators = EngineIndex::chooseAccelerators(engine.free_bytes, shape);
    EngineCandidate candidate{name, engine.record.zone, engines_.tierOf(name, state.name)};
    candidate.expected_load = expectedLoadFrom(candidate.tier, checkpointBytes(*state.settings), now);
    candidate.replicas_in_zone = in_zone[engine.record.zone];
    candidate.replicas_on_machine = on_machine[engine.record.machine];
    const std::uint64_t left = engine.free_bytes[accelerators.front()] - shape.bytes_per_accelerator;
    candidate.free_share_after = static_cast<double>(left) / static_cast<double>(std::max<std::uint64_t>(
                                                                 1, engine.record.bytes_per_accelerator));
    const double cost = policies_.placement->cost(candidate);
    if (cost < best_cost) {
      best_cost = cost;
      best = Placement{name, accelerators, candidate.tier};
    }
  }
  return best;
}

ReplicaShape PlannerImpl::shapeWithAdapters(const ModelState& state) const {
  ReplicaShape shape = wantedVersion(state).shape;
  shape.bytes_per_accelerator += demandedAdapterBytes(state);
  return shape;
}

bool PlannerImpl::makeRoom(ModelState& state, const LoadCandidate& candidate, TimePoint now) {
  if (isRoomBeingMade(state, now)) {
    return true;
  }
  if (candidate.reason != LoadReason::Demand && candidate.reason != LoadReason::Minimum) {
    return false;
  }
  const ReplicaShape shape = state.adapter_blocked ? shapeWithAdapters(state) : wantedVersion(state).shape;
  const std::vector<std::string>& zones = state.settings->zones;
  std::map<EngineName, std::vector<std::pair<double, SlotId>>> by_engine;
  std::size_t probes = 0;
  for (const auto& [retention_value, slot] : evictable_) {
    const SlotView* view = slots_.find(slot);
    if (view != nullptr && view->slot.model != state.name && !proposals_.hasPendingState(slot)) {
      by_engine[view->slot.engine].emplace_back(retention_value, slot);
    }
    if (++probes == kEvictionProbes) {
      break;
    }
  }
  std::vector<SlotId> best;
  double lowest_retention_value = std::numeric_limits<double>::infinity();
  for (const auto& [name, victims] : by_engine) {
    const EngineView* engine = engines_.find(name);
    const bool zone_allowed =
        engine != nullptr &&
        (zones.empty() || std::find(zones.begin(), zones.end(), engine->record.zone.value) != zones.end());
    if (!zone_allowed || !engine->usable()) {
      continue;
    }
    std::vector<std::uint64_t> free_bytes = engine->free_bytes;
    std::vector<SlotId> chosen;
    double retention_value_sum = 0;
    for (const auto& [retention_value, id] : victims) {
      const wire::Slot& slot = slots_.find(id)->slot;
      for (const std::uint32_t accelerator : slot.accelerators) {
        free_bytes[accelerator] += slot.bytes_per_accelerator + slot.adapter_bytes;
      }
      chosen.push_back(id);
      retention_value_sum += retention_value;
      if (!EngineIndex::chooseAccelerators(free_bytes, shape).empty()) {
        break;
      }
    }
    const bool suffices = !EngineIndex::chooseAccelerators(free_bytes, shape).empty();
    if (suffices && retention_value_sum < lowest_retention_value) {
      lowest_retention_value = retention_value_sum;
      best = chosen;
    }
  }
  if (best.empty()) {
    return false;
  }
  for (const SlotId id : best) {
    proposeState(*slots_.find(id), wire::SlotState::Draining, now);
    markDirty(slots_.find(id)->slot.model);
  }
  state.eviction_until = now + kEvictionWait;
  state.victims = best;
  return true;
}

bool PlannerImpl::isRoomBeingMade(const ModelState& state, TimePoint now) const {
  return state.eviction_until && now < *state.eviction_until &&
         std::any_of(state.victims.begin(), state.victims.end(),
                     [this](SlotId id) { return slots_.find(id) != nullptr; });
}

void PlannerImpl::propose(const ModelState& state, const Placement& placement, TimePoint now) {
  const StableVersion version = wantedVersion(state);
  wire::Slot slot;
  slot.model = state.name;
  slot.version = version.version;
  slot.engine = placement.engine;
  slot.incarnation = engines_.find(placement.engine)->record.incarnation;
  slot.accelerators = placement.accelerators;
  slot.bytes_per_accelerator = version.shape.bytes_per_accelerator;
  engines_.reserveMemory(slot.engine, slot.accelerators, slot.bytes_per_accelerator);
  proposals_.addSlot({slot, placement.tier, now + kProposalLifetime});
  if (placement.tier == CheckpointTier::Remote) {
    store_.onBegun(now);
  }
  effects_.emplace_back(ProposeEffect{wire::DecideSlotCommand{slot}});
}

void PlannerImpl::keepInMemory(const wire::Slot& freed) {
  const ModelState* state = findState(freed.model);
  const EngineView* engine = engines_.find(freed.engine);
  const bool wanted_again =
      state != nullptr && state->settings && wantedVersion(*state).version == freed.version;
  const bool same_process = engine != nullptr && engine->record.incarnation == freed.incarnation;
  if (wanted_again && same_process && engine->usable()) {
    effects_.emplace_back(PrefetchEffect{freed.engine, freed.model, freed.version, CheckpointTier::Memory});
  }
}

void PlannerImpl::prefetch(TimePoint now) {
  if (now < next_prefetch_) {
    return;
  }
  next_prefetch_ = now + kPrefetchInterval;
  if (!load_queue_.empty() || remoteInFlight() > 0) {
    return;
  }
  auto entry = models_.upper_bound(prefetch_cursor_);
  for (std::size_t probe = 0; probe < std::min(kPrefetchProbes, models_.size()); ++probe, ++entry) {
    entry = entry == models_.end() ? models_.begin() : entry;
    ModelState& state = entry->second;
    prefetch_cursor_ = state.name;
    const bool recently_prefetched = state.prefetched_at && now - *state.prefetched_at < kPrefetchCooldown;
    const bool used = state.active || state.idle_since;
    if (!state.settings || recently_prefetched || !used ||
        engines_.hasCheckpoint(state.name, CheckpointTier::Disk)) {
      continue;
    }
    if (const auto engine = engines_.prefetchTarget(state.name, CheckpointTier::Disk)) {
      state.prefetched_at = now;
      effects_.emplace_back(
          PrefetchEffect{*engine, state.name, wantedVersion(state).version, CheckpointTier::Disk});
      return;
    }
  }
}

}  // namespace ferryrock::placement
