#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "emulator/model/checkpoint_store.h"
#include "emulator/model/effect_queue.h"
#include "emulator/model/engine_settings.h"
#include "placement/planner.h"

namespace ferryrock::emulator {

using placement::CheckpointTier;

enum class LoadPurpose : std::uint8_t { Slot, Adapter, Prefetch };

/// What a load is for.
struct LoadTarget {
  LoadPurpose purpose = LoadPurpose::Slot;
  SlotId slot;
  ModelName adapter;
  CheckpointTier prefetch_to = CheckpointTier::Disk;

  friend bool operator==(const LoadTarget&, const LoadTarget&) = default;
};

struct FinishedLoad {
  LoadTarget target;
  Checkpoint checkpoint;
  CheckpointTier from = CheckpointTier::Remote;
  Duration took{};
  bool succeeded = false;
};

/// Loads under way on one engine: from the nearest tier, over the weight store if there is no nearer one.
class LoadJobs {
 public:
  LoadJobs(const EngineSettings& settings, const EngineFaults& faults, EffectQueue& effects);

  /// Begins a load; a second one for the same target has no effect.
  void start(TimePoint now, const LoadTarget& target, const Checkpoint& checkpoint);
  /// Ends the loads for a slot and its adapters without a result.
  void cancelSlot(SlotId slot);
  void cancelAdapter(SlotId slot, const ModelName& adapter);
  void transferEnded(TimePoint now, TransferId transfer, bool succeeded);
  /// Loads that ended until now, failed ones included.
  std::vector<FinishedLoad> tick(TimePoint now);
  std::optional<TimePoint> nextWakeup() const;

  const CheckpointTierStore& memory() const { return memory_; }
  const CheckpointTierStore& disk() const { return disk_; }
  /// Contents that local disk kept over a restart.
  void restoreDisk(const Checkpoint& checkpoint) { disk_.put(checkpoint); }

 private:
  struct Job {
    LoadTarget target;
    Checkpoint checkpoint;
    CheckpointTier from = CheckpointTier::Remote;
    TimePoint started;
    std::optional<TransferId> transfer;  ///< under way from the weight store
    std::optional<TimePoint> halfway;    ///< of the last phase
    std::optional<TimePoint> ends;
    bool failed = false;
  };
  CheckpointTier nearestTier(const Checkpoint& checkpoint) const;
  void beginLastPhase(TimePoint now, Job& job);
  Duration lastPhase(const Job& job) const;
  template <class Condition>
  void cancelIf(Condition condition);
  FinishedLoad finish(TimePoint now, const Job& job);

  const EngineSettings& settings_;
  const EngineFaults& faults_;
  EffectQueue& effects_;
  CheckpointTierStore memory_;
  CheckpointTierStore disk_;
  TransferId last_transfer_;
  std::vector<Job> jobs_;
};

}  // namespace ferryrock::emulator
