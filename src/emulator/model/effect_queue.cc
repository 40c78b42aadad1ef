#include "emulator/model/effect_queue.h"

#include <algorithm>
#include <utility>

namespace ferryrock::emulator {

void EffectQueue::pushToReader(TimePoint now, EngineEffect effect) {
  if (late_.empty() && faults_.answer_delay == Duration::zero()) {
    due_.push_back(std::move(effect));
    return;
  }
  TimePoint due = now + faults_.answer_delay;
  if (!late_.empty()) {
    due = std::max(due, late_.back().due);
  }
  late_.push_back({due, std::move(effect)});
}

void EffectQueue::release(TimePoint now) {
  while (!late_.empty() && late_.front().due <= now) {
    due_.push_back(std::move(late_.front().effect));
    late_.pop_front();
  }
}

std::optional<TimePoint> EffectQueue::nextDue() const {
  if (late_.empty()) {
    return std::nullopt;
  }
  return late_.front().due;
}

EngineEffects EffectQueue::take() {
  return std::exchange(due_, {});
}

}  // namespace ferryrock::emulator
