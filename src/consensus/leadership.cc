#include "consensus/leadership.h"

namespace ferryrock::consensus {

std::optional<TimePoint> Leadership::roundSentAt(std::uint64_t number) const {
  if (rounds.empty() || number < rounds.front().number || number > rounds.back().number) {
    return std::nullopt;
  }
  return rounds[number - rounds.front().number].sent_at;
}

void Leadership::beginRound(TimePoint now) {
  constexpr std::size_t kMaxRetainedRounds = 1024;
  ++round;
  rounds.push_back({round, now});
  if (rounds.size() > kMaxRetainedRounds) {
    rounds.pop_front();
  }
}

}  // namespace ferryrock::consensus
