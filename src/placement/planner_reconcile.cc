#include <algorithm>
#include <map>

#include "placement/planner_impl.h"

namespace ferryrock::placement {
namespace {

/// A replica on a leaving machine is drained at the latest this long before the machine leaves.
constexpr Duration kLeaveDrainMargin = std::chrono::seconds(10);
/// Interval at which adapters are reconsidered while room for them is being made.
constexpr Duration kAdapterRetryInterval = std::chrono::milliseconds(250);

bool hasRequests(const DemandFigures& demand) {
  return demand.waiting + demand.running > 0;
}

}  // namespace

void PlannerImpl::reconcile(ModelState& state, TimePoint now) {
  const DemandFigures demand = demand_.ofBase(state.name);
  updateActivity(state, demand, now);
  const ReplicaCounts counts = countReplicas(state);
  const ReplicaTarget target = targetOf(state, demand, now);
  requestLoads(state, counts, target, demand, now);
  advanceRollout(state, counts, target, now);
  releaseSurplus(state, counts, target, now);
  drainLeaving(state, counts, target, now);
  moveForAdapters(state, counts, now);
  reconcileAdapters(state, now);
  updateEvictable(state, counts, target);
  scheduleCheck(state, now);
}

void PlannerImpl::updateActivity(ModelState& state, const DemandFigures& demand, TimePoint now) {
  if (hasRequests(demand)) {
    state.active = true;
    state.idle_since.reset();
    return;
  }
  const bool used_in_between = !state.active && !state.idle_since && state.interest_until;
  const bool holds_unused = !state.active && !state.idle_since && !slots_.of(state.name).empty();
  if (state.active || used_in_between || holds_unused) {
    becomeIdle(state, now);
  }
}

void PlannerImpl::becomeIdle(ModelState& state, TimePoint now) {
  state.active = false;
  state.idle_since = now;
  state.idle_decision = policies_.keep_alive->decide(idleModel(state));
}

bool PlannerImpl::isUsable(const SlotView& view) const {
  const EngineView* engine = engines_.find(view.slot.engine);
  return engine != nullptr && engine->usable();
}

ReplicaCounts PlannerImpl::countReplicas(const ModelState& state) const {
  ReplicaCounts counts;
  counts.pending = policies_.defects.ignore_pending_proposals ? 0 : proposals_.slotsOf(state.name);
  const ModelVersion version = wantedVersion(state).version;
  for (const SlotView* view : slots_.of(state.name)) {
    counts.total += 1;
    const EngineView* engine = engines_.find(view->slot.engine);
    if (view->slot.state > wire::SlotState::Ready || proposals_.hasPendingState(view->slot.id)) {
      counts.being_removed += 1;
    } else if (engine == nullptr || !engine->reachable) {
      counts.unreachable += 1;
    } else if (!engine->usable()) {
      counts.leaving += 1;
    } else if (view->slot.state == wire::SlotState::Ready) {
      counts.ready += 1;
      counts.ready_current += view->slot.version == version ? 1 : 0;
    } else {
      counts.starting += 1;
    }
  }
  return counts;
}

std::uint32_t PlannerImpl::maximumOf(const ModelState& state) const {
  return state.settings ? state.settings->max_replicas : 0;
}

std::uint32_t PlannerImpl::idleReplicas(const ModelState& state, TimePoint now) const {
  if (!state.idle_since) {
    return 0;
  }
  const Duration idle = now - *state.idle_since;
  const auto& prewarm = state.idle_decision.prewarm;
  const bool kept = idle < state.idle_decision.keep;
  const bool prewarmed = prewarm && idle >= prewarm->begin && idle < prewarm->end;
  return kept || prewarmed ? 1 : 0;
}

ReplicaTarget PlannerImpl::targetOf(ModelState& state, const DemandFigures& demand, TimePoint now) {
  ReplicaTarget target;
  if (!state.settings) {
    state.last_needed.clear();
    return target;
  }
  const std::uint32_t maximum = maximumOf(state);
  const wire::ResolvedModel& settings = *state.settings;
  if (hasRequests(demand)) {
    target.demanded =
        std::clamp(policies_.replica_count->wanted(demand, settings), 1U, std::max(1U, maximum));
  }
  target.minimum = std::min(settings.min_replicas, maximum);
  target.required =
      std::max({target.demanded, target.minimum, policies_.keep_alive->minimumReplicas(settings)});
  const auto& prewarm = state.idle_decision.prewarm;
  const bool prewarm_now = state.idle_since && prewarm && now - *state.idle_since >= prewarm->begin &&
                           now - *state.idle_since < prewarm->end;
  const bool interest = state.interest_until && now < *state.interest_until;
  if (prewarm_now || interest) {
    target.required = std::max(target.required, 1U);
  }
  if (state.adapter_blocked) {
    target.demanded += 1;
    target.required = std::max(target.required, target.demanded);
  }
  target.demanded = std::min(target.demanded, std::max(1U, maximum));
  target.required = std::min(target.required, maximum);

  if (state.last_needed.size() < target.demanded) {
    state.last_needed.resize(target.demanded);
  }
  std::fill_n(state.last_needed.begin(), target.demanded, now);
  const Duration surplus_keep_alive = policies_.keep_alive->surplusKeepAlive(idleModel(state));
  while (state.last_needed.size() > 1 && now - state.last_needed.back() >= surplus_keep_alive &&
         state.last_needed.size() > target.demanded) {
    state.last_needed.pop_back();
  }
  const auto recently =
      state.last_needed.size() > 1 ? static_cast<std::uint32_t>(state.last_needed.size()) : 0U;
  target.retained = std::min(std::max({target.required, recently, idleReplicas(state, now)}), maximum);
  return target;
}

void PlannerImpl::requestLoads(ModelState& state, const ReplicaCounts& counts, const ReplicaTarget& target,
                               const DemandFigures& demand, TimePoint now) {
  state.obstacle.clear();
  const std::uint32_t have = counts.usable() + counts.pending;
  if (have >= target.required) {
    load_queue_.erase(state.name);
    return;
  }
  if (counts.total + counts.pending >= maximumOf(state)) {
    state.obstacle = "the maximum number of replicas is reached, and some of them cannot serve now";
    load_queue_.erase(state.name);
    return;
  }
  if (state.retry_at && now < *state.retry_at) {
    state.obstacle = "the last load failed and its retry delay has not elapsed";
    load_queue_.erase(state.name);
    return;
  }
  const bool queued = load_queue_.contains(state.name);
  LoadCandidate& candidate = load_queue_[state.name];
  candidate.name = state.name;
  const LoadReason reason = have < target.demanded  ? LoadReason::Demand
                            : have < target.minimum ? LoadReason::Minimum
                                                    : LoadReason::Prewarm;
  const bool more_urgent = queued && reason < candidate.reason;
  candidate.reason = reason;
  candidate.waiting = demand.waiting;
  candidate.earliest_deadline = demand.earliest_deadline;
  candidate.expected_load = expectedLoadOf(state);
  candidate.cold_start_weight = state.settings->cold_start_weight;
  candidate.priority = state.settings->priority;
  if (!queued || more_urgent) {
    state.blocked_epoch = 0;
    candidate.requested_since = now;
    fresh_loads_.push_back(state.name);
  }
}

StableVersion PlannerImpl::wantedVersion(const ModelState& state) const {
  if (!state.settings) {
    return state.stable.value_or(StableVersion{});
  }
  if (state.rejected_version == state.settings->version && state.stable) {
    return *state.stable;
  }
  return {state.settings->version,
          {state.settings->accelerators, state.settings->weight_bytes + state.settings->cache_reserve_bytes}};
}

std::vector<const SlotView*> PlannerImpl::inRemovalOrder(const ModelState& state) const {
  std::vector<const SlotView*> views = slots_.of(state.name);
  std::erase_if(views, [this](const SlotView* view) {
    return view->slot.state > wire::SlotState::Ready || proposals_.hasPendingState(view->slot.id);
  });
  const ModelVersion version = wantedVersion(state).version;
  std::map<ZoneName, std::uint32_t> in_zone;
  const auto zoneOf = [this](const SlotView* view) {
    const EngineView* engine = engines_.find(view->slot.engine);
    return engine == nullptr ? ZoneName{} : engine->record.zone;
  };
  for (const SlotView* view : views) {
    in_zone[zoneOf(view)] += 1;
  }
  const auto rank = [&](const SlotView* view) {
    return std::tuple(isUsable(*view), view->slot.version == version,
                      view->slot.state == wire::SlotState::Ready,
                      -static_cast<std::int64_t>(in_zone.at(zoneOf(view))), ~view->slot.id.value);
  };
  std::sort(views.begin(), views.end(),
            [&](const SlotView* left, const SlotView* right) { return rank(left) < rank(right); });
  return views;
}

bool PlannerImpl::proposeState(const SlotView& view, wire::SlotState state, TimePoint now) {
  if (!proposals_.addState(view.slot.id, state, now)) {
    return false;
  }
  effects_.emplace_back(ProposeEffect{
      wire::SlotStateCommand{view.slot.id, state, wire::FreeProof::None, view.slot.incarnation}});
  return true;
}

void PlannerImpl::releaseSurplus(ModelState& state, const ReplicaCounts& counts, const ReplicaTarget& target,
                                 TimePoint now) {
  const std::uint32_t maximum = maximumOf(state);
  const std::uint32_t alive = counts.total - counts.being_removed;
  std::uint32_t over_maximum = alive > maximum ? alive - maximum : 0;
  std::uint32_t surplus = counts.ready > target.retained ? counts.ready - target.retained : 0;
  if (over_maximum + surplus == 0) {
    return;
  }
  for (const SlotView* view : inRemovalOrder(state)) {
    const bool ready = view->slot.state == wire::SlotState::Ready;
    if (over_maximum > 0) {
      proposeState(*view, wire::SlotState::Draining, now);
      over_maximum -= 1;
      surplus -= surplus > 0 && ready && isUsable(*view) ? 1 : 0;
    } else if (surplus > 0 && ready && isUsable(*view)) {
      proposeState(*view, wire::SlotState::Draining, now);
      surplus -= 1;
    }
  }
}

void PlannerImpl::drainLeaving(ModelState& state, const ReplicaCounts& counts, const ReplicaTarget& target,
                               TimePoint now) {
  if (counts.leaving == 0) {
    return;
  }
  const bool replaced = counts.ready >= std::max(target.required, state.active ? 1U : 0U);
  const bool at_maximum = counts.total + counts.pending >= maximumOf(state) && counts.being_removed == 0;
  const bool no_room = load_queue_.contains(state.name) && state.blocked_epoch == memory_epoch_ &&
                       !isRoomBeingMade(state, now);
  std::uint32_t held = counts.ready + counts.leaving;
  bool freed_one = false;
  for (const SlotView* view : inRemovalOrder(state)) {
    const EngineView* engine = engines_.find(view->slot.engine);
    if (engine == nullptr || !engine->reachable || engine->usable()) {
      continue;
    }
    const bool leaves_soon = engine->leaves_at && *engine->leaves_at - now <= kLeaveDrainMargin;
    const bool still_loading = view->slot.state != wire::SlotState::Ready;
    const bool make_space = at_maximum && !freed_one && counts.starting == 0;
    const bool idle_without_room = no_room && held > target.demanded;
    if (replaced || leaves_soon || still_loading || make_space || idle_without_room) {
      proposeState(*view, wire::SlotState::Draining, now);
      held -= 1;
      freed_one = true;
    }
  }
}

void PlannerImpl::advanceRollout(ModelState& state, const ReplicaCounts& counts, const ReplicaTarget& target,
                                 TimePoint now) {
  const bool in_transition =
      counts.starting + counts.pending + counts.being_removed > 0 || load_queue_.contains(state.name);
  if (!state.settings || counts.ready == counts.ready_current || in_transition || target.retained == 0) {
    return;
  }
  if (counts.ready > target.retained || (state.retry_at && now < *state.retry_at)) {
    return;
  }
  if (counts.total < maximumOf(state)) {
    LoadCandidate& candidate = load_queue_[state.name];
    candidate = {state.name,
                 LoadReason::Rollout,
                 now,
                 0,
                 std::nullopt,
                 expectedLoadOf(state),
                 state.settings->cold_start_weight,
                 state.settings->priority};
    loads_due_ = true;
    return;
  }
  const ModelVersion version = wantedVersion(state).version;
  for (const SlotView* view : inRemovalOrder(state)) {
    if (view->slot.version != version && isUsable(*view) && fitsInsteadOf(state, *view)) {
      proposeState(*view, wire::SlotState::Draining, now);
      return;
    }
  }
  state.obstacle = "no engine has room for the new version, even in place of a replica of the old one";
}

bool PlannerImpl::fitsInsteadOf(const ModelState& state, const SlotView& old) const {
  const ReplicaShape shape = wantedVersion(state).shape;
  const EngineView* engine = engines_.find(old.slot.engine);
  if (engine == nullptr) {
    return false;
  }
  std::vector<std::uint64_t> free_bytes = engine->free_bytes;
  for (const std::uint32_t accelerator : old.slot.accelerators) {
    free_bytes[accelerator] += old.slot.bytes_per_accelerator + old.slot.adapter_bytes;
  }
  return !EngineIndex::chooseAccelerators(free_bytes, shape).empty() ||
         !engines_.candidates(state.name, shape, state.settings->zones).empty();
}

void PlannerImpl::updateEvictable(ModelState& state, const ReplicaCounts& counts,
                                  const ReplicaTarget& target) {
  std::set<SlotId> before;
  before.swap(state.evictable);
  for (const SlotId slot : before) {
    evictable_.erase({retention_values_.at(slot), slot});
    retention_values_.erase(slot);
  }
  const std::uint32_t needed = std::max(target.demanded, target.minimum);
  std::uint32_t spare = counts.ready > needed ? counts.ready - needed : 0;
  if (spare == 0) {
    return;
  }
  const double retention_value = policies_.keep_alive->retentionValue(idleModel(state), now_);
  for (const SlotView* view : inRemovalOrder(state)) {
    if (spare == 0) {
      break;
    }
    if (view->slot.state == wire::SlotState::Ready && isUsable(*view)) {
      state.evictable.insert(view->slot.id);
      retention_values_[view->slot.id] = retention_value;
      evictable_.insert({retention_value, view->slot.id});
      spare -= 1;
    }
  }
  const bool grew =
      !std::includes(before.begin(), before.end(), state.evictable.begin(), state.evictable.end());
  if (grew && !load_queue_.empty()) {
    memoryChanged();
  }
}

void PlannerImpl::scheduleCheck(ModelState& state, TimePoint now) {
  std::optional<TimePoint> next;
  const auto consider = [&](TimePoint time) {
    if (time > now) {
      next = next ? std::min(*next, time) : time;
    }
  };
  if (state.idle_since) {
    consider(*state.idle_since + state.idle_decision.keep);
    if (state.idle_decision.prewarm) {
      consider(*state.idle_since + state.idle_decision.prewarm->begin);
      consider(*state.idle_since + state.idle_decision.prewarm->end);
    }
  }
  if (state.last_needed.size() > 1) {
    consider(state.last_needed.back() + policies_.keep_alive->surplusKeepAlive(idleModel(state)));
  }
  for (const auto& time : {state.interest_until, state.retry_at, state.eviction_until}) {
    if (time) {
      consider(*time);
    }
  }
  if (state.adapter_missing) {
    consider(now + kAdapterRetryInterval);
  }
  for (const SlotView* view : slots_.of(state.name)) {
    const EngineView* engine = engines_.find(view->slot.engine);
    if (engine != nullptr && engine->leaves_at && view->slot.state <= wire::SlotState::Ready) {
      consider(*engine->leaves_at - kLeaveDrainMargin);
    }
    if (!adapter_unloads_.empty() && !view->slot.adapters.empty() && state.active) {
      consider(now + kAdapterRetryInterval);
    }
  }
  checks_.set(state.name, next);
}

}  // namespace ferryrock::placement
