#pragma once

#include "common/time.h"
#include "tenancy/quota_bucket.h"
#include "wire/service_types.h"

namespace ferryrock::tenancy {

/// By how much all routers together may pass a quota: what a tenant runs within any window stays below
/// (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaTolerance {
  Duration window = std::chrono::seconds(8);
  double overshoot = 0.1;
  double slack = 0;  ///< in the quota's unit
};

/// What the tolerance allows beyond the quota, in the quota's unit.
inline double allowedBeyond(const QuotaTolerance& tolerance, const wire::TenantQuota& quota) {
  return tolerance.overshoot * (quota.per_second * toSeconds(tolerance.window) + quota.burst) +
         tolerance.slack;
}

/// Routers keep in mind what ran by slots of this length, for the next leader.
constexpr Duration kHistorySlot = std::chrono::seconds(1);

/// Parts of allowedBeyond(), each held back for one way in which the leader's account lags behind what runs;
/// together below 1. The rest is left to calls larger than the credit at hand and to clocks.
/// Held in hand by a full bucket, so that calls which reach the leader bunched aren't refused.
constexpr double kBurstPart = 0.35;
/// With a new leader, that doesn't know what earlier ones granted in the window before it.
constexpr double kNewLeaderPart = 0.15;
/// Granted by routers on their own while they hear no leader, beside each one's part of the rate.
constexpr double kLeaderlessPart = 0.2;

/// The limit that the leader keeps for a quota.
inline QuotaLimit limitFor(const wire::TenantQuota& quota, const QuotaTolerance& tolerance) {
  return {quota.per_second, quota.burst + kBurstPart * allowedBeyond(tolerance, quota), tolerance.window};
}

}  // namespace ferryrock::tenancy
