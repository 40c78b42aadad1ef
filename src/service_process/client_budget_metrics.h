#pragma once

#include "common/metrics.h"
#include "http/client_budget.h"

namespace ferryrock::service_process {

/// Sets the gauges that show what a process keeps for its clients.
void setClientBudgetMetrics(MetricsRegistry& metrics, const http::ClientBudget& budget);

}  // namespace ferryrock::service_process
