#include "router/attempt_handler.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ferryrock::router {
namespace {

/// Resumes without a chunk in between. What may not be repeated has no other way to its answer.
constexpr std::uint32_t kMostResumesRepeatable = 1;
constexpr std::uint32_t kMostResumesOnce = 6;
constexpr Duration kResumeBackoff = std::chrono::milliseconds(100);
/// How long a replica's own refusal counts, unless the table brings other news of it first.
constexpr Duration kDrainingRefusalLife = std::chrono::seconds(5);
constexpr Duration kNotHeldRefusalLife = std::chrono::seconds(1);
constexpr Duration kFullRefusalLife = std::chrono::milliseconds(50);
constexpr Duration kRetryAfterFailure = std::chrono::seconds(1);

bool isRefusal(AttemptFailure failure) {
  return failure == AttemptFailure::RefusedUnadmitted || failure == AttemptFailure::RefusedDraining ||
         failure == AttemptFailure::RefusedFull || failure == AttemptFailure::RefusedNotHeld ||
         failure == AttemptFailure::RefusedInvalid;
}

}  // namespace

void AttemptHandler::onAdmitted(const AttemptId& attempt, TimePoint now) {
  Request* request = parts_.requests.findByAttempt(attempt);
  if (request == nullptr || !request->attempt) {
    return;
  }
  request->attempt->admitted = true;
  progress(*request, now);
}

void AttemptHandler::progress(Request& request, TimePoint now) {
  request.attempt->last_progress = now;
  Replica* replica = parts_.pool.find(request.attempt->replica.slot);
  if (replica != nullptr) {
    replica->health.onProgress(now);
  }
}

void AttemptHandler::onChunk(const AttemptId& attempt, const StreamChunk& chunk, TimePoint now,
                             Effects& effects) {
  Request* request = parts_.requests.findByAttempt(attempt);
  if (request == nullptr || !request->attempt) {
    ++parts_.counts.late_chunks_dropped;
    return;
  }
  request->attempt->admitted = true;
  progress(*request, now);
  const ChunkVerdict verdict = request->answer.add(chunk);
  if (parts_.defects.ignore_chunk_numbers && verdict != ChunkVerdict::Taken) {
    request->answer.addUnchecked(chunk);
  } else if (verdict == ChunkVerdict::Duplicate) {
    ++parts_.counts.late_chunks_dropped;
    return;
  } else if (verdict == ChunkVerdict::Gap) {
    ++parts_.counts.late_chunks_dropped;
    onGap(*request, now, effects);
    return;
  } else if (verdict == ChunkVerdict::TooLarge) {
    completion_.fail(*request,
                     Failure{ResultCode::StreamBroken, Outcome::Unknown, "the answer is too large", {}}, now,
                     effects);
    return;
  }
  if (!request->first_chunk) {
    request->first_chunk = now;
    noteWait(*request, now);
  }
  request->attempt->resumes_without_progress = 0;
  request->attempt->resuming_from.reset();
  if (request->caller.stream && !request->caller_gone) {
    effects.emplace_back(CallerChunkEffect{request->caller.id, chunk});
  }
}

void AttemptHandler::noteWait(const Request& request, TimePoint now) {
  const TableRow* row = parts_.rowOf(request);
  if (row == nullptr) {
    return;
  }
  const Duration wait = now - request.attempt->sent;
  const Duration whole = request.deadline - request.arrived;
  parts_.windows.of(request.caller.model).onFirstChunk(wait, whole, parts_.placesOf(*row, now), now);
}

void AttemptHandler::onGap(Request& request, TimePoint now, Effects& effects) {
  // Chunks of the old connection may still arrive behind the gap that a resume is filling already.
  if (request.attempt->resuming_from == request.answer.nextChunk()) {
    return;
  }
  if (!resume(request, now, effects)) {
    retryElsewhere(request, "a chunk is missing", now, effects);
  }
}

