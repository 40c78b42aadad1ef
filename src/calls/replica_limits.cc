#include "calls/replica_limits.h"

#include <algorithm>

namespace ferryrock::calls {
namespace {

/// Limits are remembered for so many replicas, as many as the largest planned fleet has in need at once.
constexpr std::size_t kRememberedLimits = 4'000;

}  // namespace

ReplicaLimits::Change ReplicaLimits::name(const ReplicaId& replica, double per_second,
                                          std::optional<TimePoint> sent, TimePoint now) {
  const auto [place, fresh] = limits_.try_emplace(replica, Limit{per_second, now});
  if (fresh) {
    keepBounded();
    return Change::Named;
  }
  Limit& limit = place->second;
  const bool later = sent && *sent > limit.named;
  const double former = limit.per_second;
  limit.per_second = later ? per_second : std::min(per_second, former);
  limit.named = now;
  return limit.per_second == former ? Change::None : Change::Changed;
}

ReplicaLimits::Change ReplicaLimits::end(const ReplicaId& replica, TimePoint sent) {
  const auto limit = limits_.find(replica);
  if (limit == limits_.end() || sent <= limit->second.named) {
    return Change::None;
  }
  limits_.erase(limit);
  return Change::Ended;
}

std::optional<double> ReplicaLimits::limitOf(const ReplicaId& replica) const {
  const auto limit = limits_.find(replica);
  return limit == limits_.end() ? std::nullopt : std::optional(limit->second.per_second);
}

/// The one that was named the longest ago goes.
void ReplicaLimits::keepBounded() {
  if (limits_.size() <= kRememberedLimits) {
    return;
  }
  limits_.erase(std::min_element(limits_.begin(), limits_.end(), [](const auto& left, const auto& right) {
    return left.second.named < right.second.named;
  }));
}

}  // namespace ferryrock::calls
