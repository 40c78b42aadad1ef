#pragma once

namespace ferryrock::services {

/// Mechanisms of the placement of models that can be switched off alone, to measure what each is worth. All
/// are on unless a measurement says otherwise.
struct PlacementSwitches {
  /// Loads from the weight store are bounded by its learned width; off: by the operator's rate alone.
  bool learned_store_width = true;
  /// Models whose weights are near a replica are placed before those that come from the store; off: in the
  /// order of their urgency alone.
  bool near_weights_first = true;
  /// Callers are told when a model that waits for the store should serve; off: only of loads under way.
  bool expected_times = true;
  /// A replica whose answer to an order was lost is asked at once; off: after some seconds.
  bool prompt_doubts = true;
};

}  // namespace ferryrock::services
