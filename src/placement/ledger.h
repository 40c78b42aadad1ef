#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/identifiers.h"
#include "wire/commands.h"

/// Assignment of accelerator memory to replicas. Replicated state machine without I/O.
namespace ferryrock::placement {

/// The last registration of an engine.
struct EngineRecord {
  EngineName name;
  Incarnation incarnation;
  std::string url;
  MachineName machine;
  ZoneName zone;
  std::uint32_t accelerators = 0;
  std::uint64_t bytes_per_accelerator = 0;
  bool draining = false;
  FERRYROCK_FIELDS(EngineRecord, name, incarnation, url, machine, zone, accelerators, bytes_per_accelerator,
                   draining)
};

/// Limits of a model that apply() enforces; the caller reads them from the catalog.
struct ModelLimits {
  std::uint32_t max_replicas = 0;
};

/// Checks of apply(). All are enabled in production; fault-injection tests disable single checks to verify
/// that the tests detect the violations that each check prevents.
struct LedgerChecks {
  bool memory = true;
  bool replica_limit = true;
  bool incarnation = true;
  bool free_proof = true;
};

/// The slot ledger. apply() rejects commands that would overcommit an accelerator, exceed a model's replica
/// limit, or free a slot without proof, so that no planner, former leader or race can violate these
/// invariants. Deterministic.
///
/// A freed slot is removed from the ledger, so memory is bounded by the slots that engines hold; an absent
/// slot whose id is below the next id to assign has been freed. Immediately repeating a successful command
/// other than DecideSlot succeeds again without further effect.
///
/// Costs: deciding, changing or freeing a slot is O(log slots + accelerators of the engine + slots of the
/// engine and of the model). Registering an engine or removing a machine is O(its slots).
class Ledger {
 public:
  explicit Ledger(LedgerChecks checks = {}) : checks_(checks) {}

  /// A higher incarnation frees the slots of lower ones. If the machine of an engine was removed and the
  /// engine registers again with the same incarnation, it was still running: its slots are restored as
  /// Unloading.
  wire::CommandResult apply(const wire::RegisterEngineCommand& command);
  wire::CommandResult apply(const wire::RemoveMachineCommand& command);
  /// Every slot of the model that is not freed counts against the maximum, regardless of version and state.
  wire::CommandResult apply(const wire::DecideSlotCommand& command, const ModelLimits& limits);
  wire::CommandResult apply(const wire::DecideAdapterCommand& command);
  /// States only move forward. Freed requires UnloadAcknowledged by the slot's incarnation in state
  /// Unloading, or proof that a higher incarnation of the engine has started.
  wire::CommandResult apply(const wire::SlotStateCommand& command);
  wire::CommandResult apply(const wire::DrainEngineCommand& command);

  const std::map<SlotId, wire::Slot>& slots() const { return slots_; }
  const std::map<EngineName, EngineRecord>& engines() const { return engines_; }
  /// Returns nullptr if the slot was never decided or has been freed.
  const wire::Slot* findSlot(SlotId id) const;
  const EngineRecord* findEngine(const EngineName& name) const;
  /// Slots of a base model that are not freed.
  std::vector<SlotId> slotsOf(const ModelName& model) const;
  std::vector<SlotId> slotsOn(const EngineName& engine) const;
  /// Bytes held on each accelerator of an engine by slots that are not freed.
  std::vector<std::uint64_t> heldBytes(const EngineName& engine) const;
  /// Bytes that an adapter occupies on each accelerator of a slot; 0 if the adapter is not assigned to the
  /// slot.
  std::uint64_t adapterBytes(SlotId slot, const ModelName& adapter) const;
  std::uint64_t largestAcceleratorBytes() const;

  std::string serialize() const;
  /// Throws Error MalformedMessage if the bytes are invalid; the ledger then stays unchanged.
  void restore(std::string_view bytes);

 private:
  /// Slots that an engine held when its machine was removed from the ledger.
  struct RemovedEngine {
    EngineName name;
    Incarnation incarnation;
    std::vector<wire::Slot> slots;
    FERRYROCK_FIELDS(RemovedEngine, name, incarnation, slots)
  };
  struct Image;

  void insertSlot(const wire::Slot& slot);
  void eraseSlot(SlotId id);
  void freeSlotsOf(const EngineName& engine);
  void addHeld(const wire::Slot& slot, std::uint64_t bytes);
  void removeHeld(const wire::Slot& slot, std::uint64_t bytes);
  void recordRemoved(const EngineRecord& engine);
  void restoreRemoved(const EngineName& engine, Incarnation incarnation);
  bool fits(const EngineRecord& engine, const std::vector<std::uint32_t>& accelerators,
            std::uint64_t bytes) const;
  wire::CommandResult checkDecision(const wire::Slot& slot, const ModelLimits& limits) const;
  wire::CommandResult checkFree(const wire::Slot& slot, const wire::SlotStateCommand& command) const;

  LedgerChecks checks_;
  std::map<SlotId, wire::Slot> slots_;
  std::map<EngineName, EngineRecord> engines_;
  std::map<ModelName, std::vector<SlotId>> by_model_;
  std::map<EngineName, std::vector<SlotId>> by_engine_;
  std::map<MachineName, std::vector<EngineName>> by_machine_;
  std::map<EngineName, std::vector<std::uint64_t>> held_;
  std::map<SlotId, std::map<ModelName, std::uint64_t>> adapter_bytes_;
  std::deque<RemovedEngine> removed_;  ///< oldest first, at most kMaxRemovedEngines
  SlotId next_slot_{1};
};

}  // namespace ferryrock::placement
