#include "balance/call_cost.h"

#include <algorithm>

#include "balance/uneven.h"

namespace ferryrock::balance {
namespace {

/// Of the streams beside which prompts are read on a slow replica, the share that is late by it.
constexpr double kDisturbedShare = 0.5;
/// The way to another zone and the bytes over it, in tokens that are read meanwhile (about 5 ms).
constexpr double kOtherZoneTokens = 200;

}  // namespace

double callCost(const CallShape& call, const CallPlace& place) {
  const FleetUse& use = place.use;
  const double shared = place.is_home ? std::min(call.shared_tokens, call.prompt_tokens) : 0;
  const double unread = call.prompt_tokens - shared;
  const double wait = (use.unread_tokens + unread) * use.slowness;
  // On the others a prompt passes between two events without their callers seeing it.
  const double disturbed = use.slowness >= kUnevenSlowness ? kDisturbedShare * use.slowness : 0;
  const double harm = disturbed * unread * use.streams;
  const double exposure = disturbed * use.tokens_per_s * call.stream_seconds;
  return wait + harm + exposure + (place.other_zone ? kOtherZoneTokens : 0);
}

}  // namespace ferryrock::balance
