#pragma once

#include "load/experiment/usage_trace.h"

namespace ferryrock::load::experiment {

/// What no policy can go below on a trace. Every load is taken from host memory, no memory or store limit
/// holds, and the trace is known beforehand. Hours are those of accelerators, each replica by its share of
/// the accelerator's memory.
struct ClairvoyantBound {
  /// With loads ahead of demand nobody waits: each gap costs the shorter of itself and a load.
  double idle_hours_loading_ahead = 0;
  /// Loads begin with demand, and 99 in 100 requests find a replica: the dearest gaps are not held.
  double idle_hours_at_p99_zero = 0;
};

ClairvoyantBound clairvoyantBound(const ExperimentSettings& settings, const UsageTrace& trace);

/// Lowest sum of idle accelerator seconds and waited seconds at a price, when loads begin with demand.
double clairvoyantCost(const ExperimentSettings& settings, const UsageTrace& trace, double price_per_second);

}  // namespace ferryrock::load::experiment
