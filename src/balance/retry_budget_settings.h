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

}  // namespace ferryrock::balance
