#include "emulator/model/slot_table.h"

#include <algorithm>

namespace ferryrock::emulator {

using control::EngineOrder;
using control::HeldState;
using control::OrderKind;

namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

auto findAdapter(EngineSlot& slot, const ModelName& name) {
  return std::find_if(slot.adapters.begin(), slot.adapters.end(),
                      [&](const HeldAdapter& adapter) { return adapter.name == name; });
}

}  // namespace

SlotTable::SlotTable(const EngineSettings& settings, const EngineFaults& faults, EffectQueue& effects)
    : settings_(settings),
      effects_(effects),
      memory_(settings.accelerators, settings.bytes_per_accelerator),
      jobs_(settings, faults, effects) {}

ResultCode SlotTable::execute(TimePoint now, const EngineOrder& order) {
  switch (order.kind) {
    case OrderKind::Load:
      return load(now, order);
    case OrderKind::Unload:
      return unload(now, order);
    case OrderKind::LoadAdapter:
      return loadAdapter(now, order);
    case OrderKind::UnloadAdapter:
      return unloadAdapter(order);
    case OrderKind::Drain:
      return drain(order);
    case OrderKind::Resume:
      return resume(order);
    case OrderKind::Prefetch:
      return prefetch(now, order);
    case OrderKind::SetRole:
      break;
  }
  return ResultCode::Ok;
}

ResultCode SlotTable::load(TimePoint now, const EngineOrder& order) {
  const auto found = slots_.find(order.slot);
  if (found != slots_.end()) {
    const EngineSlot& held = found->second;
    const bool same = held.model == order.model && held.version == order.version;
    return same && held.state != HeldState::Unloading ? ResultCode::Ok : ResultCode::WrongSlotState;
  }
  if (!memory_.reserve(order.accelerators, order.bytes_per_accelerator)) {
    return ResultCode::MemoryWouldOvercommit;
  }
  EngineSlot slot;
  slot.id = order.slot;
  slot.model = order.model;
  slot.version = order.version;
  slot.accelerators = order.accelerators;
  slot.bytes_per_accelerator = order.bytes_per_accelerator;
  slots_.emplace(order.slot, slot);
  ++changes_;
  effects_.push(JournalEffect{HoldBeginRecord{order.slot, order.model, order.version, order.accelerators,
                                              order.bytes_per_accelerator}});
  jobs_.start(now, LoadTarget{LoadPurpose::Slot, order.slot, {}, {}},
              Checkpoint{order.model, order.version, order.checkpoint_bytes});
  return ResultCode::Ok;
}

ResultCode SlotTable::unload(TimePoint now, const EngineOrder& order) {
  const auto found = slots_.find(order.slot);
  if (found == slots_.end()) {
    return ResultCode::UnknownSlot;
  }
  EngineSlot& slot = found->second;
  if (slot.state == HeldState::Unloading) {
    return ResultCode::Ok;
  }
  ++changes_;
  jobs_.cancelSlot(order.slot);
  if (slot.state == HeldState::Failed) {
    slots_.erase(found);
    return ResultCode::Ok;
  }
  slot.state = HeldState::Unloading;
  slot.unload_by = now + scaled(settings_, settings_.unload_grace);
  return ResultCode::Ok;
}

ResultCode SlotTable::loadAdapter(TimePoint now, const EngineOrder& order) {
  const auto found = slots_.find(order.slot);
  if (found == slots_.end()) {
    return ResultCode::UnknownSlot;
  }
  EngineSlot& slot = found->second;
  if (slot.state == HeldState::Unloading || slot.state == HeldState::Failed) {
    return ResultCode::WrongSlotState;
  }
  const auto held = findAdapter(slot, order.adapter);
  if (held != slot.adapters.end()) {
    held->leaving = false;
    return ResultCode::Ok;
  }
  if (!memory_.reserve(slot.accelerators, order.bytes_per_accelerator)) {
    return ResultCode::MemoryWouldOvercommit;
  }
  slot.adapters.push_back({order.adapter, order.bytes_per_accelerator, false, false});
  effects_.push(JournalEffect{AdapterBeginRecord{order.slot, order.adapter, order.bytes_per_accelerator}});
  jobs_.start(now, LoadTarget{LoadPurpose::Adapter, order.slot, order.adapter, {}},
              Checkpoint{order.adapter, order.version, order.checkpoint_bytes});
  return ResultCode::Ok;
}

ResultCode SlotTable::unloadAdapter(const EngineOrder& order) {
  const auto found = slots_.find(order.slot);
  if (found == slots_.end()) {
    return ResultCode::UnknownSlot;
  }
  const auto held = findAdapter(found->second, order.adapter);
  if (held != found->second.adapters.end()) {
    jobs_.cancelAdapter(order.slot, order.adapter);
    held->leaving = true;
    ++changes_;
  }
  return ResultCode::Ok;
}

ResultCode SlotTable::drain(const EngineOrder& order) {
  const auto found = slots_.find(order.slot);
  if (found == slots_.end()) {
    return ResultCode::UnknownSlot;
  }
  if (found->second.state == HeldState::Loading) {
    return ResultCode::WrongSlotState;
  }
  if (found->second.state == HeldState::Ready) {
    found->second.state = HeldState::Draining;
    ++changes_;
  }
  return ResultCode::Ok;
}

