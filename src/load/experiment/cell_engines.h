#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "emulator/model/load_jobs.h"
#include "load/experiment/experiment_settings.h"

namespace ferryrock::load::experiment {

/// A load that ended on one of the engines.
struct EngineLoadEnd {
  std::size_t engine = 0;
  emulator::FinishedLoad load;
  std::uint32_t concurrent_remote_loads = 0;  ///< at the weight store when it began
};

/// The stand-in engines' loads and the weight store that they share. Time must not go back.
class CellEngines {
 public:
  explicit CellEngines(const ExperimentSettings& settings);

  std::size_t size() const { return engines_.size(); }
  const emulator::EngineSettings& settingsOf(std::size_t engine) const { return engines_[engine]->settings; }
  void startLoad(TimePoint now, std::size_t engine, const emulator::LoadTarget& target,
                 const emulator::Checkpoint& checkpoint);
  void cancelSlot(TimePoint now, std::size_t engine, SlotId slot);
  /// Lets transfers and loads end.
  std::vector<EngineLoadEnd> tick(TimePoint now);
  std::optional<TimePoint> nextWakeup() const;
  std::vector<ModelName> inMemory(std::size_t engine) const {
    return engines_[engine]->jobs.memory().names();
  }
  std::vector<ModelName> onDisk(std::size_t engine) const { return engines_[engine]->jobs.disk().names(); }

 private:
  struct Engine {
    explicit Engine(emulator::EngineSettings engine_settings)
        : settings(std::move(engine_settings)), effects(faults), jobs(settings, faults, effects) {}
    emulator::EngineSettings settings;
    emulator::EngineFaults faults;
    emulator::EffectQueue effects;
    emulator::LoadJobs jobs;
    std::map<std::pair<SlotId, ModelName>, std::uint32_t> crowd;  ///< loads at the store when one began
  };
  struct Transfer {
    std::size_t engine = 0;
    emulator::TransferId id;
  };

  void takeEffects(TimePoint now, std::size_t engine);
  void completeTransfers(TimePoint now);

  std::vector<std::unique_ptr<Engine>> engines_;
  emulator::WeightStoreModel store_;
  std::map<emulator::StoreTransferId, Transfer> transfers_;
  emulator::StoreTransferId last_transfer_;
};

}  // namespace ferryrock::load::experiment
