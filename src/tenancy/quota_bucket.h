#pragma once

#include <algorithm>

#include "common/time.h"
#include "tenancy/usage_window.h"

namespace ferryrock::tenancy {

/// Capacity of a bucket, in the unit of the quota: tokens or calls.
struct QuotaLimit {
  double per_second = 0;  ///< above 0
  double burst = 0;       ///< allowed in any window in addition to the rate
  Duration window = std::chrono::seconds(8);
};

/// Quota credit of one tenant: what its limit allows in a sliding window, less its usage in the window that
/// ends now. A tenant whose load rises may use all its unused credit at once: these calls are within its
/// limit, and refusing them would deny callers what the quota grants. A charge may take the credit below
/// zero, so that a call larger than the available credit can run; nothing more is granted until the credit is
/// above zero again. The total granted in any window is at most rate x window + burst + the largest single
/// charge, whatever is refunded. Not thread-safe.
class QuotaBucket {
 public:
  /// The difference between full credit and `level` counts as used evenly over the preceding window.
  QuotaBucket(const QuotaLimit& limit, double level, TimePoint now)
      : limit_(limit),
        used_(limit.window),
        reported_(limit.window),
        assumed_(capacity() - std::min(level, capacity())),
        started_at_(now) {}

  void setLimit(const QuotaLimit& limit) { limit_ = limit; }
  /// Charges the amount and returns true if there is credit.
  bool grant(double amount, TimePoint now) {
    if (level(now) <= 0) {
      return false;
    }
    used_.add(amount, now, now);
    return true;
  }
  /// Charges usage that has already happened; a negative amount is a refund.
  void charge(double amount, TimePoint now) {
    if (amount >= 0) {
      used_.add(amount, now, now);
    } else {
      used_.refund(-amount, now);
    }
  }
  /// Adds usage from before this bucket started, under an earlier leader, as reported by the router that ran
  /// it.
  void addPriorUsage(double amount, TimePoint at, TimePoint now) { reported_.add(amount, at, now); }
  /// Sets the share of the routers whose usage from before the bucket's start is lost, and the part of it
  /// that may still be running and use its share again. Their usage is assumed to be like that of the routers
  /// that reported theirs.
  void setMissingShares(double lost, double out_of_contact) {
    lost_share_ = lost;
    out_of_contact_share_ = out_of_contact;
  }
  /// Sets usage that left the window and is assumed to have been used again by routers out of contact.
  void setHeld(double amount) { held_ = amount; }
  /// Sets the share, initially 1, of the usage before the bucket's start that no router has reported. That
  /// share is assumed to have been used.
  void setUnreportedShare(double share) { unreported_share_ = share; }
  double level(TimePoint now) { return capacity() - priorUsage(now) - held_ - used_.sum(now); }
  /// Credit according to the routers' reports alone, without what is assumed for a new leader.
  double reportedLevel(TimePoint now) { return capacity() - extrapolatedUsage(now) - held_ - used_.sum(now); }
  /// Time until there is credit again if nothing is used in the meantime.
  Duration timeUntilCredit(TimePoint now) {
    const double credit = level(now);
    if (credit > 0) {
      return Duration::zero();
    }
    const double missing = std::max(-credit, kLeastCredit);
    const double decay_per_second = assumed_ / toSeconds(limit_.window);
    const TimePoint decayed_at =
        now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / decay_per_second));
    const bool decays = assumed(now) >= missing && reported_.sum(now) < assumed(now);
    const TimePoint expired_at = timeOfDecrease(missing, now);
    return (decays ? std::min(decayed_at, expired_at) : expired_at) - now;
  }
  const QuotaLimit& limit() const { return limit_; }

 private:
  double capacity() const { return limit_.per_second * toSeconds(limit_.window) + limit_.burst; }
  /// Usage from before the bucket's start that still counts: the reported usage plus the unreported share of
  /// the assumed usage. It is capped at the larger of the two, so that a leader with reports from few routers
  /// doesn't count the usage of these twice. It is at least what the reports imply for all routers.
  double priorUsage(TimePoint now) {
    const double reported = reported_.sum(now);
    const double all = assumed(now);
    const double estimate = std::min(reported + unreported_share_ * all, std::max(reported, all));
    return std::max(estimate, extrapolatedUsage(now));
  }
  /// The reported usage, scaled to all routers. What routers out of contact used doesn't decrease: they grant
  /// again what leaves the window.
  double extrapolatedUsage(TimePoint now) {
    const double reported = reported_.sum(now);
    max_reported_ = std::max(max_reported_, reported);
    if (lost_share_ > kMaxExtrapolatedShare) {
      return reported;
    }
    const double repeated = out_of_contact_share_ * (kOutOfContactFactor * max_reported_ - reported);
    const double scaled = (reported + repeated) / (1 - lost_share_);
    return std::max(reported, std::min(scaled, capacity()));
  }
  /// Time at which the usage and the reported usage have fallen by the amount if nothing is added; the end of
  /// the window at the latest.
  TimePoint timeOfDecrease(double amount, TimePoint now) {
    const double sum = used_.sum(now) + reported_.sum(now);
    TimePoint before = now;
    TimePoint at = now + limit_.window + UsageWindow::kSlot;
    while (at - before > kTimePrecision) {
      const TimePoint middle = before + (at - before) / 2;
      const TimePoint begin = middle - limit_.window;
      const double left = used_.sumSince(begin, now) + reported_.sumSince(begin, now);
      (sum - left >= amount ? at : before) = middle;
    }
    return at;
  }
  double assumed(TimePoint now) const {
    const double passed = toSeconds(now - started_at_) / toSeconds(limit_.window);
    return assumed_ * std::clamp(1 - passed, 0.0, 1.0);
  }

  /// Smallest credit with which a call is granted.
  static constexpr double kLeastCredit = 1e-6;
  static constexpr Duration kTimePrecision = std::chrono::milliseconds(1);
  /// Factor by which routers out of contact may use more than their share, since they also grant a part of
  /// the tolerance.
  static constexpr double kOutOfContactFactor = 1.25;
  /// Reports of fewer routers say too little about the others.
  static constexpr double kMaxExtrapolatedShare = 0.5;

  QuotaLimit limit_;
  UsageWindow used_;
  UsageWindow reported_;  ///< reported usage from before the bucket's start
  double assumed_ = 0;    ///< usage assumed in the window before the bucket's start
  double unreported_share_ = 1;
  double max_reported_ = 0;  ///< largest value of `reported_` so far
  double lost_share_ = 0;
  double out_of_contact_share_ = 0;
  double held_ = 0;
  TimePoint started_at_;
};

}  // namespace ferryrock::tenancy
