#include "placement/planner_impl.h"

#include <algorithm>

namespace ferryrock::placement {
namespace {

/// Maximum number of cached resolved settings; the cache is cleared when it is full.
constexpr std::size_t kMaxCachedSettings = 65'536;
/// Time for which requests that found no ready replica keep the model in demand, for requests that follow.
constexpr Duration kInterestDuration = std::chrono::seconds(60);
constexpr Duration kInitialRetryDelay = std::chrono::seconds(1);
constexpr std::uint32_t kMaxRetryDoublings = 6;
/// Window, in loads, of the moving average of a model's load duration.
constexpr int kLoadAverageWindow = 4;
/// Number of failed loads after which a new version is rolled back.
constexpr std::uint32_t kFailuresToRollBack = 2;

/// Erases the entries of one slot without visiting those of other slots.
template <class Value>
void eraseSlot(std::map<std::pair<SlotId, ModelName>, Value>& entries, SlotId slot) {
  const auto begin = entries.lower_bound({slot, ModelName{}});
  const auto end = entries.lower_bound({slot.next(), ModelName{}});
  entries.erase(begin, end);
}

}  // namespace

PlannerImpl::PlannerImpl(const Ledger& ledger, ModelLookup lookup, PlannerPolicies policies, TimePoint now)
    : ledger_(ledger),
      lookup_(std::move(lookup)),
      policies_(std::move(policies)),
      engines_(ledger),
      slots_(ledger),
      store_(now),
      demand_([this](const ModelName& name) -> std::optional<ModelName> {
        const wire::ResolvedModel* settings = settingsOf(name);
        return settings == nullptr ? std::nullopt : std::optional<ModelName>(settings->base);
      }),
      next_prefetch_(now),
      now_(now) {
  for (const auto& [name, engine] : ledger.engines()) {
    engines_.refresh(name);
  }
  for (const auto& [id, slot] : ledger.slots()) {
    onSlotChanged(id, now);
  }
}

const wire::ResolvedModel* PlannerImpl::settingsOf(const ModelName& name) const {
  const auto cached = settings_cache_.find(name);
  if (cached != settings_cache_.end()) {
    return &cached->second;
  }
  std::optional<wire::ResolvedModel> resolved = lookup_(name);
  if (!resolved) {
    return nullptr;
  }
  if (settings_cache_.size() >= kMaxCachedSettings) {
    settings_cache_.clear();
  }
  return &settings_cache_.emplace(name, *std::move(resolved)).first->second;
}

ModelState& PlannerImpl::stateOf(const ModelName& base) {
  const auto [entry, inserted] = models_.try_emplace(base);
  if (inserted) {
    entry->second.name = base;
    const wire::ResolvedModel* settings = settingsOf(base);
    if (settings != nullptr) {
      entry->second.settings = *settings;
    }
  }
  return entry->second;
}

const ModelState* PlannerImpl::findState(const ModelName& base) const {
  const auto entry = models_.find(base);
  return entry == models_.end() ? nullptr : &entry->second;
}

void PlannerImpl::onDemand(const wire::DemandReport& report, TimePoint now) {
  now_ = now;
  applyDemandChanges(demand_.apply(report, now), now);
}

void PlannerImpl::onRouterGone(const NodeName& router, TimePoint now) {
  now_ = now;
  applyDemandChanges(demand_.removeRouter(router), now);
}

void PlannerImpl::applyDemandChanges(const std::vector<DemandTable::Change>& changes, TimePoint now) {
  for (const DemandTable::Change& change : changes) {
    ModelState& state = stateOf(change.base);
    const DemandFigures demand = demand_.ofBase(change.base);
    const bool has_requests = demand.waiting + demand.running > 0;
    if (change.used && !state.active && state.idle_since) {
      policies_.keep_alive->onGap(state.name, now - *state.idle_since, *state.idle_since);
      state.idle_since = std::nullopt;
    }
    if (change.used && !has_requests && countReplicas(state).ready == 0) {
      state.interest_until = now + kInterestDuration;
    }
    markDirty(change.base);
  }
}

void PlannerImpl::onEngineReport(const EngineReport& report, TimePoint now) {
  now_ = now;
  const EngineView* view = engines_.find(report.engine);
  const EngineRecord* record = ledger_.findEngine(report.engine);
  const bool known = view != nullptr && record != nullptr && view->record == *record;
  const bool returned = view != nullptr && !view->reachable;
  if (!known) {
    onEngineChanged(report.engine, now);
  }
  engines_.onReport(report);
  if (returned) {
    memoryChanged();
    markSlotsOnDirty(report.engine);
  }
}

void PlannerImpl::onEngineUnreachable(const EngineName& engine, TimePoint now) {
  now_ = now;
  const EngineView* view = engines_.find(engine);
  if (view == nullptr || !view->reachable) {
    return;
  }
  engines_.setUnreachable(engine);
  markSlotsOnDirty(engine);
}

void PlannerImpl::onMachineLeaving(const MachineName& machine, std::optional<Duration> left, TimePoint now) {
  now_ = now;
  const std::optional<TimePoint> leaves_at = left ? std::optional<TimePoint>(now + *left) : std::nullopt;
  engines_.setLeaving(machine, true, leaves_at);
  for (const EngineName& engine : engines_.enginesOf(machine)) {
    markSlotsOnDirty(engine);
  }
}

void PlannerImpl::onLoadObserved(const LoadObservation& observation, TimePoint now) {
  now_ = now;
  store_.onObserved(observation);
  loads_due_ = true;
  const SlotView* view = slots_.find(observation.slot);
  if (view == nullptr) {
    return;
  }
  ModelState& state = stateOf(view->slot.model);
  if (observation.succeeded) {
    const Duration before = state.average_load.value_or(observation.duration);
    state.average_load = before + (observation.duration - before) / kLoadAverageWindow;
    return;
  }
  const std::uint32_t doublings = std::min(state.failures, kMaxRetryDoublings);
  state.failures += 1;
  state.retry_at = now + kInitialRetryDelay * (1U << doublings);
  const bool new_version = state.stable && view->slot.version != state.stable->version;
  if (new_version && ++state.version_failures >= kFailuresToRollBack) {
    state.rejected_version = view->slot.version;
  }
  if (view->slot.state <= wire::SlotState::Loading) {
    proposeState(*view, wire::SlotState::Unloading, now);
  }
  markDirty(state.name);
}

void PlannerImpl::onSlotChanged(SlotId slot, TimePoint now) {
  now_ = now;
  const SlotChange change = slots_.refresh(slot, now);
  if (change.kind == SlotChange::Kind::Nothing) {
    return;
  }
  ModelState& state = stateOf(change.slot.model);
  if (change.kind == SlotChange::Kind::Added) {
    if (const auto pending = proposals_.removeSlot(change.slot)) {
      engines_.releaseMemory(pending->slot.engine, pending->slot.accelerators,
                             pending->slot.bytes_per_accelerator);
      slots_.setTier(slot, pending->tier);
    }
  }
  proposals_.clearState(slot);
  for (const ModelName& adapter : change.slot.adapters) {
    proposals_.clearAdapter(slot, adapter);
  }
  engines_.refresh(change.slot.engine);
  if (change.kind == SlotChange::Kind::Freed) {
    eraseSlot(adapter_last_use_, slot);
    eraseSlot(adapter_unloads_, slot);
    markSlotsOnDirty(change.slot.engine);
    keepInMemory(change.slot);
  }
  if (change.kind != SlotChange::Kind::Freed && change.slot.state == wire::SlotState::Ready) {
    onSlotReady(state, change.slot);
  }
  memoryChanged();
  markDirty(state.name);
}

void PlannerImpl::onSlotReady(ModelState& state, const wire::Slot& slot) {
  state.failures = 0;
  state.retry_at.reset();
  const bool wanted = !state.settings || state.settings->version == slot.version;
  if (!state.stable || wanted) {
    state.stable = StableVersion{
        slot.version, {static_cast<std::uint32_t>(slot.accelerators.size()), slot.bytes_per_accelerator}};
    state.version_failures = 0;
  }
}

void PlannerImpl::onSettingsChanged(const std::vector<ModelName>& models, TimePoint now) {
  now_ = now;
  for (const ModelName& name : models) {
    const auto cached = settings_cache_.find(name);
    const std::optional<ModelName> old_base =
        cached == settings_cache_.end() ? std::nullopt : std::optional<ModelName>(cached->second.base);
    settings_cache_.erase(name);
    applyDemandChanges(demand_.regroup(name), now);
    const wire::ResolvedModel* settings = settingsOf(name);
    if (old_base) {
      markDirty(*old_base);
    }
    if (settings != nullptr && settings->base != name) {
      markDirty(settings->base);
      continue;
    }
    ModelState& state = stateOf(name);
    const bool new_version =
        settings == nullptr || !state.settings || state.settings->version != settings->version;
    state.settings = settings == nullptr ? std::nullopt : std::optional<wire::ResolvedModel>(*settings);
    if (new_version) {
      state.rejected_version.reset();
      state.version_failures = 0;
      state.retry_at.reset();
    }
    state.blocked_epoch = 0;
    markDirty(name);
  }
}

void PlannerImpl::onEngineChanged(const EngineName& engine, TimePoint now) {
  now_ = now;
  engines_.refresh(engine);
  refreshEngineSlots(engine, now);
  memoryChanged();
  markSlotsOnDirty(engine);
}

void PlannerImpl::refreshEngineSlots(const EngineName& engine, TimePoint now) {
  for (const SlotId slot : slots_.changedOn(engine)) {
    onSlotChanged(slot, now);
  }
}

void PlannerImpl::markSlotsOnDirty(const EngineName& engine) {
  for (const SlotId id : ledger_.slotsOn(engine)) {
    markDirty(ledger_.slots().at(id).model);
  }
}

void PlannerImpl::memoryChanged() {
  memory_epoch_ += 1;
  loads_due_ = true;
}

void PlannerImpl::onProposalRefused(const wire::Command& command, TimePoint now) {
  now_ = now;
  if (const auto* decide = std::get_if<wire::DecideSlotCommand>(&command)) {
    if (const auto pending = proposals_.removeSlot(decide->slot)) {
      engines_.releaseMemory(pending->slot.engine, pending->slot.accelerators,
                             pending->slot.bytes_per_accelerator);
    }
    engines_.refresh(decide->slot.engine);
    memoryChanged();
    markDirty(decide->slot.model);
    return;
  }
  SlotId slot;
  if (const auto* adapter = std::get_if<wire::DecideAdapterCommand>(&command)) {
    proposals_.clearAdapter(adapter->slot, adapter->adapter);
    slot = adapter->slot;
  }
  if (const auto* state = std::get_if<wire::SlotStateCommand>(&command)) {
    proposals_.clearState(state->slot);
    slot = state->slot;
  }
  if (const SlotView* view = slots_.find(slot)) {
    markDirty(view->slot.model);
  }
}

void PlannerImpl::expireProposals(TimePoint now) {
  if (policies_.defects.never_expire_proposals) {
    return;
  }
  const ProposalTable::Expired expired = proposals_.expire(now);
  for (const PendingSlot& pending : expired.decisions) {
    engines_.releaseMemory(pending.slot.engine, pending.slot.accelerators,
                           pending.slot.bytes_per_accelerator);
    markDirty(pending.slot.model);
  }
  for (const SlotId slot : expired.affected_slots) {
    if (const SlotView* view = slots_.find(slot)) {
      markDirty(view->slot.model);
    }
  }
  if (!expired.decisions.empty()) {
    memoryChanged();
  }
}

void PlannerImpl::processExpirations(TimePoint now) {
  expireProposals(now);
  applyDemandChanges(demand_.expire(now), now);
  while (const auto model = checks_.popDue(now)) {
    markDirty(*model);
  }
}

PlannerEffects PlannerImpl::plan(TimePoint now) {
  now_ = now;
  planned_at_ = now;
  processExpirations(now);
  while (!dirty_.empty()) {
    const ModelName name = *dirty_.begin();
    dirty_.erase(dirty_.begin());
    reconcile(stateOf(name), now);
  }
  beginLoads(now);
  prefetch(now);
  PlannerEffects effects;
  effects.swap(effects_);
  return effects;
}

TimePoint PlannerImpl::nextDeadline() const {
  if (!dirty_.empty() || loads_due_ || !fresh_loads_.empty() || !effects_.empty()) {
    return now_;
  }
  TimePoint next = next_prefetch_;
  const auto consider = [&next](std::optional<TimePoint> time) {
    if (time) {
      next = std::min(next, *time);
    }
  };
  consider(checks_.next());
  consider(proposals_.nextExpiry());
  consider(demand_.nextExpiry());
  if (!load_queue_.empty()) {
    constexpr Duration kQueueRetryInterval = std::chrono::seconds(1);
    consider(planned_at_ + kQueueRetryInterval);
    if (store_.nextBegin() > planned_at_) {
      consider(store_.nextBegin());
    }
  }
  return std::max(next, now_);
}

std::unique_ptr<Planner> createPlanner(const Ledger& ledger, ModelLookup lookup, PlannerPolicies policies,
                                       TimePoint now) {
  return std::make_unique<PlannerImpl>(ledger, std::move(lookup), std::move(policies), now);
}

std::unique_ptr<Planner> createPlanner(const Ledger& ledger, ModelLookup lookup, TimePoint now) {
  return createPlanner(ledger, std::move(lookup), defaultPolicies(), now);
}

}  // namespace ferryrock::placement
