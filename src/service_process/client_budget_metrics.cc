#include "service_process/client_budget_metrics.h"

namespace ferryrock::service_process {

void setClientBudgetMetrics(MetricsRegistry& metrics, const http::ClientBudget& budget) {
  const auto set = [&metrics](const char* name, const char* help, std::size_t value) {
    metrics.gauge(name, help).set(static_cast<double>(value));
  };
  set("ferryrock_client_memory_bytes", "Memory that is kept for clients", budget.memoryBytes());
  set("ferryrock_client_memory_limit_bytes", "The most memory that is kept for clients",
      budget.limits().memory_bytes);
  set("ferryrock_client_connections", "Open connections of clients", budget.connections());
  set("ferryrock_client_connections_limit", "The most connections of clients", budget.limits().connections);
  set("ferryrock_client_requests_evicted", "Requests and answers given up to have memory for others",
      budget.counts().evicted_requests);
  set("ferryrock_client_connections_evicted",
      "Idle connections and connections with half a request that were closed for others",
      budget.counts().evicted_connections);
  set("ferryrock_client_connections_refused",
      "Connections that were closed at once, for want of memory or descriptors",
      budget.counts().refused_connections);
}

}  // namespace ferryrock::service_process
