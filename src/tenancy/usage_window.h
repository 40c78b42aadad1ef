#pragma once

#include <deque>

#include "common/time.h"

namespace ferryrock::tenancy {

/// Usage within a sliding window that ends now. Usage is aggregated in slots; a slot counts until its end has
/// left the window. Not thread-safe.
class UsageWindow {
 public:
  explicit UsageWindow(Duration window) : window_(window) {}

  /// Usage may be added in any order of time; usage that has already left the window is dropped.
  void add(double amount, TimePoint at, TimePoint now);
  /// Refunds unused amounts, from the oldest slots first, so that the sum never falls below the actual usage.
  void refund(double amount, TimePoint now);
  double sum(TimePoint now);
  /// Time at which the sum has fallen by the amount if nothing is added; the end of the window at the latest.
  TimePoint timeOfDecrease(double amount, TimePoint now);

  /// Length of a slot, by which usage may count longer than the window; 80 slots per tenant for a window of 8
  /// s.
  static constexpr Duration kSlot = std::chrono::milliseconds(100);

 private:
  struct Slot {
    TimePoint end{};
    double amount = 0;
  };

  void expire(TimePoint now);

  Duration window_;
  std::deque<Slot> slots_;  ///< oldest first
  double sum_ = 0;
};

}  // namespace ferryrock::tenancy
