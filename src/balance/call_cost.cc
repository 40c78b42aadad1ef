#include "balance/call_cost.h"

#include <algorithm>

#include "balance/uneven.h"

namespace ferryrock::balance {
namespace {

/// Share of the streams that are delayed by prefill on a slow replica.
constexpr double kDisturbedShare = 0.5;
/// Cost of the network path to another zone and of the transferred bytes, as the number of tokens that are
/// prefilled in the same time (about 5 ms).
constexpr double kOtherZoneTokens = 200;

}  // namespace

double callCost(const CallShape& call, const CallPlace& place) {
  const FleetUse& use = place.use;
  const double shared = place.is_home ? std::min(call.shared_tokens, call.prompt_tokens) : 0;
  const double unread = call.prompt_tokens - shared;
  const double wait = (use.unread_tokens + unread) * use.slowness;
  // A replica that isn't slow prefills a prompt between two events without a delay that callers notice.
  const double disturbed = use.slowness >= kUnevenSlowness ? kDisturbedShare * use.slowness : 0;
  const double harm = disturbed * unread * use.streams;
  const double exposure = disturbed * use.tokens_per_s * call.stream_seconds;
  return wait + harm + exposure + (place.other_zone ? kOtherZoneTokens : 0);
}

}  // namespace ferryrock::balance