ResultCode SlotTable::resume(const EngineOrder& order) {
  const auto found = slots_.find(order.slot);
  if (found == slots_.end()) {
    return ResultCode::UnknownSlot;
  }
  if (found->second.state == HeldState::Unloading || found->second.state == HeldState::Failed) {
    return ResultCode::WrongSlotState;
  }
  if (found->second.state == HeldState::Draining) {
    found->second.state = HeldState::Ready;
    ++changes_;
  }
  return ResultCode::Ok;
}

ResultCode SlotTable::prefetch(TimePoint now, const EngineOrder& order) {
  jobs_.start(now, LoadTarget{LoadPurpose::Prefetch, {}, {}, order.prefetch_to},
              Checkpoint{order.model, order.version, order.checkpoint_bytes});
  return ResultCode::Ok;
}

bool SlotTable::serves(const EngineSlot& slot, const ModelName& model) {
  if (slot.model == model) {
    return true;
  }
  return std::any_of(slot.adapters.begin(), slot.adapters.end(), [&](const HeldAdapter& adapter) {
    return adapter.name == model && adapter.ready && !adapter.leaving;
  });
}

Route SlotTable::route(const InferenceRequest& request) const {
  if (request.slot) {
    const auto found = slots_.find(*request.slot);
    if (found == slots_.end()) {
      return {{}, kNotFound, ResultCode::UnknownSlot, "the engine doesn't hold this slot"};
    }
    const EngineSlot& slot = found->second;
    if (!serves(slot, request.model)) {
      return {{}, kNotFound, ResultCode::UnknownModel, "the slot doesn't hold this model or adapter"};
    }
    if (slot.state != HeldState::Ready) {
      return {{}, kUnavailable, ResultCode::EngineRefused, "the slot takes no new requests"};
    }
    return {slot.id, 0, ResultCode::Ok, {}};
  }
  Route refusal{{}, kNotFound, ResultCode::UnknownModel, "the engine doesn't hold this model or adapter"};
  for (const auto& [id, slot] : slots_) {
    if (!serves(slot, request.model)) {
      continue;
    }
    if (slot.state == HeldState::Ready) {
      return {id, 0, ResultCode::Ok, {}};
    }
    refusal = {{}, kUnavailable, ResultCode::EngineRefused, "no slot of this model takes new requests"};
  }
  return refusal;
}

void SlotTable::releaseAll(EngineSlot& slot) {
  for (const HeldAdapter& adapter : slot.adapters) {
    memory_.release(slot.accelerators, adapter.bytes);
    effects_.push(JournalEffect{AdapterEndRecord{slot.id, adapter.name, adapter.bytes}});
  }
  slot.adapters.clear();
  memory_.release(slot.accelerators, slot.bytes_per_accelerator);
  effects_.push(JournalEffect{HoldEndRecord{slot.id}});
}

void SlotTable::endSlotLoad(const FinishedLoad& load, std::vector<SlotId>& ready) {
  EngineSlot& slot = slots_.at(load.target.slot);
  slot.loaded_from = load.from;
  slot.load_ms = toMilliseconds(load.took);
  if (!load.succeeded) {
    jobs_.cancelSlot(slot.id);
    slot.state = HeldState::Failed;
    releaseAll(slot);
    return;
  }
  slot.state = HeldState::Ready;
  effects_.push(JournalEffect{HoldReadyRecord{slot.id}});
  ready.push_back(slot.id);
}

void SlotTable::endAdapterLoad(const FinishedLoad& load) {
  const auto slot = slots_.find(load.target.slot);
  if (slot == slots_.end()) {
    return;
  }
  const auto adapter = findAdapter(slot->second, load.target.adapter);
  if (adapter == slot->second.adapters.end()) {
    return;
  }
  adapter->ready = load.succeeded;
  if (!load.succeeded) {
    freeAdapter(load.target.slot, load.target.adapter);
  }
}

void SlotTable::beginFreeing(TimePoint now, SlotId slot) {
  slots_.at(slot).freed_at = now + scaled(settings_, settings_.unload_time);
}

void SlotTable::freeAdapter(SlotId slot_id, const ModelName& name) {
  EngineSlot& slot = slots_.at(slot_id);
  const auto adapter = findAdapter(slot, name);
  memory_.release(slot.accelerators, adapter->bytes);
  effects_.push(JournalEffect{AdapterEndRecord{slot_id, name, adapter->bytes}});
  slot.adapters.erase(adapter);
  ++changes_;
}

std::vector<SlotId> SlotTable::tick(TimePoint now) {
  std::vector<SlotId> ready;
  for (const FinishedLoad& load : jobs_.tick(now)) {
    ++changes_;
    if (load.target.purpose == LoadPurpose::Slot) {
      endSlotLoad(load, ready);
    }
    if (load.target.purpose == LoadPurpose::Adapter) {
      endAdapterLoad(load);
    }
  }
  for (auto entry = slots_.begin(); entry != slots_.end();) {
    EngineSlot& slot = entry->second;
    if (!slot.freed_at || *slot.freed_at > now) {
      ++entry;
      continue;
    }
    releaseAll(slot);
    ++changes_;
    entry = slots_.erase(entry);
  }
  return ready;
}

std::optional<TimePoint> SlotTable::nextWakeup() const {
  std::optional<TimePoint> earliest = jobs_.nextWakeup();
  for (const auto& [id, slot] : slots_) {
    std::optional<TimePoint> due = slot.freed_at;
    if (slot.state == HeldState::Unloading && !due) {
      due = slot.unload_by;
    }
    if (due && (!earliest || *due < *earliest)) {
      earliest = due;
    }
  }
  return earliest;
}

}  // namespace ferryrock::emulator
