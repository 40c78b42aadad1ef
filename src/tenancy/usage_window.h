#pragma once

#include <vector>

#include "common/time.h"

namespace ferryrock::tenancy {

/// Usage within a sliding window that ends now. Usage is aggregated in slots; a slot counts until its end has
/// left the window. Not thread-safe.
class UsageWindow {
 public:
  /// slot: length of a slot, by which usage may count longer than the window.
  explicit UsageWindow(Duration window, Duration slot = kSlot) : window_(window), slot_(slot) {}

  /// Usage may be added in any order of time; usage that has already left the window is dropped.
  void add(double amount, TimePoint at, TimePoint now);
  /// Refunds unused amounts, from the oldest slots first, so that the sum never falls below the actual usage.
  void refund(double amount, TimePoint now);
  double sum(TimePoint now);
  /// Usage since `begin`, which must not be before the window's start.
  double sumSince(TimePoint begin, TimePoint now);

  /// Default length of a slot; 80 slots per tenant for a window of 8 s.
  static constexpr Duration kSlot = std::chrono::milliseconds(100);

 private:
  struct Slot {
    TimePoint end{};
    double amount = 0;
  };

  TimePoint slotEnd(TimePoint at) const;
  void expire(TimePoint now);

  Duration window_;
  Duration slot_;
  std::vector<Slot> slots_;  ///< oldest first
  double sum_ = 0;
};

}  // namespace ferryrock::tenancy
