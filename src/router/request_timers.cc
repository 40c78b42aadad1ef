#include "router/request_timers.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ferryrock::router {
namespace {

/// Final answers leave this long before the deadline, or a part of the whole time if that is shorter.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(20);
constexpr int kMarginDivisor = 10;
/// An engine admits to its batch queue at once; one that doesn't answer for so long is taken for stalled.
constexpr Duration kAdmissionTimeout = std::chrono::milliseconds(1500);
/// A repeatable request waits for progress for this part of its whole time at most, but not less than the
/// shortest stall.
constexpr int kStallDivisor = 3;
constexpr Duration kShortestStall = std::chrono::seconds(1);
constexpr Duration kDefectiveDelay = std::chrono::seconds(1);
/// Part of the expected running time that must be left for a request to be worth sending.
constexpr double kNeededShareKnownLength = 1.0;
constexpr double kNeededShareUnknownLength = 0.5;

Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

TimePoint RequestTimers::latestAnswer(const Request& request) const {
  if (parts_.defects.expire_late) {
    return request.deadline + kDefectiveDelay;
  }
  const Duration whole = request.deadline - request.arrived;
  return request.deadline - std::min(kAnswerMargin, whole / kMarginDivisor);
}

TimePoint RequestTimers::giveUpAt(const Request& request) const {
  const TimePoint latest = latestAnswer(request);
  if (request.answer.nextChunk() > 0) {
    return latest;
  }
  const std::uint32_t tokens = request.caller.max_tokens;
  const auto running = parts_.estimates.of(request.caller.model).runningTime(tokens);
  if (!running) {
    return latest;
  }
  const double share = tokens > 0 ? kNeededShareKnownLength : kNeededShareUnknownLength;
  return std::max(request.arrived, latest - scaled(*running, share));
}

Duration RequestTimers::stallTimeout(const Request& request) const {
  Duration timeout = parts_.settings.stall_timeout;
  if (!request.repeatable) {
    return timeout;
  }
  // What may be repeated goes elsewhere while there is time left for it.
  const Duration share = (request.deadline - request.arrived) / kStallDivisor;
  timeout = std::min(timeout, std::max(kShortestStall, share));
  return request.attempt->admitted ? timeout : std::min(timeout, kAdmissionTimeout);
}

TimePoint RequestTimers::stallsAt(const Request& request) const {
  const Attempt& attempt = *request.attempt;
  if (request.caller_slow || attempt.resume_at) {
    return TimePoint::max();
  }
  TimePoint last = attempt.last_progress;
  // An admitted request may wait in the engine's queue while the engine works on others.
  const bool queued_there = attempt.admitted && !request.first_chunk;
  const Replica* replica = std::as_const(parts_.pool).find(attempt.replica.slot);
  if (queued_there && replica != nullptr) {
    last = std::max(last, replica->health.lastProgress());
  }
  return last + stallTimeout(request);
}

TimePoint RequestTimers::controlTimeoutAt(const Request& request) const {
  const bool asks = request.phase == RequestPhase::Resolving || request.phase == RequestPhase::Claiming;
  return asks ? request.phase_since + kControlTimeout : TimePoint::max();
}

void RequestTimers::schedule(const Request& request, TimePoint now) {
  TimePoint wake = TimePoint::max();
  if (request.attempt) {
    wake = std::min(latestAnswer(request), stallsAt(request));
    wake = std::min(wake, request.attempt->resume_at.value_or(TimePoint::max()));
  } else {
    wake = std::min(giveUpAt(request), controlTimeoutAt(request));
    wake = std::min(wake, request.backoff_until.value_or(TimePoint::max()));
  }
  parts_.requests.wakeAt(request.number, std::max(wake, now));
}

}  // namespace ferryrock::router
