#include <algorithm>

#include "placement/planner_impl.h"

namespace ferryrock::placement {
namespace {

/// Interval at which an unacknowledged order to unload an adapter is repeated.
constexpr Duration kUnloadRepeat = std::chrono::seconds(1);

bool holds(const wire::Slot& slot, const ModelName& adapter) {
  return std::find(slot.adapters.begin(), slot.adapters.end(), adapter) != slot.adapters.end();
}

bool sharesAccelerator(const wire::Slot& left, const wire::Slot& right) {
  return std::any_of(left.accelerators.begin(), left.accelerators.end(), [&](std::uint32_t accelerator) {
    return std::find(right.accelerators.begin(), right.accelerators.end(), accelerator) !=
           right.accelerators.end();
  });
}

}  // namespace

void PlannerImpl::reconcileAdapters(ModelState& state, TimePoint now) {
  const bool was_blocked = state.adapter_blocked;
  state.adapter_blocked = false;
  state.adapter_missing = false;
  for (const ModelName& name : demand_.namesOf(state.name)) {
    const wire::ResolvedModel* settings = settingsOf(name);
    if (settings != nullptr && settings->is_adapter) {
      reconcileAdapter(state, name, now);
    }
  }
  if (state.adapter_blocked && !was_blocked) {
    markDirty(state.name);
  }
}

std::uint64_t PlannerImpl::demandedAdapterBytes(const ModelState& state) const {
  std::uint64_t bytes = 0;
  for (const ModelName& name : demand_.namesOf(state.name)) {
    const wire::ResolvedModel* settings = settingsOf(name);
    bytes += settings != nullptr && settings->is_adapter ? settings->adapter_bytes : 0;
  }
  return bytes;
}

void PlannerImpl::reconcileAdapter(ModelState& state, const ModelName& adapter, TimePoint now) {
  const wire::ResolvedModel settings = *settingsOf(adapter);
  const DemandFigures demand = demand_.ofName(adapter);
  std::vector<const SlotView*> without;
  std::uint32_t with = 0;
  std::uint32_t ready = 0;
  for (const SlotView* view : slots_.of(state.name)) {
    const bool serves = view->slot.state == wire::SlotState::Ready && isUsable(*view) &&
                        !proposals_.hasPendingState(view->slot.id);
    if (!serves) {
      continue;
    }
    ready += 1;
    if (holds(view->slot, adapter) || proposals_.hasAdapter(view->slot.id, adapter)) {
      with += 1;
      adapter_last_use_[{view->slot.id, adapter}] = now;
    } else {
      without.push_back(view);
    }
  }
  const std::uint32_t wanted =
      std::min(ready, std::max(1U, policies_.replica_count->wanted(demand, settings)));
  std::sort(without.begin(), without.end(), [](const SlotView* left, const SlotView* right) {
    return std::pair(left->slot.adapters.size(), left->slot.id) <
           std::pair(right->slot.adapters.size(), right->slot.id);
  });
  bool placed = with >= wanted;
  for (const SlotView* view : without) {
    if (with >= wanted) {
      break;
    }
    if (!fitsAdapter(view->slot, settings.adapter_bytes)) {
      continue;
    }
    if (proposals_.addAdapter(view->slot.id, adapter, now)) {
      effects_.emplace_back(
          ProposeEffect{wire::DecideAdapterCommand{view->slot.id, adapter, settings.adapter_bytes, false}});
      adapter_last_use_[{view->slot.id, adapter}] = now;
    }
    with += 1;
    placed = true;
  }
  if (placed || with > 0 || without.empty()) {
    return;
  }
  state.adapter_missing = true;
  if (!makeAdapterRoom(without, now) && !evictNeighbour(without, now)) {
    state.adapter_blocked = true;
  }
}

bool PlannerImpl::fitsAdapter(const wire::Slot& slot, std::uint64_t bytes) const {
  const EngineView* engine = engines_.find(slot.engine);
  return engine != nullptr &&
         std::all_of(slot.accelerators.begin(), slot.accelerators.end(),
                     [&](std::uint32_t accelerator) { return engine->free_bytes[accelerator] >= bytes; });
}

bool PlannerImpl::makeAdapterRoom(const std::vector<const SlotView*>& slots, TimePoint now) {
  const SlotView* holder = nullptr;
  ModelName oldest;
  TimePoint oldest_use = TimePoint::max();
  for (const SlotView* view : slots) {
    for (const ModelName& adapter : view->slot.adapters) {
      const auto unload = adapter_unloads_.find({view->slot.id, adapter});
      if (unload != adapter_unloads_.end() && now - unload->second < kUnloadRepeat) {
        return true;
      }
      const DemandFigures demand = demand_.ofName(adapter);
      const auto use = adapter_last_use_.find({view->slot.id, adapter});
      const TimePoint last_use = use == adapter_last_use_.end() ? TimePoint::min() : use->second;
      if (demand.waiting + demand.running == 0 && (holder == nullptr || last_use < oldest_use)) {
        holder = view;
        oldest = adapter;
        oldest_use = last_use;
      }
    }
  }
  if (holder != nullptr) {
    adapter_unloads_[{holder->slot.id, oldest}] = now;
    effects_.emplace_back(UnloadAdapterEffect{holder->slot.id, oldest});
  }
  return holder != nullptr;
}

bool PlannerImpl::evictNeighbour(const std::vector<const SlotView*>& slots, TimePoint now) {
  const SlotView* least = nullptr;
  for (const SlotView* view : slots) {
    for (const SlotId id : ledger_.slotsOn(view->slot.engine)) {
      const SlotView* neighbour = slots_.find(id);
      if (neighbour == nullptr || id == view->slot.id || !sharesAccelerator(view->slot, neighbour->slot)) {
        continue;
      }
      if (neighbour->slot.state > wire::SlotState::Ready || proposals_.hasPendingState(id)) {
        return true;
      }
      const auto retention_value = retention_values_.find(id);
      if (retention_value != retention_values_.end() &&
          (least == nullptr || retention_value->second < retention_values_.at(least->slot.id))) {
        least = neighbour;
      }
    }
  }
  if (least == nullptr) {
    return false;
  }
  markDirty(least->slot.model);
  return proposeState(*least, wire::SlotState::Draining, now);
}

void PlannerImpl::moveForAdapters(ModelState& state, const ReplicaCounts& counts, TimePoint now) {
  const bool in_transition = counts.starting + counts.pending + counts.being_removed > 0;
  const bool at_maximum = counts.total >= maximumOf(state);
  if (!state.adapter_blocked || in_transition || !at_maximum ||
      !placeShape(state, shapeWithAdapters(state), now)) {
    return;
  }
  for (const SlotView* view : inRemovalOrder(state)) {
    if (view->slot.state == wire::SlotState::Ready && isUsable(*view)) {
      proposeState(*view, wire::SlotState::Draining, now);
      return;
    }
  }
}

}  // namespace ferryrock::placement
