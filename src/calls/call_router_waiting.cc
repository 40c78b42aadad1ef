#include <algorithm>
#include <tuple>
#include <utility>

#include "calls/call_router.h"

/// The part of CallRouter that decides how long calls without a replica wait, and what their callers are
/// told.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

constexpr Duration kDefaultTargetLatency = 1s;
/// Minimum interval between two attempts of a waiting call to find a replica.
constexpr Duration kMinRetryInterval = 10ms;
constexpr Duration kRetryImmediately = 10ms;
constexpr Duration kRetrySoon = 200ms;
constexpr Duration kRetryLater = 1s;

Duration targetOf(const wire::CallRoute& route) {
  return route.target_latency_ms > 0 ? Duration(std::chrono::milliseconds(route.target_latency_ms))
                                     : kDefaultTargetLatency;
}

std::string_view view(const std::string& text) {
  return text;
}

/// Returns what a call without a replica waits for, as text for log lines.
std::string_view waitReason(ChoiceFailure failure) {
  switch (failure) {
    case ChoiceFailure::NotHeld:
      return "model";
    case ChoiceFailure::NoReplica:
      return "replica";
    case ChoiceFailure::Backoff:
      return "backoff";
    case ChoiceFailure::Limited:
      return "limit";
    default:
      return "place";
  }
}

ResultCode refusalCode(ChoiceFailure failure) {
  switch (failure) {
    case ChoiceFailure::NotHeld:
      return ResultCode::LoadCannotFinishInTime;
    case ChoiceFailure::NoReplica:
      return ResultCode::NoReplica;
    case ChoiceFailure::Backoff:
      return ResultCode::ReplicaBackoff;
    case ChoiceFailure::Limited:
      return ResultCode::ReplicaLimited;
    default:
      return ResultCode::ReplicaRefused;
  }
}

}  // namespace

WaitingCall CallRouter::waitingCall(const Call& call) {
  WaitingCall waiting;
  waiting.arrived = call.arrived;
  waiting.deadline = call.deadline;
  waiting.target = targetOf(*call.route);
  if (call.route->caller_idle_timeout_ms > 0) {
    waiting.caller_idle_timeout = std::chrono::milliseconds(call.route->caller_idle_timeout_ms);
  }
  waiting.not_started = !call.started && !call.sendings.mayHaveRun();
  return waiting;
}

bool CallRouter::refuseWithRetryTime(CallPointer call, const Choice& choice, TimePoint now) {
  const Call& state = call->second;
  if (state.credit.pending_request || state.credit.granted) {
    return false;
  }
  const auto loaded = loads_.readyAt(state.need.service, state.need.model, now);
  const std::optional<TimePoint>& room = state.credit.opens_at;
  const bool limited = room && (!choice.opens_at || *room <= *choice.opens_at);
  const std::optional<TimePoint>& opens_at = limited ? room : choice.opens_at;
  const bool opens_first = opens_at && (!loaded || *opens_at <= *loaded);
  const auto ready = opens_first ? opens_at : loaded;
  if (!ready) {
    return false;
  }
  auto retry_after = retryDelayForLateModel(waitingCall(state), *ready, now);
  if (!retry_after) {
    retry_after = retryDelayIfUnservable(waitingCall(state), *ready, now);
  }
  if (!retry_after) {
    return false;
  }
  if (opens_first) {
    retry_after = spreadRetryDelay(*retry_after, random_.unit());
  }
  if (!state.need.model.empty()) {
    loads_.addReturningCaller(state.need.service, state.need.model, now + *retry_after);
  }
  if (opens_first && limited) {
    refuse(call, ResultCode::ReplicaLimited, "no replica has credit left under its rate limit", retry_after,
           now);
  } else if (opens_first) {
    refuse(call, ResultCode::ReplicaBackoff, "all replicas that could run the call are in a backoff",
           retry_after, now);
  } else {
    refuse(call, ResultCode::LoadCannotFinishInTime, "the model is being loaded", retry_after, now);
  }
  return true;
}

Duration CallRouter::retryTimeAfterRefusals(const Call& call, TimePoint now) {
  const auto opens = call.credit.opens_at ? call.credit.opens_at : replicas_.opensAt(call.need, now);
  if (opens) {
    return spreadRetryDelay(std::max<Duration>(*opens - now, kRetryImmediately), random_.unit());
  }
  return call.last_failure == ResultCode::ReplicaLimited ? kRetryLater : kRetrySoon;
}

void CallRouter::waitForReplica(CallPointer call, const Choice& choice, TimePoint now) {
  Call& state = call->second;
  const ChoiceFailure failure = choice.failure;
  const bool known_to_open = failure == ChoiceFailure::NotHeld || failure == ChoiceFailure::Backoff ||
                             failure == ChoiceFailure::Limited;
  if (known_to_open && refuseWithRetryTime(call, choice, now)) {
    return;
  }
  const bool first = waiting_.insert(call->first).second;
  if (first || known_to_open) {
    const TimePoint limit =
        std::min(waitLimit(waitingCall(state), failure, now), std::max(now, refuse_from_));
    state.wait_deadline = first ? limit : std::max(state.wait_deadline, limit);
  }
  if (first) {
    counts_.backoff_waits += failure == ChoiceFailure::Backoff ? 1 : 0;
    counts_.limit_waits += failure == ChoiceFailure::Limited ? 1 : 0;
    log_.write(LogLevel::Info, "call.waits",
               {{"request", view(state.request.id.value)},
                {"for", waitReason(failure)},
                {"until_ms", toMilliseconds(state.wait_deadline - now)},
                {"opens_in_ms", choice.opens_at ? toMilliseconds(*choice.opens_at - now) : -1},
                {"replicas", static_cast<std::int64_t>(replicas_.size())}});
  }
  state.last_failure = refusalCode(failure);
  if (failure == ChoiceFailure::NotHeld && !std::exchange(state.demand_expedited, true)) {
    feed_.expedite();
  }
  if (choice.recheck_at) {
    state.retry_at = std::max(*choice.recheck_at, now + kMinRetryInterval);
  }
  if (state.credit.granted) {
    state.retry_at = std::min(state.retry_at.value_or(TimePoint::max()), state.credit.granted->valid_from);
  }
  setTimer(call);
}

void CallRouter::dispatchWaiting(TimePoint now) {
  // Of equal priority, callers that have a part of their stream already come first.
  std::vector<std::tuple<std::uint32_t, bool, CallNumber>> order;
  for (const CallNumber number : waiting_) {
    const Call& waiting = calls_.at(number);
    order.emplace_back(waiting.priority, !waiting.need.source, number);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [priority, is_new, number] : order) {
    const CallPointer call = calls_.find(number);
    if (call != calls_.end() && !call->second.attempt) {
      dispatch(call, now);
    }
  }
}

}  // namespace ferryrock::calls
