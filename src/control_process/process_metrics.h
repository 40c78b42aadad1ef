#pragma once

#include "common/metrics.h"
#include "control/control_node.h"
#include "transport/transport.h"

namespace ferryrock::control_process {

/// Copies the member's figures into the metrics registry.
class ProcessMetrics {
 public:
  ProcessMetrics(MetricsRegistry& registry, const control::ControlNode& node,
                 const transport::Transport& transport)
      : node_(node), transport_(transport), registry_(registry) {}

  /// Called when the figures are asked for.
  void update();

 private:
  const control::ControlNode& node_;
  const transport::Transport& transport_;
  MetricsRegistry& registry_;
};

}  // namespace ferryrock::control_process
