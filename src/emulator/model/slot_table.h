#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/engine_orders.h"
#include "emulator/model/accelerator_memory.h"
#include "emulator/model/load_jobs.h"

namespace ferryrock::emulator {

struct HeldAdapter {
  ModelName name;
  std::uint64_t bytes = 0;  ///< on each accelerator of the slot
  bool ready = false;
  bool leaving = false;  ///< unloaded as soon as its requests in flight have ended
};

/// One replica as the engine holds it.
struct EngineSlot {
  SlotId id;
  ModelName model;
  ModelVersion version;
  control::HeldState state = control::HeldState::Loading;
  std::vector<std::uint32_t> accelerators;
  std::uint64_t bytes_per_accelerator = 0;
  std::vector<HeldAdapter> adapters;
  CheckpointTier loaded_from = CheckpointTier::Remote;
  std::int64_t load_ms = 0;
  TimePoint unload_by;                ///< requests in flight are failed then
  std::optional<TimePoint> freed_at;  ///< when the memory of an unloading slot is free
};

/// Where a request may go on this engine.
struct Route {
  std::optional<SlotId> slot;  ///< absent: refused
  int status = 0;
  ResultCode code = ResultCode::Ok;
  std::string detail;
};

/// The replicas that one engine holds, their memory, and the loads and unloads under way.
class SlotTable {
 public:
  SlotTable(const EngineSettings& settings, const EngineFaults& faults, EffectQueue& effects);

  /// Carries out an order of a kind that concerns slots, adapters or checkpoints. Ok if it is begun or was
  /// done before.
  ResultCode execute(TimePoint now, const control::EngineOrder& order);
  /// A ready replica for a request: the named one, else any that serves the model.
  Route route(const InferenceRequest& request) const;
  void transferEnded(TimePoint now, TransferId transfer, bool succeeded) {
    jobs_.transferEnded(now, transfer, succeeded);
  }
  /// Advances loads and unloads; returns the slots that became ready.
  std::vector<SlotId> tick(TimePoint now);
  std::optional<TimePoint> nextWakeup() const;

  /// The last request on an unloading slot has ended: its memory is free after the time that unloading takes.
  void beginFreeing(TimePoint now, SlotId slot);
  /// The last request on a leaving adapter has ended.
  void freeAdapter(SlotId slot, const ModelName& adapter);

  const std::map<SlotId, EngineSlot>& slots() const { return slots_; }
  const AcceleratorMemory& memory() const { return memory_; }
  const LoadJobs& jobs() const { return jobs_; }
  void restoreDisk(const Checkpoint& checkpoint) { jobs_.restoreDisk(checkpoint); }
  /// Rises whenever something that the engine's state shows has changed.
  std::uint64_t changes() const { return changes_; }

 private:
  ResultCode load(TimePoint now, const control::EngineOrder& order);
  ResultCode unload(TimePoint now, const control::EngineOrder& order);
  ResultCode loadAdapter(TimePoint now, const control::EngineOrder& order);
  ResultCode unloadAdapter(const control::EngineOrder& order);
  ResultCode drain(const control::EngineOrder& order);
  ResultCode resume(const control::EngineOrder& order);
  ResultCode prefetch(TimePoint now, const control::EngineOrder& order);
  void endSlotLoad(const FinishedLoad& load, std::vector<SlotId>& ready);
  void endAdapterLoad(const FinishedLoad& load);
  void releaseAll(EngineSlot& slot);
  static bool serves(const EngineSlot& slot, const ModelName& model);

  const EngineSettings& settings_;
  EffectQueue& effects_;
  AcceleratorMemory memory_;
  LoadJobs jobs_;
  std::map<SlotId, EngineSlot> slots_;
  std::uint64_t changes_ = 0;
};

}  // namespace ferryrock::emulator
