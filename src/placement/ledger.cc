#include "placement/ledger.h"

#include <algorithm>
#include <set>

#include "wire/codec.h"

namespace ferryrock::placement {
namespace {

/// Removed engines that are retained in case the platform's machine list omitted a machine that is still
/// running.
constexpr std::size_t kMaxRemovedEngines = 1024;

wire::CommandResult success() {
  return {};
}

wire::CommandResult refusal(ResultCode code, std::string detail) {
  wire::CommandResult result;
  result.code = code;
  result.detail = std::move(detail);
  return result;
}

template <class Key, class Value>
void eraseFrom(std::map<Key, std::vector<Value>>& index, const Key& key, const Value& value) {
  const auto entry = index.find(key);
  if (entry == index.end()) {
    return;
  }
  std::erase(entry->second, value);
  if (entry->second.empty()) {
    index.erase(entry);
  }
}

std::string text(SlotId slot) {
  return "slot " + std::to_string(slot.value);
}

bool validAccelerators(const std::vector<std::uint32_t>& accelerators, std::uint32_t count) {
  const std::set<std::uint32_t> distinct(accelerators.begin(), accelerators.end());
  return !distinct.empty() && distinct.size() == accelerators.size() && *distinct.rbegin() < count;
}

}  // namespace

struct Ledger::Image {
  SlotId next_slot;
  std::map<EngineName, EngineRecord> engines;
  std::map<SlotId, wire::Slot> slots;
  std::map<SlotId, std::map<ModelName, std::uint64_t>> adapter_bytes;
  std::vector<RemovedEngine> removed;
  FERRYROCK_FIELDS(Image, next_slot, engines, slots, adapter_bytes, removed)
};

wire::CommandResult Ledger::apply(const wire::RegisterEngineCommand& command) {
  const auto known = engines_.find(command.engine);
  bool draining = false;
  if (known != engines_.end()) {
    const EngineRecord& before = known->second;
    if (command.incarnation < before.incarnation) {
      return refusal(ResultCode::WrongIncarnation, "engine " + command.engine.value +
                                                       " is registered with incarnation " +
                                                       std::to_string(before.incarnation.value));
    }
    const bool same_shape = before.accelerators == command.accelerators &&
                            before.bytes_per_accelerator == command.bytes_per_accelerator;
    if (command.incarnation == before.incarnation && !same_shape && by_engine_.contains(command.engine)) {
      return refusal(ResultCode::MemoryWouldOvercommit,
                     "engine " + command.engine.value + " changed its accelerators while it holds slots");
    }
    if (command.incarnation > before.incarnation) {
      freeSlotsOf(command.engine);
    }
    draining = before.draining;
    eraseFrom(by_machine_, before.machine, command.engine);
  }
  engines_[command.engine] = EngineRecord{
      command.engine,       command.incarnation,           command.url, command.machine, command.zone,
      command.accelerators, command.bytes_per_accelerator, draining};
  by_machine_[command.machine].push_back(command.engine);
  held_[command.engine].resize(command.accelerators, 0);
  if (known == engines_.end()) {
    restoreRemoved(command.engine, command.incarnation);
  }
  return success();
}

wire::CommandResult Ledger::apply(const wire::RemoveMachineCommand& command) {
  const auto machine = by_machine_.find(command.machine);
  if (machine == by_machine_.end()) {
    return success();
  }
  const std::vector<EngineName> names = machine->second;
  for (const EngineName& name : names) {
    recordRemoved(engines_.at(name));
    freeSlotsOf(name);
    engines_.erase(name);
    held_.erase(name);
  }
  by_machine_.erase(command.machine);
  return success();
}

wire::CommandResult Ledger::apply(const wire::DecideSlotCommand& command, const ModelLimits& limits) {
  wire::CommandResult result = checkDecision(command.slot, limits);
  if (result.code != ResultCode::Ok) {
    return result;
  }
  wire::Slot slot = command.slot;
  slot.id = next_slot_;
  slot.state = wire::SlotState::Decided;
  slot.adapters.clear();
  slot.adapter_bytes = 0;
  next_slot_ = next_slot_.next();
  insertSlot(slot);
  result.slot = slot.id;
  return result;
}

wire::CommandResult Ledger::checkDecision(const wire::Slot& slot, const ModelLimits& limits) const {
  const EngineRecord* engine = findEngine(slot.engine);
  if (engine == nullptr) {
    return refusal(ResultCode::UnknownEngine, "engine " + slot.engine.value + " is not registered");
  }
  if (checks_.incarnation && engine->incarnation != slot.incarnation) {
    return refusal(ResultCode::WrongIncarnation, "engine " + slot.engine.value + " has incarnation " +
                                                     std::to_string(engine->incarnation.value));
  }
  if (engine->draining) {
    return refusal(ResultCode::WrongSlotState, "engine " + slot.engine.value + " is draining");
  }
  if (!validAccelerators(slot.accelerators, engine->accelerators)) {
    return refusal(ResultCode::MemoryWouldOvercommit,
                   "engine " + slot.engine.value + " does not have the requested set of accelerators");
  }
  if (!fits(*engine, slot.accelerators, slot.bytes_per_accelerator)) {
    return refusal(ResultCode::MemoryWouldOvercommit,
                   "engine " + slot.engine.value + " lacks memory for model " + slot.model.value);
  }
  const auto replicas = by_model_.find(slot.model);
  const std::size_t count = replicas == by_model_.end() ? 0 : replicas->second.size();
  if (checks_.replica_limit && count >= limits.max_replicas) {
    return refusal(
        ResultCode::ReplicaLimitReached,
        "model " + slot.model.value + " has " + std::to_string(count) + " replicas that are not freed");
  }
  return success();
}

wire::CommandResult Ledger::apply(const wire::DecideAdapterCommand& command) {
  const auto entry = slots_.find(command.slot);
  if (entry == slots_.end()) {
    return refusal(ResultCode::UnknownSlot, text(command.slot) + " is not in the ledger");
  }
  wire::Slot& slot = entry->second;
  const bool present =
      adapterBytes(command.slot, command.adapter) > 0 ||
      std::find(slot.adapters.begin(), slot.adapters.end(), command.adapter) != slot.adapters.end();
  if (present != command.remove) {
    return success();
  }
  if (command.remove) {
    const std::uint64_t bytes = adapterBytes(command.slot, command.adapter);
    std::erase(slot.adapters, command.adapter);
    slot.adapter_bytes -= bytes;
    adapter_bytes_[command.slot].erase(command.adapter);
    removeHeld(slot, bytes);
    return success();
  }
  if (slot.state > wire::SlotState::Ready) {
    return refusal(ResultCode::WrongSlotState, text(command.slot) + " is draining or unloading");
  }
  if (!fits(engines_.at(slot.engine), slot.accelerators, command.bytes)) {
    return refusal(ResultCode::MemoryWouldOvercommit,
                   text(command.slot) + " lacks memory for adapter " + command.adapter.value);
  }
  slot.adapters.push_back(command.adapter);
  slot.adapter_bytes += command.bytes;
  adapter_bytes_[command.slot][command.adapter] = command.bytes;
  addHeld(slot, command.bytes);
  return success();
}

wire::CommandResult Ledger::apply(const wire::SlotStateCommand& command) {
  const auto entry = slots_.find(command.slot);
  if (entry == slots_.end()) {
    const bool was_freed = command.slot < next_slot_ && command.state == wire::SlotState::Freed;
    return was_freed ? success()
                     : refusal(ResultCode::UnknownSlot, text(command.slot) + " is not in the ledger");
  }
  wire::Slot& slot = entry->second;
  if (command.state == wire::SlotState::Freed) {
    wire::CommandResult result = checkFree(slot, command);
    if (result.code == ResultCode::Ok) {
      eraseSlot(command.slot);
    }
    return result;
  }
  if (checks_.incarnation && command.incarnation != slot.incarnation) {
    return refusal(ResultCode::WrongIncarnation, text(command.slot) + " belongs to another incarnation");
  }
  if (command.state < slot.state) {
    return refusal(ResultCode::WrongSlotState, text(command.slot) + " is already in a later state");
  }
  slot.state = command.state;
  return success();
}

wire::CommandResult Ledger::checkFree(const wire::Slot& slot, const wire::SlotStateCommand& command) const {
  if (!checks_.free_proof) {
    return success();
  }
  const bool unloaded = command.proof == wire::FreeProof::UnloadAcknowledged &&
                        slot.state == wire::SlotState::Unloading && command.incarnation == slot.incarnation;
  const bool replaced =
      command.proof == wire::FreeProof::NewIncarnation && command.incarnation > slot.incarnation;
  if (unloaded || replaced) {
    return success();
  }
  return refusal(ResultCode::WrongSlotState, text(slot.id) + " is not proven to be unloaded");
}

wire::CommandResult Ledger::apply(const wire::DrainEngineCommand& command) {
  const auto engine = engines_.find(command.engine);
  if (engine == engines_.end()) {
    return refusal(ResultCode::UnknownEngine, "engine " + command.engine.value + " is not registered");
  }
  engine->second.draining = command.drain;
  return success();
}

const wire::Slot* Ledger::findSlot(SlotId id) const {
  const auto entry = slots_.find(id);
  return entry == slots_.end() ? nullptr : &entry->second;
}

const EngineRecord* Ledger::findEngine(const EngineName& name) const {
  const auto entry = engines_.find(name);
  return entry == engines_.end() ? nullptr : &entry->second;
}

std::vector<SlotId> Ledger::slotsOf(const ModelName& model) const {
  const auto entry = by_model_.find(model);
  return entry == by_model_.end() ? std::vector<SlotId>{} : entry->second;
}

std::vector<SlotId> Ledger::slotsOn(const EngineName& engine) const {
  const auto entry = by_engine_.find(engine);
  return entry == by_engine_.end() ? std::vector<SlotId>{} : entry->second;
}

std::vector<std::uint64_t> Ledger::heldBytes(const EngineName& engine) const {
  const auto entry = held_.find(engine);
  return entry == held_.end() ? std::vector<std::uint64_t>{} : entry->second;
}

std::uint64_t Ledger::adapterBytes(SlotId slot, const ModelName& adapter) const {
  const auto entry = adapter_bytes_.find(slot);
  if (entry == adapter_bytes_.end()) {
    return 0;
  }
  const auto bytes = entry->second.find(adapter);
  return bytes == entry->second.end() ? 0 : bytes->second;
}

std::uint64_t Ledger::largestAcceleratorBytes() const {
  std::uint64_t largest = 0;
  for (const auto& [name, engine] : engines_) {
    largest = std::max(largest, engine.bytes_per_accelerator);
  }
  return largest;
}

bool Ledger::fits(const EngineRecord& engine, const std::vector<std::uint32_t>& accelerators,
                  std::uint64_t bytes) const {
  if (!checks_.memory) {
    return true;
  }
  const std::vector<std::uint64_t>& held = held_.at(engine.name);
  return std::all_of(accelerators.begin(), accelerators.end(), [&](std::uint32_t accelerator) {
    return held[accelerator] <= engine.bytes_per_accelerator &&
           bytes <= engine.bytes_per_accelerator - held[accelerator];
  });
}

void Ledger::insertSlot(const wire::Slot& slot) {
  slots_[slot.id] = slot;
  by_model_[slot.model].push_back(slot.id);
  by_engine_[slot.engine].push_back(slot.id);
  addHeld(slot, slot.bytes_per_accelerator + slot.adapter_bytes);
}

void Ledger::eraseSlot(SlotId id) {
  const wire::Slot slot = slots_.at(id);
  removeHeld(slot, slot.bytes_per_accelerator + slot.adapter_bytes);
  eraseFrom(by_model_, slot.model, id);
  eraseFrom(by_engine_, slot.engine, id);
  adapter_bytes_.erase(id);
  slots_.erase(id);
}

void Ledger::freeSlotsOf(const EngineName& engine) {
  for (const SlotId id : slotsOn(engine)) {
    eraseSlot(id);
  }
}

void Ledger::addHeld(const wire::Slot& slot, std::uint64_t bytes) {
  std::vector<std::uint64_t>& held = held_.at(slot.engine);
  for (const std::uint32_t accelerator : slot.accelerators) {
    held.at(accelerator) += bytes;
  }
}

void Ledger::removeHeld(const wire::Slot& slot, std::uint64_t bytes) {
  std::vector<std::uint64_t>& held = held_.at(slot.engine);
  for (const std::uint32_t accelerator : slot.accelerators) {
    held.at(accelerator) -= bytes;
  }
}

void Ledger::recordRemoved(const EngineRecord& engine) {
  RemovedEngine removed{engine.name, engine.incarnation, {}};
  for (const SlotId id : slotsOn(engine.name)) {
    removed.slots.push_back(slots_.at(id));
  }
  if (removed.slots.empty()) {
    return;
  }
  removed_.push_back(std::move(removed));
  if (removed_.size() > kMaxRemovedEngines) {
    removed_.pop_front();
  }
}

void Ledger::restoreRemoved(const EngineName& engine, Incarnation incarnation) {
  const auto entry = std::find_if(removed_.begin(), removed_.end(),
                                  [&](const RemovedEngine& removed) { return removed.name == engine; });
  if (entry == removed_.end()) {
    return;
  }
  const RemovedEngine removed = *entry;
  removed_.erase(entry);
  if (removed.incarnation != incarnation) {
    return;
  }
  for (wire::Slot slot : removed.slots) {
    const EngineRecord& record = engines_.at(engine);
    if (!validAccelerators(slot.accelerators, record.accelerators)) {
      continue;
    }
    slot.state = wire::SlotState::Unloading;
    slot.bytes_per_accelerator += slot.adapter_bytes;
    slot.adapter_bytes = 0;
    slot.adapters.clear();
    insertSlot(slot);
  }
}

std::string Ledger::serialize() const {
  Image image{next_slot_, engines_, slots_, adapter_bytes_, {removed_.begin(), removed_.end()}};
  return wire::encode(image);
}

void Ledger::restore(std::string_view bytes) {
  const auto image = wire::decode<Image>(bytes);
  Ledger restored(checks_);
  restored.next_slot_ = image.next_slot;
  restored.engines_ = image.engines;
  for (const auto& [name, engine] : image.engines) {
    restored.by_machine_[engine.machine].push_back(name);
    restored.held_[name].resize(engine.accelerators, 0);
  }
  for (const auto& [id, slot] : image.slots) {
    const EngineRecord* engine = restored.findEngine(slot.engine);
    if (engine == nullptr || !validAccelerators(slot.accelerators, engine->accelerators)) {
      throw Error(ResultCode::MalformedMessage,
                  text(id) + " refers to an unknown engine or to invalid accelerators");
    }
    restored.insertSlot(slot);
  }
  restored.adapter_bytes_ = image.adapter_bytes;
  restored.removed_.assign(image.removed.begin(), image.removed.end());
  *this = std::move(restored);
}

}  // namespace ferryrock::placement
