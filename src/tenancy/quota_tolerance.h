#pragma once

#include <algorithm>

#include "common/time.h"
#include "tenancy/quota_bucket.h"
#include "wire/service_types.h"

namespace ferryrock::tenancy {

/// Tolerance by which all routers together may exceed a quota: a tenant's usage in any window stays below
/// (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaTolerance {
  Duration window = std::chrono::seconds(8);
  double overshoot = 0.1;
  double slack = 0;  ///< in the quota's unit
};

/// Usage that the tolerance allows beyond the quota, in the quota's unit.
inline double allowedOverrun(const QuotaTolerance& tolerance, const wire::TenantQuota& quota) {
  return tolerance.overshoot * (quota.per_second * toSeconds(tolerance.window) + quota.burst) +
         tolerance.slack;
}

/// Length of the slots in which routers record usage for the next leader.
constexpr Duration kHistorySlot = std::chrono::seconds(1);

/// Interval at which routers report their status to the leader, and get its updates, unless it requests a
/// longer one.
constexpr Duration kDefaultStatusInterval = std::chrono::milliseconds(250);
/// A router without an update of the leader for longer than this requests credit for each call.
constexpr Duration kMaxUnaskedSilence = std::chrono::milliseconds(400);
/// A router without an update of the leader for longer than this grants credit by itself.
constexpr Duration kLeaderTimeout = std::chrono::milliseconds(700);
/// A router without an update of the leader for longer than this grants nothing. The leader assumes for as
/// long that a router which it can't reach uses its part of each quota again.
constexpr Duration kMaxLeaderlessTime = std::chrono::seconds(60);
/// Multiple of its rate at which a tenant may send calls while no leader counts its usage over all routers.
constexpr double kPeakRateMultiple = 4;

/// Scales a timeout for the status interval that the leader requests; zero: the default interval.
inline Duration scaledTimeout(Duration timeout, Duration status_interval) {
  return std::max(timeout, timeout * status_interval.count() / kDefaultStatusInterval.count());
}

// Shares of allowedOverrun(), each reserved for one way in which the leader's account lags behind the actual
// usage. Their sum is below 1; the rest covers calls larger than the available credit, and clock error.

/// Extra credit of a full bucket, so that calls which reach the leader in bursts aren't refused.
constexpr double kBurstShare = 0.35;
/// Initial credit at a new leader, which doesn't know what earlier leaders granted in the preceding window.
constexpr double kNewLeaderShare = 0.15;
/// Credit granted locally by routers without contact to a leader, in addition to their local shares of the
/// rate.
constexpr double kLeaderlessShare = 0.2;

/// Limit that the leader applies for a quota.
inline QuotaLimit limitFor(const wire::TenantQuota& quota, const QuotaTolerance& tolerance) {
  return {quota.per_second, quota.burst + kBurstShare * allowedOverrun(tolerance, quota), tolerance.window};
}

}  // namespace ferryrock::tenancy