void AttemptHandler::onEnd(const AttemptId& attempt, const StreamEnd& end, TimePoint now, Effects& effects) {
  Request* request = parts_.requests.findByAttempt(attempt);
  if (request == nullptr || !request->attempt) {
    ++parts_.counts.late_chunks_dropped;
    return;
  }
  request->attempt->admitted = true;
  progress(*request, now);
  EndVerdict verdict = request->answer.checkEnd(end);
  if (parts_.defects.ignore_chunk_numbers) {
    verdict = EndVerdict::Whole;
  }
  if (verdict == EndVerdict::Gap) {
    onGap(*request, now, effects);
    return;
  }
  if (verdict == EndVerdict::Contradiction) {
    noteHealth(*request, HealthFailure::Failed, now);
    completion_.fail(*request,
                     Failure{ResultCode::StreamBroken, Outcome::Unknown,
                             "the engine counts fewer chunks than it sent", kRetryAfterFailure},
                     now, effects);
    return;
  }
  Replica* replica = parts_.pool.find(request->attempt->replica.slot);
  if (replica != nullptr) {
    replica->health.onSuccess(now);
  }
  const bool one_attempt = request->attempts == 1 && request->first_chunk && !request->caller_slow;
  const bool read_through = one_attempt && !request->attempt->resumed && !request->caller_was_slow;
  if (read_through && replica != nullptr && end.count > 1) {
    replica->speed.onAnswer(now - *request->first_chunk, end.count, now);
  }
  if (one_attempt) {
    const TimePoint sent = request->attempt->sent;
    parts_.estimates.of(request->caller.model)
        .onCompleted(*request->first_chunk - sent, now - sent, end.count);
  }
  completion_.releaseAttempt(*request, now);
  completion_.answer(*request, end, now, effects);
}

bool AttemptHandler::provesNotRun(const Request& request, AttemptFailure failure) const {
  const Attempt& attempt = *request.attempt;
  const bool says_so = failure == AttemptFailure::NotSent || isRefusal(failure);
  if (parts_.defects.trust_failed_resume && says_so) {
    return true;
  }
  if (parts_.defects.retry_without_proof && failure == AttemptFailure::SentNoProof) {
    return true;
  }
  // Once admitted or resumed, a refusal or a failed connect is about the resume, not about the request.
  return says_so && !attempt.admitted && !attempt.resumed;
}

void AttemptHandler::onFailure(const AttemptId& attempt, AttemptFailure failure, const std::string& reason,
                               TimePoint now, Effects& effects) {
  Request* request = parts_.requests.findByAttempt(attempt);
  if (request == nullptr || !request->attempt) {
    return;
  }
  if (provesNotRun(*request, failure)) {
    onNotRun(*request, failure, reason, now, effects);
  } else {
    onMayHaveRun(*request, failure, reason, now, effects);
  }
}

void AttemptHandler::noteHealth(const Request& request, HealthFailure failure, TimePoint now) {
  Replica* replica = parts_.pool.find(request.attempt->replica.slot);
  if (replica != nullptr) {
    replica->health.onFailure(failure, now, parts_.selector.random());
  }
}

