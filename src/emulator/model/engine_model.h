#pragma once

#include <optional>
#include <string>
#include <vector>

#include "emulator/model/inference.h"
#include "emulator/model/slot_table.h"

/// A stand-in engine without input or output: it is handed requests, orders and the time, and returns
/// effects.
namespace ferryrock::emulator {

/// One process of a stand-in engine; a restart is a new object with a higher incarnation. Call tick() at
/// nextWakeup() and take the effects after every call.
class EngineModel {
 public:
  EngineModel(EngineSettings settings, Incarnation incarnation, std::uint64_t seed);
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  // Inference. Answers come as effects towards the reader.
  void submit(TimePoint now, ReaderId reader, InferenceRequestPtr request);
  void resume(TimePoint now, ReaderId reader, const AttemptId& attempt, std::uint64_t from_chunk);
  /// False if the attempt isn't waiting or running.
  bool cancel(TimePoint now, const AttemptId& attempt);
  /// The reader's connection was closed by its peer.
  void readerGone(TimePoint now, ReaderId reader);

  // Cache.
  std::optional<CacheExport> exportCache(const AttemptId& attempt) const {
    return inference_.exportCache(attempt);
  }
  /// Makes the blocks warm after the returned time; nothing if no ready slot serves the model.
  std::optional<Duration> importCache(TimePoint now, const CacheExport& exported);
  CacheEventPage cacheEvents(TimePoint now, std::uint64_t after) const {
    return inference_.cacheEvents(now, after);
  }

  // Control.
  control::EngineAnswer raiseFence(TimePoint now, const wire::Fence& fence);
  control::EngineAnswer order(TimePoint now, const control::EngineOrder& order);
  control::EngineState state() const;
  std::uint64_t stateVersion() const { return state_version_; }
  control::EngineRole role() const { return role_; }
  void onTransferEnded(TimePoint now, TransferId transfer, bool succeeded);
  /// A checkpoint that local disk kept over the restart; before the first order.
  void restoreDisk(const Checkpoint& checkpoint) { slots_.restoreDisk(checkpoint); }
  const std::list<Checkpoint>& diskContents() const { return slots_.jobs().disk().contents(); }

  // Faults.
  const EngineFaults& faults() const { return faults_; }
  void setFaults(TimePoint now, const EngineFaults& faults);

  void tick(TimePoint now);
  std::optional<TimePoint> nextWakeup() const;
  EngineEffects takeEffects() { return effects_.take(); }

  const EngineSettings& settings() const { return settings_; }
  Incarnation incarnation() const { return incarnation_; }
  LoadReport load() const { return inference_.load(); }
  LoadReport reportedLoad(TimePoint now) { return inference_.reportedLoad(now); }
  const AcceleratorMemory& memory() const { return slots_.memory(); }

 private:
  struct StalledRequest {
    ReaderId reader;
    InferenceRequestPtr request;
  };
  struct PendingImport {
    TimePoint due;
    SlotId slot;
    CacheExport exported;
  };

  void refuse(TimePoint now, ReaderId reader, int status, ResultCode code, std::string detail,
              std::optional<bool> admitted = false);
  control::EngineAnswer answer(ResultCode code) const;
  ResultCode execute(TimePoint now, const control::EngineOrder& order);
  void setRole(control::EngineRole role);
  void setDraining(bool draining);
  void progressLeaving(TimePoint now);
  void finishImports(TimePoint now);
  void settle(TimePoint now);
  control::HeldSlot heldSlot(const EngineSlot& slot) const;
  bool somethingDrained();

  const EngineSettings settings_;
  const Incarnation incarnation_;
  EngineFaults faults_;
  EffectQueue effects_;
  SlotTable slots_;
  Inference inference_;
  wire::Fence fence_;
  control::EngineRole role_ = control::EngineRole::Both;
  bool draining_ = false;
  std::uint64_t state_version_ = 1;
  std::uint64_t own_changes_ = 0;                   ///< of the role, of draining
  std::uint64_t seen_changes_ = 0;                  ///< own and slot changes that the state version covers
  std::map<SlotId, std::uint32_t> in_flight_seen_;  ///< of draining slots
  std::vector<StalledRequest> stalled_;
  std::vector<PendingImport> imports_;
};

}  // namespace ferryrock::emulator
