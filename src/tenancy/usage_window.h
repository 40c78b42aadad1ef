#pragma once

#include <deque>

#include "common/time.h"

namespace ferryrock::tenancy {

/// What was used in the time up to now, as far as the window reaches. Entries are kept by slots, and each one
/// counts until the last use in its slot has left the window. Used by one thread.
class UsageWindow {
 public:
  explicit UsageWindow(Duration window) : window_(window) {}

  /// Uses are told in any order; those that have left the window are dropped.
  void add(double amount, TimePoint at, TimePoint now);
  /// Takes back what wasn't used after all, from the oldest entries, so that never less counts than was used.
  void takeBack(double amount, TimePoint now);
  double sum(TimePoint now);
  /// When the sum will have fallen by the amount if nothing is added; the end of the window at the latest.
  TimePoint fallsBy(double amount, TimePoint now);

  /// Beyond what a tenant's whole window holds, 80 entries a tenant.
  static constexpr Duration kSlot = std::chrono::milliseconds(100);

 private:
  struct Slot {
    TimePoint end{};  ///< of the slot
    double amount = 0;
  };

  void expire(TimePoint now);

  Duration window_;
  std::deque<Slot> slots_;  ///< oldest first
  double sum_ = 0;
};

}  // namespace ferryrock::tenancy
