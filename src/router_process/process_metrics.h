#pragma once

#include "common/metrics.h"
#include "router/router_node.h"
#include "router_process/engine_client.h"
#include "transport/transport.h"

namespace ferryrock::router_process {

/// Copies the router's figures into the metrics registry, whenever they are asked for.
class ProcessMetrics {
 public:
  ProcessMetrics(MetricsRegistry& registry, const router::RouterNode& node, const EngineClient& engines,
                 const transport::Transport& transport)
      : registry_(registry), node_(node), engines_(engines), transport_(transport) {}

  void update();

 private:
  MetricsRegistry& registry_;
  const router::RouterNode& node_;
  const EngineClient& engines_;
  const transport::Transport& transport_;
};

}  // namespace ferryrock::router_process
