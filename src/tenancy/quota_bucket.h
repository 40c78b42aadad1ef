#pragma once

#include <algorithm>
#include <cstdint>

#include "common/time.h"

namespace ferryrock::tenancy {

/// What a bucket holds, in the unit of the quota: tokens or calls.
struct QuotaLimit {
  double per_second = 0;  ///< above 0
  double burst = 0;       ///< held at most
};

/// Credit of one tenant: it grows at a rate up to a limit. A charge may take it below zero, so that a call
/// larger than the burst runs at all; nothing more is granted until it is above zero again. What is granted
/// in any span is at most rate x span + burst + the largest single charge, whatever is given back: a call
/// that is given back was never run, and its credit comes back later than if it had never been charged. Used
/// by one thread.
class QuotaBucket {
 public:
  QuotaBucket(const QuotaLimit& limit, double level, TimePoint now)
      : limit_(limit), level_(std::min(level, limit.burst)), at_(now) {}

  void setLimit(const QuotaLimit& limit, TimePoint now) {
    refill(now);
    limit_ = limit;
    level_ = std::min(level_, limit_.burst);
  }
  /// Takes the amount if there is credit.
  bool grant(double amount, TimePoint now) {
    refill(now);
    if (level_ <= 0) {
      return false;
    }
    level_ -= amount;
    return true;
  }
  /// What was used already; below zero it is given back.
  void charge(double amount, TimePoint now) {
    refill(now);
    level_ = std::min(level_ - amount, limit_.burst);
  }
  double level(TimePoint now) {
    refill(now);
    return level_;
  }
  /// Until there is credit again.
  Duration untilCredit(TimePoint now) {
    refill(now);
    const double missing = std::max(0.0, -level_);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / limit_.per_second));
  }
  const QuotaLimit& limit() const { return limit_; }

 private:
  void refill(TimePoint now) {
    const double seconds = std::max(0.0, toSeconds(now - at_));
    level_ = std::min(level_ + limit_.per_second * seconds, limit_.burst);
    at_ = std::max(at_, now);
  }

  QuotaLimit limit_;
  double level_;
  TimePoint at_;
};

}  // namespace ferryrock::tenancy
