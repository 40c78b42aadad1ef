#pragma once

#include "balance/fleet_load_view.h"
#include "common/time.h"

namespace ferryrock::balance {

/// Size and expected duration of a call that is to be placed.
struct CallShape {
  double prompt_tokens = 0;
  double shared_tokens = 0;  ///< part of prompt_tokens that other calls share; the home replica has processed
                             ///< this prefix already
  double stream_seconds =
      0;  ///< expected duration of the response stream, from earlier streams of the same kind
};

/// A candidate replica for a call.
struct CallCandidate {
  FleetLoad use;
  bool is_home = false;  ///< the replica to which calls with the same prompt prefix are routed
  bool other_zone = false;
};

/// Returns the estimated cost of placing the call on the replica, for its own caller and for the streams that
/// run there. The unit is prompt tokens that the fastest replica prefills in the same time. The cost has
/// three parts:
/// - the time to first event, behind the replica's prefill backlog;
/// - the delay that prefilling this prompt adds to the streams that run on the replica;
/// - the delay that prompts which arrive while this call streams add to its own stream.
/// Choosing the replica with the lowest cost separates long streams from long prompts: streams go to replicas
/// that prefill little, above all the fast ones, and prompts go to replicas with few streams. This serves
/// mixed loads of long streams and long prompts on replicas of different speed.
double callCost(const CallShape& call, const CallCandidate& candidate);

}  // namespace ferryrock::balance
