#include "control/slot_orders.h"

#include <algorithm>

namespace ferryrock::control {
namespace {

using wire::FreeProof;
using wire::SlotState;

/// An order whose effect doesn't show is sent again after this time.
constexpr Duration kOrderRepeat = std::chrono::seconds(1);
/// A command that wasn't applied is proposed again after this time.
constexpr Duration kProposalRepeat = std::chrono::seconds(2);

const HeldSlot* findHeld(const EngineState& state, SlotId slot) {
  const auto found = std::find_if(state.slots.begin(), state.slots.end(),
                                  [slot](const auto& held) { return held.slot == slot; });
  return found == state.slots.end() ? nullptr : &*found;
}

bool contains(const std::vector<ModelName>& names, const ModelName& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

EngineOrder slotOrder(OrderKind kind, const wire::Slot& slot) {
  EngineOrder order;
  order.kind = kind;
  order.incarnation = slot.incarnation;
  order.slot = slot.id;
  order.model = slot.model;
  order.version = slot.version;
  return order;
}

EngineOrder loadOrder(const wire::Slot& slot, const ReplicatedState& state) {
  EngineOrder order = slotOrder(OrderKind::Load, slot);
  order.accelerators = slot.accelerators;
  order.bytes_per_accelerator = slot.bytes_per_accelerator;
  const auto model = state.catalog().tree().resolveModel(slot.model);
  const std::uint64_t weights = model ? model->weight_bytes : slot.bytes_per_accelerator;
  order.checkpoint_bytes = weights * slot.accelerators.size();
  return order;
}

EngineOrder adapterOrderOf(OrderKind kind, const wire::Slot& slot, const ModelName& adapter,
                           const ReplicatedState& state) {
  EngineOrder order = slotOrder(kind, slot);
  order.adapter = adapter;
  order.accelerators = slot.accelerators;
  order.bytes_per_accelerator = state.ledger().adapterBytes(slot.id, adapter);
  order.checkpoint_bytes = order.bytes_per_accelerator * slot.accelerators.size();
  return order;
}

EngineOrder orphanUnload(const HeldSlot& held, Incarnation incarnation) {
  EngineOrder order;
  order.kind = OrderKind::Unload;
  order.incarnation = incarnation;
  order.slot = held.slot;
  order.model = held.model;
  order.version = held.version;
  return order;
}

}  // namespace

SlotNews SlotOrders::compare(const EngineName& engine, const EngineState& held, const ReplicatedState& state,
                             TimePoint now) {
  SlotNews news;
  for (const SlotId id : state.ledger().slotsOn(engine)) {
    const wire::Slot& slot = *state.ledger().findSlot(id);
    if (slot.incarnation == held.incarnation) {
      compareSlot(slot, findHeld(held, id), held, state, now, news);
    }
  }
  forgetFreedSlots(held, state);
  return news;
}

void SlotOrders::compareSlot(const wire::Slot& slot, const HeldSlot* held, const EngineState& state,
                             const ReplicatedState& replicated, TimePoint now, SlotNews& news) {
  if (held != nullptr && (slot.state == SlotState::Decided || slot.state == SlotState::Loading)) {
    observeLoad(slot, *held, state, replicated, news);
    if (held->state == HeldState::Ready) {
      proposeState(slot, SlotState::Ready, FreeProof::None, now, news);
    } else if (held->state == HeldState::Loading && slot.state == SlotState::Decided) {
      proposeState(slot, SlotState::Loading, FreeProof::None, now, news);
    }
  }
  const bool lost = held == nullptr || held->state == HeldState::Failed;
  if (slot.state == SlotState::Ready && lost) {
    proposeState(slot, SlotState::Unloading, FreeProof::None, now, news);
  }
  const bool idle = lost || held->running == 0;
  const bool refuses_new = lost || held->state == HeldState::Draining || held->state == HeldState::Unloading;
  if (slot.state == SlotState::Draining && idle && refuses_new) {
    proposeState(slot, SlotState::Unloading, FreeProof::None, now, news);
  }
  const OrderKey unload{slot.id, OrderKind::Unload, {}};
  if (slot.state == SlotState::Unloading && held == nullptr && unloadProven(unload, state)) {
    proposeState(slot, SlotState::Freed, FreeProof::UnloadAcknowledged, now, news);
  }
  compareAdapters(slot, held, state, now, news);
}

void SlotOrders::compareAdapters(const wire::Slot& slot, const HeldSlot* held, const EngineState& state,
                                 TimePoint now, SlotNews& news) {
  for (auto& [wanted, proposed] : adapter_removals_) {
    const auto& [slot_id, adapter] = wanted;
    const OrderKey unload{slot_id, OrderKind::UnloadAdapter, adapter};
    const bool gone = slot_id == slot.id && held != nullptr && !contains(held->adapters, adapter);
    if (!gone || !unloadProven(unload, state) || now < proposed + kProposalRepeat) {
      continue;
    }
    proposed = now;
    wire::DecideAdapterCommand command;
    command.slot = slot.id;
    command.adapter = adapter;
    command.remove = true;
    news.commands.emplace_back(command);
  }
}

void SlotOrders::observeLoad(const wire::Slot& slot, const HeldSlot& held, const EngineState& state,
                             const ReplicatedState& replicated, SlotNews& news) {
  const bool ended = held.state == HeldState::Ready || held.state == HeldState::Failed;
  if (!ended || !observed_.insert(slot.id).second) {
    return;
  }
  placement::LoadObservation observation;
  observation.slot = slot.id;
  observation.engine = state.engine;
  observation.tier = held.loaded_from;
  observation.bytes = loadOrder(slot, replicated).checkpoint_bytes;
  observation.duration = std::chrono::milliseconds(held.load_ms);
  observation.succeeded = held.state == HeldState::Ready;
  news.loads.push_back(observation);
}

void SlotOrders::proposeState(const wire::Slot& slot, SlotState wanted, FreeProof proof, TimePoint now,
                              SlotNews& news) {
  const auto [position, first] = proposed_.try_emplace({slot.id, wanted}, now);
  if (!first && now < position->second + kProposalRepeat) {
    return;
  }
  position->second = now;
  news.commands.emplace_back(wire::SlotStateCommand{slot.id, wanted, proof, slot.incarnation});
}

std::optional<EngineOrder> SlotOrders::next(const EngineName& engine, const EngineState& held,
                                            const ReplicatedState& state, TimePoint now) const {
  for (const SlotId id : state.ledger().slotsOn(engine)) {
    const wire::Slot& slot = *state.ledger().findSlot(id);
    if (slot.incarnation != held.incarnation) {
      continue;
    }
    if (auto order = orderFor(slot, findHeld(held, id), state, now)) {
      return order;
    }
  }
  for (const HeldSlot& slot : held.slots) {
    const bool decided = state.ledger().findSlot(slot.slot) != nullptr;
    const bool asked = slot.state == HeldState::Unloading;
    if (!decided && !asked && due({slot.slot, OrderKind::Unload, {}}, now)) {
      return orphanUnload(slot, held.incarnation);
    }
  }
  return std::nullopt;
}

std::optional<EngineOrder> SlotOrders::orderFor(const wire::Slot& slot, const HeldSlot* held,
                                                const ReplicatedState& state, TimePoint now) const {
  switch (slot.state) {
    case SlotState::Decided:
    case SlotState::Loading:
      if (held == nullptr && due({slot.id, OrderKind::Load, {}}, now)) {
        return loadOrder(slot, state);
      }
      return std::nullopt;
    case SlotState::Ready:
      return held != nullptr && held->state == HeldState::Ready ? adapterOrder(slot, *held, state, now)
                                                                : std::nullopt;
    case SlotState::Draining:
      if (held != nullptr && held->state != HeldState::Draining &&
          due({slot.id, OrderKind::Drain, {}}, now)) {
        return slotOrder(OrderKind::Drain, slot);
      }
      return std::nullopt;
    case SlotState::Unloading: {
      const bool begun = held != nullptr && held->state == HeldState::Unloading;
      if (!begun && due({slot.id, OrderKind::Unload, {}}, now)) {
        return slotOrder(OrderKind::Unload, slot);
      }
      return std::nullopt;
    }
    case SlotState::Freed:
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<EngineOrder> SlotOrders::adapterOrder(const wire::Slot& slot, const HeldSlot& held,
                                                    const ReplicatedState& state, TimePoint now) const {
  for (const ModelName& adapter : slot.adapters) {
    const bool removal = adapter_removals_.contains({slot.id, adapter});
    const OrderKind kind = removal ? OrderKind::UnloadAdapter : OrderKind::LoadAdapter;
    const bool unload_unproven = removal && !sent_.contains({slot.id, kind, adapter});
    const bool differs = contains(held.adapters, adapter) == removal;
    if ((differs || unload_unproven) && due({slot.id, kind, adapter}, now)) {
      return adapterOrderOf(kind, slot, adapter, state);
    }
  }
  for (const ModelName& adapter : held.adapters) {
    const bool decided = contains(slot.adapters, adapter);
    if (!decided && due({slot.id, OrderKind::UnloadAdapter, adapter}, now)) {
      return adapterOrderOf(OrderKind::UnloadAdapter, slot, adapter, state);
    }
  }
  return std::nullopt;
}

void SlotOrders::sent(const EngineOrder& order, TimePoint now) {
  sent_[{order.slot, order.kind, order.adapter}] = SentOrder{order.fence, now};
}

void SlotOrders::unloadFoundNothing(wire::Fence fence) {
  unproven_unload_ = std::max(unproven_unload_.value_or(fence), fence);
}

bool SlotOrders::needsProof(const EngineState& held) const {
  return unproven_unload_ && held.highest_fence < *unproven_unload_;
}

void SlotOrders::wantAdapterUnloaded(SlotId slot, const ModelName& adapter) {
  adapter_removals_.try_emplace({slot, adapter}, TimePoint::min() + kProposalRepeat);
}

std::optional<TimePoint> SlotOrders::repeatAt(TimePoint now) const {
  std::optional<TimePoint> earliest;
  for (const auto& [key, order] : sent_) {
    const TimePoint repeat = order.sent + kOrderRepeat;
    if (repeat > now && (!earliest || repeat < *earliest)) {
      earliest = repeat;
    }
  }
  return earliest;
}

bool SlotOrders::due(const OrderKey& key, TimePoint now) const {
  const auto found = sent_.find(key);
  return found == sent_.end() || now >= found->second.sent + kOrderRepeat;
}

bool SlotOrders::unloadProven(const OrderKey& key, const EngineState& held) const {
  const auto found = sent_.find(key);
  return found != sent_.end() && held.highest_fence >= found->second.fence;
}

void SlotOrders::forgetFreedSlots(const EngineState& held, const ReplicatedState& state) {
  const auto freed = [&held, &state](SlotId slot) {
    return state.ledger().findSlot(slot) == nullptr && findHeld(held, slot) == nullptr;
  };
  std::erase_if(sent_, [&freed](const auto& item) { return freed(item.first.slot); });
  std::erase_if(proposed_, [&freed](const auto& item) { return freed(item.first.first); });
  std::erase_if(observed_, freed);
  std::erase_if(adapter_removals_, [&state](const auto& item) {
    const wire::Slot* slot = state.ledger().findSlot(item.first.first);
    return slot == nullptr || !contains(slot->adapters, item.first.second);
  });
}

}  // namespace ferryrock::control
