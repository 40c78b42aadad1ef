#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "balance/retry_budget_settings.h"
#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::calls {

using balance::RetryBudgetSettings;

/// What one router has used of its part in the current window.
struct RetryUsage {
  std::size_t calls = 0;
  std::size_t retries = 0;
  double allowed = 0;         ///< retries
  std::uint32_t routers = 1;  ///< number of routers that the slack is divided by
};

/// One router's part of the budget: the share of its own calls and an equal part of the slack. A retry counts
/// whether or not the replica accepts it. Not thread-safe; used by one thread.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings) : settings_(settings) {}

  void setRouters(std::uint32_t routers) { routers_ = routers == 0 ? 1 : routers; }
  void onCall(const ServiceName& service, TimePoint now);
  /// True if a retry may be sent now.
  bool allows(const ServiceName& service, TimePoint now);
  /// Charges one retry that is being sent; returns false if the budget is used up.
  bool spend(const ServiceName& service, TimePoint now);
  /// Takes back the latest charge: the retry has certainly not reached a replica.
  void refund(const ServiceName& service);
  RetryUsage usage(const ServiceName& service, TimePoint now);
  /// Estimated time until another retry may be possible.
  Duration pause() const { return settings_.window / 4; }

 private:
  struct Window {
    std::deque<TimePoint> calls;
    std::deque<TimePoint> retries;
  };
  Window& current(const ServiceName& service, TimePoint now);
  double allowed(const Window& window) const;
  bool hasRoom(const Window& window) const;
  void drop(std::deque<TimePoint>& times, TimePoint now) const;

  RetryBudgetSettings settings_;
  std::uint32_t routers_ = 1;
  std::map<ServiceName, Window> windows_;
};

}  // namespace ferryrock::calls