void AttemptHandler::onNotRun(Request& request, AttemptFailure failure, const std::string& reason,
                              TimePoint now, Effects& effects) {
  const wire::ReplicaEndpoint endpoint = request.attempt->replica;
  Replica* replica = parts_.pool.find(endpoint.slot);
  bool costs_budget = true;
  if (failure == AttemptFailure::RefusedInvalid) {
    // Every replica would say so; a caller's mistake counts against none of them.
    completion_.releaseAttempt(request, now);
    completion_.fail(request,
                     Failure{ResultCode::InvalidField, request.outcomeIfEndedNow(), reason, std::nullopt},
                     now, effects);
    return;
  }
  if (failure == AttemptFailure::NotSent) {
    noteHealth(request, HealthFailure::Unreachable, now);
    request.selection.failed_zones.insert(endpoint.zone);
  } else if (failure == AttemptFailure::RefusedUnadmitted) {
    noteHealth(request, HealthFailure::Failed, now);
  } else if (replica != nullptr) {
    // These say where to go next, not that something is broken; each replica says so once in a while only.
    costs_budget = false;
    if (failure == AttemptFailure::RefusedFull) {
      replica->full_until = now + kFullRefusalLife;
    } else {
      const bool draining = failure == AttemptFailure::RefusedDraining;
      replica->refused_until = now + (draining ? kDrainingRefusalLife : kNotHeldRefusalLife);
    }
  }
  completion_.releaseAttempt(request, now);
  if (request.caller_gone && request.outcomeIfEndedNow() == Outcome::NotRun) {
    completion_.fail(request, Failure{ResultCode::CallerGone, Outcome::NotRun, reason, std::nullopt}, now,
                     effects);
    return;
  }
  request.last_failure = ResultCode::EngineRefused;
  if (failure != AttemptFailure::RefusedFull) {
    request.selection.tried.insert(endpoint.slot);
  }
  if (!costs_budget) {
    requeue(request, Duration::zero(), now);
    return;
  }
  ++request.failures;
  const bool exhausted = RetryPolicy::exhausted(request.failures);
  if (exhausted || !parts_.retries.spend(request.caller.model)) {
    const ResultCode code = exhausted ? ResultCode::EngineRefused : ResultCode::RetryBudgetSpent;
    completion_.fail(request, Failure{code, request.outcomeIfEndedNow(), reason, kRetryAfterFailure}, now,
                     effects);
    return;
  }
  requeue(request, RetryPolicy::backoff(request.failures, parts_.selector.random()), now);
}

void AttemptHandler::onMayHaveRun(Request& request, AttemptFailure failure, const std::string& reason,
                                  TimePoint now, Effects& effects) {
  noteHealth(request, HealthFailure::Failed, now);
  if (failure != AttemptFailure::EngineError && resume(request, now, effects)) {
    return;
  }
  retryElsewhere(request, reason, now, effects);
}

bool AttemptHandler::resume(Request& request, TimePoint now, Effects& effects) {
  Attempt& attempt = *request.attempt;
  const std::uint32_t most = request.repeatable ? kMostResumesRepeatable : kMostResumesOnce;
  if (attempt.resumes_without_progress >= most) {
    return false;
  }
  attempt.resumed = true;
  const std::uint32_t before = attempt.resumes_without_progress++;
  if (before == 0) {
    sendResume(request, now, effects);
    return true;
  }
  attempt.resume_at = now + kResumeBackoff * (1U << (before - 1));
  timers_.schedule(request, now);
  return true;
}

void AttemptHandler::sendResume(Request& request, TimePoint now, Effects& effects) {
  Attempt& attempt = *request.attempt;
  attempt.resume_at.reset();
  attempt.resuming_from = request.answer.nextChunk();
  attempt.last_progress = now;
  ++parts_.counts.resumed_streams;
  effects.emplace_back(ResumeEffect{attempt.id, attempt.replica, request.answer.nextChunk()});
  if (request.caller_slow) {
    // The new connection is read from the start.
    effects.emplace_back(PauseEffect{attempt.id, true});
  }
  timers_.schedule(request, now);
}

