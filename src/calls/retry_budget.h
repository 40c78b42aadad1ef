#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::calls {

/// What all routers together may send beyond the first sending of each call, per service and window.
struct RetryBudgetSettings {
  double share = 0.2;  ///< of the calls in the window
  double slack = 10;   ///< beside the share, over all routers
  Duration window = std::chrono::seconds(10);
};

/// One router's part of the budget: its own calls' share and an equal part of the slack. A sending counts
/// whether or not the replica took it. Used by one thread.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings) : settings_(settings) {}

  void setRouters(std::uint32_t routers) { routers_ = routers == 0 ? 1 : routers; }
  void onCall(const ServiceName& service, TimePoint now);
  /// Takes one further sending; false: the budget is spent.
  bool spend(const ServiceName& service, TimePoint now);
  /// Until a further sending may be possible.
  Duration pause() const { return settings_.window / 4; }

 private:
  struct Window {
    std::deque<TimePoint> calls;
    std::deque<TimePoint> retries;
  };
  void drop(std::deque<TimePoint>& times, TimePoint now) const;

  RetryBudgetSettings settings_;
  std::uint32_t routers_ = 1;
  std::map<ServiceName, Window> windows_;
};

}  // namespace ferryrock::calls
