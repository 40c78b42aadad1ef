#pragma once

#include <deque>
#include <optional>

#include "emulator/model/engine_effects.h"
#include "emulator/model/engine_faults.h"

namespace ferryrock::emulator {

/// Effects on their way out of an engine's model. Those towards readers are late while that fault is on;
/// their order is kept.
class EffectQueue {
 public:
  explicit EffectQueue(const EngineFaults& faults) : faults_(faults) {}
  /// An effect that is due at once.
  void push(EngineEffect effect) { due_.push_back(std::move(effect)); }
  /// An effect towards a reader.
  void pushToReader(TimePoint now, EngineEffect effect);
  /// Moves what has become due to the end of the due effects.
  void release(TimePoint now);
  std::optional<TimePoint> nextDue() const;
  EngineEffects take();

 private:
  struct Late {
    TimePoint due;
    EngineEffect effect;
  };
  const EngineFaults& faults_;
  EngineEffects due_;
  std::deque<Late> late_;
};

}  // namespace ferryrock::emulator
