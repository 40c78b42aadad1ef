#pragma once

namespace ferryrock::services {

/// Placement mechanisms that can be disabled one by one, to measure the effect of each. All are enabled by
/// default.
struct PlacementSwitches {
  /// Limits concurrent loads from the weight store by its estimated width; if disabled, only the operator's
  /// rate limits them.
  bool estimated_store_width = true;
  /// Places models whose weights are in a replica's memory or on its disk before models that load from the
  /// weight store; if disabled, models are placed by urgency alone.
  bool local_weights_first = true;
  /// Reports to callers when a model that waits for the weight store is expected to serve; if disabled, only
  /// for loads in progress.
  bool expected_times = true;
  /// Inspects a replica immediately after an order to it got no answer; if disabled, after some seconds.
  bool prompt_inspections = true;
};

}  // namespace ferryrock::services
