#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::calls {

/// Limit of the retries of all routers together, per service and window.
struct RetryBudgetSettings {
  double share = 0.2;  ///< share of the calls in the window
  double slack = 10;   ///< number of retries in addition to the share, over all routers
  Duration window = std::chrono::seconds(10);
};

/// One router's part of the budget: the share of its own calls and an equal part of the slack. A retry counts
/// whether or not the replica accepts it. Not thread-safe; used by one thread.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings) : settings_(settings) {}

  void setRouters(std::uint32_t routers) { routers_ = routers == 0 ? 1 : routers; }
  void onCall(const ServiceName& service, TimePoint now);
  /// Charges one retry; returns false if the budget is used up.
  bool spend(const ServiceName& service, TimePoint now);
  /// Estimated time until another retry may be possible.
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
