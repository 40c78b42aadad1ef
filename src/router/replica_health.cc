#include "router/replica_health.h"

#include <algorithm>
#include <chrono>

namespace ferryrock::router {
namespace {

constexpr std::uint32_t kFailuresBeforeEjection = 3;
constexpr Duration kFirstEjection = std::chrono::milliseconds(500);
constexpr Duration kLongestEjection = std::chrono::seconds(5);
constexpr std::uint32_t kMostDoublings = 8;
constexpr double kJitter = 0.2;
/// Requests stand still for this long before new ones are kept away.
constexpr Duration kSuspectedAfter = std::chrono::milliseconds(1500);

}  // namespace

void ReplicaHealth::onDispatched(TimePoint now) {
  if (outstanding_ == 0) {
    last_progress_ = now;
  }
  ++outstanding_;
  probing_ = ejected_until_.has_value();
}

void ReplicaHealth::onProgress(TimePoint now) {
  last_progress_ = std::max(last_progress_, now);
}

void ReplicaHealth::onSuccess(TimePoint now) {
  onProgress(now);
  failures_in_row_ = 0;
  ejections_in_row_ = 0;
  if (ejected_until_) {
    returned_at_ = now;
  }
  ejected_until_.reset();
  probing_ = false;
}

void ReplicaHealth::onFailure(HealthFailure failure, TimePoint now, Random& random) {
  ++failures_in_row_;
  const bool at_once = failure != HealthFailure::Failed || probing_;
  if (at_once || failures_in_row_ >= kFailuresBeforeEjection) {
    eject(now, random);
  }
}

void ReplicaHealth::eject(TimePoint now, Random& random) {
  const bool already = ejected_until_ && now < *ejected_until_;
  probing_ = false;
  if (already) {
    return;
  }
  const std::uint32_t doublings = std::min(ejections_in_row_, kMostDoublings);
  const Duration length = std::min(kLongestEjection, kFirstEjection * (1U << doublings));
  const double jittered = static_cast<double>(length.count()) * (1.0 - kJitter * random.unit());
  ejected_until_ = now + Duration(static_cast<Duration::rep>(jittered));
  ++ejections_in_row_;
  ++ejections_;
}

void ReplicaHealth::onReleased() {
  if (outstanding_ > 0) {
    --outstanding_;
  }
  if (outstanding_ == 0) {
    probing_ = false;
  }
}

bool ReplicaHealth::suspected(TimePoint now) const {
  return outstanding_ > 0 && now - last_progress_ > kSuspectedAfter;
}

bool ReplicaHealth::admits(TimePoint now) const {
  if (ejected_until_) {
    return now >= *ejected_until_ && !probing_;
  }
  return !suspected(now);
}

}  // namespace ferryrock::router
