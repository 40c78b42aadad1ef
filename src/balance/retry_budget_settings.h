#pragma once

#include "common/time.h"

namespace ferryrock::balance {

/// Limit of the retries of all routers together, per service and window: attempts that arrive at replicas
/// beyond the first of each call.
struct RetryBudgetSettings {
  double share = 0.2;  ///< share of the calls in the window
  double slack = 10;   ///< number of retries in addition to the share, over all routers
  Duration window = std::chrono::seconds(10);
};

/// Share of RetryBudgetSettings::share that each router uses for its own calls without asking a leader. It is
/// bounded by the router's calls, however many routers there are and however often they restart.
constexpr double kOwnRetryShare = 0.25;
/// A retry may arrive later than the retries around it, so that it counts for this long beyond the window.
constexpr Duration kRetryDelayMargin = std::chrono::seconds(1);

}  // namespace ferryrock::balance
