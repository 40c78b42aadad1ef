#include "router/completion.h"

#include <chrono>
#include <utility>

#include "common/error.h"
#include "router/stored_answer.h"

namespace ferryrock::router {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpTooManyRequests = 429;
constexpr Duration kRetryAfterUnreadKey = std::chrono::seconds(1);
/// From here on a status tells of the server or the connection, not of the request: 499 is a caller that
/// left.
constexpr int kLowestServerStatus = 499;

wire::ClaimOutcome claimOutcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::Ran:
      return wire::ClaimOutcome::Ran;
    case Outcome::NotRun:
      return wire::ClaimOutcome::NotRun;
    case Outcome::Unknown:
      break;
  }
  return wire::ClaimOutcome::Unknown;
}

/// True for refusals that the same request might not meet at another moment or another router.
bool dependsOnTheMoment(ResultCode code) {
  const int status = resultCodeInfo(code).http_status;
  return status == kHttpTooManyRequests || status >= kLowestServerStatus;
}

/// A key names one request over all of its calls. A router that hasn't read the key's claim knows only that
/// this call didn't run, which doesn't make it certain that the request didn't.
Failure withCertainOutcome(const Request& request, Failure failure) {
  const bool uncertain = request.keyMayHaveRun() && dependsOnTheMoment(failure.code);
  if (failure.outcome != Outcome::NotRun || !uncertain) {
    return failure;
  }
  failure.outcome = Outcome::Unknown;
  failure.detail += failure.detail.empty() ? "" : "; ";
  failure.detail += "an earlier request with this key may have run: send the same key again";
  failure.retry_after = failure.retry_after.value_or(kRetryAfterUnreadKey);
  return failure;
}

}  // namespace

void Completion::answer(Request& request, const StreamEnd& end, TimePoint now, Effects& effects) {
  const StoredAnswer stored{request.answer.text(), request.answer.finishReason(), end};
  if (request.claim == ClaimState::Granted) {
    recordOutcome(request, wire::ClaimOutcome::Ran, encodeStoredAnswer(stored), now);
  }
  if (!request.caller_gone) {
    effects.emplace_back(
        CallerAnswerEffect{request.caller.id, stored.text, stored.finish_reason, end, false});
  }
  ++parts_.counts.answered;
  remove(request, now);
}

void Completion::replay(Request& request, const std::string& stored, TimePoint now, Effects& effects) {
  StoredAnswer answer;
  try {
    answer = decodeStoredAnswer(stored);
  } catch (const Error& fault) {
    fail(request, Failure{ResultCode::AnswerNoLongerKept, Outcome::Ran, fault.detail(), std::nullopt}, now,
         effects);
    return;
  }
  effects.emplace_back(CallerAnswerEffect{request.caller.id, std::move(answer.text),
                                          std::move(answer.finish_reason), answer.end, true});
  ++parts_.counts.answered;
  remove(request, now);
}

void Completion::fail(Request& request, const Failure& reason, TimePoint now, Effects& effects) {
  if (request.attempt) {
    cancelAttempt(request, now, effects);
  }
  if (request.claim == ClaimState::Asked) {
    parts_.claims.abandon(request.number);
  }
  if (request.claim == ClaimState::Granted) {
    recordOutcome(request, claimOutcome(reason.outcome), {}, now);
  }
  const Failure failure = withCertainOutcome(request, reason);
  if (!request.caller_gone) {
    effects.emplace_back(CallerFailureEffect{request.caller.id, failure.code, failure.outcome, failure.detail,
                                             failure.retry_after});
  }
  if (failure.outcome == Outcome::NotRun) {
    ++parts_.counts.refused_not_run;
  } else {
    ++parts_.counts.failed_unknown;
  }
  remove(request, now);
}

void Completion::abandon(Request& request, TimePoint now, Effects& effects) {
  request.caller_gone = true;
  const bool runs_on =
      request.claim == ClaimState::Granted && request.outcomeIfEndedNow() == Outcome::Unknown;
  if (runs_on) {
    if (request.attempt && request.caller_slow) {
      effects.emplace_back(PauseEffect{request.attempt->id, false});
    }
    request.caller_slow = false;
    return;
  }
  fail(request, Failure{ResultCode::CallerGone, request.outcomeIfEndedNow(), {}, std::nullopt}, now, effects);
}

void Completion::cancelAttempt(Request& request, TimePoint now, Effects& effects) {
  effects.emplace_back(CancelEffect{request.attempt->id, request.attempt->replica});
  releaseAttempt(request, now);
}

void Completion::releaseAttempt(Request& request, TimePoint now) {
  const SlotId slot = request.attempt->replica.slot;
  parts_.requests.endAttempt(request, !parts_.defects.accept_ended_attempts);
  parts_.wantDispatch(slot);
  parts_.pool.onReleased(slot);
  parts_.windows.of(request.caller.model).onReleased();
  parts_.demand.onRunning(request.caller.model, -1, now);
}

void Completion::recordOutcome(const Request& request, wire::ClaimOutcome outcome, const std::string& answer,
                               TimePoint now) {
  wire::RecordOutcomeCommand command;
  command.key = *request.caller.key;
  command.attempt = request.claim_attempt;
  command.outcome = outcome;
  command.http_status = outcome == wire::ClaimOutcome::Ran ? kHttpOk : 0;
  command.answer = answer;
  command.time = parts_.wallTime(now);
  parts_.claims.record(std::move(command), now);
}

void Completion::remove(Request& request, TimePoint now) {
  if (request.attempt) {
    releaseAttempt(request, now);
  }
  parts_.removeWaiting(request, now);
  parts_.dispatch_wanted.insert(request.caller.model);
  parts_.requests.remove(request.number);
}

}  // namespace ferryrock::router
