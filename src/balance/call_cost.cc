#include "balance/call_cost.h"

#include <algorithm>

#include "balance/slow_replica.h"

namespace ferryrock::balance {
namespace {

/// Share of the streams that are delayed by prefill on a slow replica.
constexpr double kDelayedStreamShare = 0.5;
/// Cost of the network path to another zone and of the transferred bytes, as the number of tokens that are
/// prefilled in the same time (about 5 ms).
constexpr double kOtherZoneTokens = 200;

}  // namespace

double callCost(const CallShape& call, const CallCandidate& candidate) {
  const FleetLoad& use = candidate.use;
  const double shared = candidate.is_home ? std::min(call.shared_tokens, call.prompt_tokens) : 0;
  const double prefill_tokens = call.prompt_tokens - shared;
  const double wait = (use.pending_prefill_tokens + prefill_tokens) * use.slowness;
  // A replica that isn't slow prefills a prompt between two events without a delay that callers notice.
  const double delay_factor = use.slowness >= kSlowReplicaThreshold ? kDelayedStreamShare * use.slowness : 0;
  const double prefill_delay = delay_factor * prefill_tokens * use.streams;
  const double stream_delay = delay_factor * use.tokens_per_s * call.stream_seconds;
  return wait + prefill_delay + stream_delay + (candidate.other_zone ? kOtherZoneTokens : 0);
}

}  // namespace ferryrock::balance
