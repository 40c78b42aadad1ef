#include "load/experiment/cell_engines.h"

namespace ferryrock::load::experiment {

CellEngines::CellEngines(const ExperimentSettings& settings) : store_(settings.store) {
  for (std::uint32_t zone = 0; zone < settings.zones; ++zone) {
    for (std::uint32_t machine = 0; machine < settings.machines_per_zone; ++machine) {
      emulator::EngineSettings engine = settings.engine;
      const std::string suffix = std::to_string(engines_.size() + 1);
      engine.name = EngineName{"engine-" + suffix};
      engine.machine = MachineName{"machine-" + suffix};
      engine.zone = ZoneName{"zone-" + std::to_string(zone + 1)};
      engines_.push_back(std::make_unique<Engine>(std::move(engine)));
    }
  }
}

void CellEngines::startLoad(TimePoint now, std::size_t engine, const emulator::LoadTarget& target,
                            const emulator::Checkpoint& checkpoint) {
  Engine& loading = *engines_[engine];
  loading.crowd[{target.slot, checkpoint.model}] = static_cast<std::uint32_t>(transfers_.size() + 1);
  loading.jobs.start(now, target, checkpoint);
  takeEffects(now, engine);
}

void CellEngines::cancelSlot(TimePoint now, std::size_t engine, SlotId slot) {
  engines_[engine]->jobs.cancelSlot(slot);
  takeEffects(now, engine);
}

void CellEngines::takeEffects(TimePoint now, std::size_t engine) {
  for (const emulator::EngineEffect& effect : engines_[engine]->effects.take()) {
    if (const auto* start = std::get_if<emulator::StartTransferEffect>(&effect)) {
      last_transfer_ = last_transfer_.next();
      transfers_[last_transfer_] = {engine, start->transfer};
      store_.request(now, last_transfer_, start->bytes);
    } else if (const auto* cancel = std::get_if<emulator::CancelTransferEffect>(&effect)) {
      std::erase_if(transfers_, [&](const auto& entry) {
        const bool cancelled = entry.second.engine == engine && entry.second.id == cancel->transfer;
        if (cancelled) {
          store_.cancel(now, entry.first);
        }
        return cancelled;
      });
    }
  }
}

void CellEngines::completeTransfers(TimePoint now) {
  store_.tick(now);
  for (const emulator::StoreTransferId id : store_.takeCompleted()) {
    const auto entry = transfers_.find(id);
    if (entry == transfers_.end()) {
      continue;
    }
    engines_[entry->second.engine]->jobs.transferEnded(now, entry->second.id, true);
    transfers_.erase(entry);
  }
}

std::vector<EngineLoadEnd> CellEngines::tick(TimePoint now) {
  completeTransfers(now);
  std::vector<EngineLoadEnd> ended;
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    Engine& engine = *engines_[index];
    for (const emulator::FinishedLoad& load : engine.jobs.tick(now)) {
      const auto crowd = engine.crowd.find({load.target.slot, load.checkpoint.model});
      ended.push_back({index, load, crowd == engine.crowd.end() ? 1 : crowd->second});
      if (crowd != engine.crowd.end()) {
        engine.crowd.erase(crowd);
      }
    }
    takeEffects(now, index);
  }
  return ended;
}

std::optional<TimePoint> CellEngines::nextWakeup() const {
  std::optional<TimePoint> earliest = store_.nextWakeup();
  for (const auto& engine : engines_) {
    const std::optional<TimePoint> wakeup = engine->jobs.nextWakeup();
    if (wakeup && (!earliest || *wakeup < *earliest)) {
      earliest = wakeup;
    }
  }
  return earliest;
}

}  // namespace ferryrock::load::experiment
