#pragma once

namespace ferryrock::balance {

/// A replica whose pace is this many times that of another one with the same model is treated as slow.
/// Prompts of the users' captioning calls, read on replicas 2.2 times as slow as the others, hold the streams
/// beside them up for longer than the half second that callers bear (50 to 65 in 100 streams there, none on
/// the others); on fleets whose replicas differ by 1.3 they don't.
constexpr double kUnevenSlowness = 1.5;

/// How much slower the replica counts as: 1 unless it is slow in this sense.
constexpr double countedSlowness(double slowness) {
  return slowness >= kUnevenSlowness ? slowness : 1;
}

}  // namespace ferryrock::balance
