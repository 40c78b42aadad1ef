#include "platform/soak/soak_part_judge.h"

#include <algorithm>

namespace ferryrock::platform {

void SoakPartJudge::onSound(std::uint64_t first_part, bool began, TimePoint now) {
  sound_.push_back({first_part == kSharedFirstPart, began, now});
}

void SoakPartJudge::judge(TimePoint from) {
  if (crashes_.empty()) {
    return;
  }
  const TimePoint accepted = crashes_[std::min(kAcceptedCrashes, crashes_.size()) - 1];
  const TimePoint budget_from = std::max(from, accepted + kContactTime);
  const auto late = std::count_if(arrivals_.begin(), arrivals_.end(),
                                  [budget_from](TimePoint time) { return time > budget_from; });
  if (crashes_.size() >= kAcceptedCrashes && static_cast<std::size_t>(late) > kMaxArrivals) {
    oracle_.breakRule("BUDGET", std::to_string(late) + " calls with a part that had crashed " +
                                    std::to_string(kAcceptedCrashes) + " replicas reached replicas");
  }
  const TimePoint lost_from = std::max(from, accepted + 2 * kContactTime);
  Sound shared;
  Sound others;
  for (const SoundCall& call : sound_) {
    Sound& sound = call.shared_first ? shared : others;
    sound.calls += call.at > lost_from ? 1 : 0;
    sound.began += call.at > lost_from && call.began ? 1 : 0;
  }
  if (std::min(shared.calls, others.calls) >= kMinCalls && 2 * shared.share() < others.share()) {
    oracle_.breakRule("LOST", "sound calls with the first part of crashing ones began in " +
                                  std::to_string(shared.share()) + " of the attempts, others in " +
                                  std::to_string(others.share()));
  }
}

}  // namespace ferryrock::platform
