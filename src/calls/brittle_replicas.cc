#include "calls/brittle_replicas.h"

#include <algorithm>

namespace ferryrock::calls {
namespace {

/// Share of the refusals that a replica survives at which all routers together try further attempts. The rest
/// is for attempts that are refused because the replica queues fewer than before.
constexpr double kTrialShare = 0.15;
/// Refusals per second that are assumed of a replica that states fewer: without any trial, no router would
/// learn that it has room.
constexpr double kMinRefusals = 0.5;
constexpr Duration kMinTrialInterval = std::chrono::milliseconds(50);

Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

Duration BrittleReplicas::trialInterval(const Brittle& brittle) const {
  const double per_second = kTrialShare * std::max(kMinRefusals, brittle.refusals_per_second);
  const std::chrono::duration<double> interval(routers_ / per_second);
  return std::max(kMinTrialInterval, std::chrono::duration_cast<Duration>(interval));
}

/// A router may have one attempt in flight even if its share of the slots is less, so that an idle replica is
/// used at once, unless there are many more routers than slots.
bool BrittleReplicas::record(const ReplicaId& replica, double refusals_per_second, std::uint32_t slots,
                             TimePoint now) {
  const auto [place, first] = replicas_.try_emplace(replica);
  Brittle& brittle = place->second;
  brittle.refusals_per_second = refusals_per_second;
  if (first) {
    const std::uint32_t share = slots / std::max(1U, routers_);
    const bool one = routers_ <= 2 * slots || random_.unit() * routers_ < slots;
    brittle.bound = std::max(share, one ? 1U : 0U);
    brittle.next_trial = now + scaled(trialInterval(brittle), random_.unit());
  }
  return first;
}

std::optional<TimePoint> BrittleReplicas::closedUntil(const ReplicaId& replica, std::uint32_t outstanding,
                                                      TimePoint now) const {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end() || outstanding < found->second.bound || now >= found->second.next_trial) {
    return std::nullopt;
  }
  return found->second.next_trial;
}

void BrittleReplicas::onSent(const ReplicaId& replica, std::uint32_t outstanding, TimePoint now) {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end() && outstanding >= found->second.bound) {
    found->second.bound = outstanding + 1;
    found->second.next_trial = now + scaled(trialInterval(found->second), 0.5 + random_.unit());
  }
}

void BrittleReplicas::onRefused(const ReplicaId& replica, std::uint32_t outstanding, TimePoint now) {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end()) {
    found->second.bound = outstanding;
    found->second.next_trial = now + scaled(trialInterval(found->second), 0.5 + random_.unit());
  }
}

}  // namespace ferryrock::calls
