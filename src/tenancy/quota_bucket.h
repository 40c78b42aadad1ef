#pragma once

#include <algorithm>

#include "common/time.h"
#include "tenancy/usage_window.h"

namespace ferryrock::tenancy {

/// What a bucket holds, in the unit of the quota: tokens or calls.
struct QuotaLimit {
  double per_second = 0;  ///< above 0
  double burst = 0;       ///< on top, in any window
  Duration window = std::chrono::seconds(8);
};

/// Credit of one tenant: what its limit allows in a window, less what was used in the one up to now. A tenant
/// that rose from little use may have what it left unused at once: its calls are within its limit, and
/// refusing them would only keep callers away from what they are owed. A charge may take the credit below
/// zero, so that a call larger than all of it runs; nothing more is granted until it is above zero again.
/// What is granted in any window is at most rate x window + burst + the largest single charge, whatever is
/// given back. Used by one thread.
class QuotaBucket {
 public:
  /// What the level lacks to full credit is taken as used evenly in the window before.
  QuotaBucket(const QuotaLimit& limit, double level, TimePoint now)
      : limit_(limit),
        used_(limit.window),
        told_(limit.window),
        assumed_(full() - std::min(level, full())),
        began_(now) {}

  void setLimit(const QuotaLimit& limit) { limit_ = limit; }
  /// Takes the amount if there is credit.
  bool grant(double amount, TimePoint now) {
    if (level(now) <= 0) {
      return false;
    }
    used_.add(amount, now, now);
    return true;
  }
  /// What was used already; below zero it is given back.
  void charge(double amount, TimePoint now) {
    if (amount >= 0) {
      used_.add(amount, now, now);
    } else {
      used_.takeBack(-amount, now);
    }
  }
  /// What was used under an earlier leader, as the router tells that let it run.
  void addPast(double amount, TimePoint at, TimePoint now) { told_.add(amount, at, now); }
  /// The share of what ran before the bucket began that nobody tells, 1 at first: it is assumed as used.
  void setUntold(double share) { untold_ = share; }
  double level(TimePoint now) { return full() - before(now) - used_.sum(now); }
  /// Until there is credit again, if nothing is used meanwhile.
  Duration untilCredit(TimePoint now) {
    const double missing = -level(now);
    if (missing <= 0) {
      return Duration::zero();
    }
    const double fades_per_second = assumed_ / toSeconds(limit_.window);
    const TimePoint faded =
        now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / fades_per_second));
    const bool fades = assumed(now) >= missing && told_.sum(now) < assumed(now);
    return (fades ? std::min(faded, used_.fallsBy(missing, now)) : used_.fallsBy(missing, now)) - now;
  }
  const QuotaLimit& limit() const { return limit_; }

 private:
  double full() const { return limit_.per_second * toSeconds(limit_.window) + limit_.burst; }
  /// What ran before the bucket began and counts still: what is told, and the untold share of what is
  /// assumed. In all no more than the larger of the two, so that a leader that has heard few routers yet
  /// doesn't count their part twice.
  double before(TimePoint now) {
    const double told = told_.sum(now);
    const double all = assumed(now);
    return std::min(told + untold_ * all, std::max(told, all));
  }
  double assumed(TimePoint now) const {
    const double passed = toSeconds(now - began_) / toSeconds(limit_.window);
    return assumed_ * std::clamp(1 - passed, 0.0, 1.0);
  }

  QuotaLimit limit_;
  UsageWindow used_;
  UsageWindow told_;    ///< what ran before the bucket began
  double assumed_ = 0;  ///< as used in the window before the bucket began
  double untold_ = 1;
  TimePoint began_;
};

}  // namespace ferryrock::tenancy
