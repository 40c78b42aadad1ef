#pragma once

namespace ferryrock::balance {

/// A replica is treated as slow if its event gap is at least this many times that of another replica with the
/// same model. When long prompts are prefilled on a replica that is 2.2 times as slow as the others, 50 to 65
/// of 100 concurrent streams stall for longer than the half second that callers tolerate; on the faster
/// replicas none does. Where replicas differ by a factor of 1.3, no streams stall that long.
constexpr double kSlowReplicaThreshold = 1.5;

/// Returns the slowness to use in placement: 1 for a replica that isn't treated as slow.
constexpr double effectiveSlowness(double slowness) {
  return slowness >= kSlowReplicaThreshold ? slowness : 1;
}

}  // namespace ferryrock::balance
