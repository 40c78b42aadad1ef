#pragma once

#include "balance/load_board.h"
#include "common/time.h"

namespace ferryrock::balance {

/// What a call brings to a replica.
struct CallShape {
  double prompt_tokens = 0;
  double shared_tokens = 0;   ///< of them, those that other calls share: read already where these went
  double stream_seconds = 0;  ///< how long its stream will run, as streams of its kind did
};

/// A replica that could take the call.
struct CallPlace {
  FleetUse use;
  bool is_home = false;  ///< calls that share the call's prefix go there
  bool other_zone = false;
};

/// What the call costs its caller and the others there, in prompt tokens that the fastest replica reads
/// meanwhile:
/// - the wait for its first event, behind the prompts that are unread there;
/// - the pauses that reading its prompt makes in the streams that run there;
/// - the pauses that prompts which come while its stream runs make in its own.
/// Least over the replicas, long streams and long prompts part by themselves: streams go where few prompts
/// are read, most of all on the fast replicas, and prompts where few streams run. Answers the load of callers
/// with long streams beside others with long prompts, on replicas of different speed.
double callCost(const CallShape& call, const CallPlace& place);

}  // namespace ferryrock::balance
