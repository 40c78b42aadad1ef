#include "calls/wait_policy.h"

#include <algorithm>

namespace ferryrock::calls {
namespace {

/// Share of its total time that a call may wait for a model to be loaded.
constexpr double kLoadWaitShare = 0.47;
/// Share of the caller's idle timeout that a call may wait, so that the first event is still in time.
constexpr double kIdleTimeoutShare = 0.85;
/// Share of the target latency that a call waits for a free slot. A call refused by then may still be in time
/// elsewhere.
constexpr double kSlotWaitShare = 0.22;
/// A refusal within this share of the target latency is considered prompt.
constexpr double kPromptRefusalShare = 0.22;
/// A model that is ready within this share of the target latency can still serve the call in time.
constexpr double kReadyInTimeShare = 0.85;
/// Maximum retry time as a share of the caller's remaining time, about a third.
constexpr double kMaxRetryDelayShare = 0.32;
/// Loads finish slightly later than expected, and routers learn of it with a further delay.
constexpr double kLoadDelayShare = 0.06;
constexpr Duration kLoadDelay = std::chrono::milliseconds(120);

Duration scaled(Duration duration, double share) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * share));
}

/// Maximum random extension of a retry time, as a share of it.
constexpr double kRetrySpreadShare = 0.25;

Duration retryDelayUntil(TimePoint ready, TimePoint now) {
  return (ready - now) + scaled(ready - now, kLoadDelayShare) + kLoadDelay;
}

}  // namespace

TimePoint waitLimit(const WaitingCall& call, ChoiceFailure failure, TimePoint now) {
  const bool known_to_open = failure == ChoiceFailure::NotHeld || failure == ChoiceFailure::Backoff ||
                             failure == ChoiceFailure::Limited;
  if (!known_to_open) {
    return std::min(call.deadline, now + scaled(call.target, kSlotWaitShare));
  }
  TimePoint limit = call.arrived + scaled(call.deadline - call.arrived, kLoadWaitShare);
  if (call.caller_idle_timeout) {
    limit = std::min(limit, call.arrived + scaled(*call.caller_idle_timeout, kIdleTimeoutShare));
  }
  return std::max(now, limit);
}

Duration spreadRetryDelay(Duration delay, double drawn) {
  return delay + scaled(delay, drawn * kRetrySpreadShare);
}

std::optional<Duration> retryDelayIfUnservable(const WaitingCall& call, TimePoint ready, TimePoint now) {
  const bool can_wait = ready <= waitLimit(call, ChoiceFailure::NotHeld, now);
  return can_wait || !call.not_started ? std::nullopt : std::optional(retryDelayUntil(ready, now));
}

std::optional<Duration> retryDelayForLateModel(const WaitingCall& call, TimePoint ready, TimePoint now) {
  const bool in_time = ready <= call.arrived + scaled(call.target, kReadyInTimeShare);
  const bool prompt = now <= call.arrived + scaled(call.target, kPromptRefusalShare);
  if (!call.not_started || in_time || !prompt) {
    return std::nullopt;
  }
  const Duration delay = retryDelayUntil(ready, now);
  const bool has_time = delay <= scaled(call.deadline - now, kMaxRetryDelayShare);
  return has_time ? std::optional(delay) : std::nullopt;
}

}  // namespace ferryrock::calls