void AttemptHandler::retryElsewhere(Request& request, const std::string& reason, TimePoint now,
                                    Effects& effects) {
  const wire::ReplicaEndpoint endpoint = request.attempt->replica;
  const bool begun = request.answer.nextChunk() > 0;
  completion_.cancelAttempt(request, now, effects);
  request.may_have_run = true;
  request.selection.tried.insert(endpoint.slot);
  ++request.failures;
  const ResultCode broken = begun ? ResultCode::StreamBroken : ResultCode::EngineFailed;
  if (!request.repeatable) {
    completion_.fail(request, Failure{ResultCode::OutcomeUnknown, Outcome::Unknown, reason, std::nullopt},
                     now, effects);
    return;
  }
  if (RetryPolicy::exhausted(request.failures)) {
    completion_.fail(request, Failure{broken, Outcome::Unknown, reason, kRetryAfterFailure}, now, effects);
    return;
  }
  // An answer that has begun goes on without asking the budget: only its rest is left to do.
  if (!begun && !parts_.retries.spend(request.caller.model)) {
    completion_.fail(request,
                     Failure{ResultCode::RetryBudgetSpent, Outcome::Unknown, reason, kRetryAfterFailure}, now,
                     effects);
    return;
  }
  if (begun) {
    ++parts_.counts.moved_streams;
  }
  const bool again = request.failures > 1;
  requeue(request,
          again ? RetryPolicy::backoff(request.failures, parts_.selector.random()) : Duration::zero(), now);
}

void AttemptHandler::requeue(Request& request, Duration backoff, TimePoint now) {
  ++parts_.counts.retries;
  request.phase = RequestPhase::BackingOff;
  request.phase_since = now;
  request.backoff_until = now + backoff;
  parts_.addWaiting(request, now);
  if (backoff == Duration::zero()) {
    admission_.makeReady(request, now);
    return;
  }
  timers_.schedule(request, now);
}

void AttemptHandler::moveAway(Request& request, TimePoint now, Effects& effects) {
  const TableRow* row = parts_.rowOf(request);
  if (!request.repeatable || !request.attempt || row == nullptr) {
    return;
  }
  SelectionRequest elsewhere = request.selection;
  elsewhere.tried.insert(request.attempt->replica.slot);
  const auto target = parts_.selector.select(row->entry, elsewhere, now);
  if (!target || *target == request.attempt->replica.slot) {
    return;
  }
  request.cache_source = CacheSource{request.attempt->id, request.attempt->replica.url};
  request.selection = std::move(elsewhere);
  request.may_have_run = true;
  ++parts_.counts.moved_streams;
  completion_.cancelAttempt(request, now, effects);
  requeue(request, Duration::zero(), now);
}

void AttemptHandler::onCallerBuffer(Request& request, std::size_t bytes, TimePoint now, Effects& effects) {
  const std::size_t limit = parts_.settings.max_caller_buffer_bytes;
  const bool slow = request.caller_slow ? bytes > limit / 2 : bytes > limit;
  if (slow == request.caller_slow) {
    return;
  }
  request.caller_slow = slow;
  request.caller_was_slow = true;
  if (request.attempt) {
    effects.emplace_back(PauseEffect{request.attempt->id, slow});
    request.attempt->last_progress = now;
    timers_.schedule(request, now);
  }
}

void AttemptHandler::onWake(Request& request, TimePoint now, Effects& effects) {
  if (now >= timers_.latestAnswer(request)) {
    if (!request.first_chunk) {
      noteWait(request, now);
    }
    const ResultCode code =
        request.repeatable ? ResultCode::DeadlineExpiredRunning : ResultCode::OutcomeUnknown;
    completion_.fail(request,
                     Failure{code, Outcome::Unknown, "the deadline passed while it ran", std::nullopt}, now,
                     effects);
    return;
  }
  if (request.attempt->resume_at && now >= *request.attempt->resume_at) {
    sendResume(request, now, effects);
    return;
  }
  if (now >= timers_.stallsAt(request)) {
    noteHealth(request, HealthFailure::Stalled, now);
    // A stalled engine rarely wakes up: what may be repeated goes elsewhere at once.
    if (!request.repeatable && resume(request, now, effects)) {
      return;
    }
    retryElsewhere(request, "the engine made no progress", now, effects);
    return;
  }
  timers_.schedule(request, now);
}

}  // namespace ferryrock::router
