#include <algorithm>
#include <utility>

#include "calls/call_router.h"
#include "quarantine/call_fingerprint.h"

/// The part of CallRouter that handles attempts: responses, events, failures and retries.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// Maximum number of refusals by replicas that didn't run the call, before the caller is refused.
constexpr std::uint32_t kMaxRefusals = 3;
/// A replica that refused a call because it is full or draining gets no calls for this time.
constexpr Duration kRefusalBackoff = 100ms;
/// Minimum time that a call needs on a replica; with less time left it isn't sent.
constexpr Duration kMinTimeLeft = 5ms;
constexpr int kFirstErrorStatus = 500;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
/// Minimum interval between two log lines about unreadable notices.
constexpr Duration kUnreadableLogInterval = 1s;
/// Number of gaps in a stream that are averaged. Averaging is needed because a router that gets a tenth of a
/// core reads two or three events at once.
constexpr int kGapsPerMean = 8;

std::string_view view(const std::string& text) {
  return text;
}

}  // namespace

std::optional<CallRouter::CallPointer> CallRouter::findCall(AttemptNumber attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return std::nullopt;
  }
  return calls_.find(found->second);
}

void CallRouter::onPromptPrefilled(Attempt& attempt) {
  if (attempt.pending_prefill_tokens == 0) {
    return;
  }
  if (Replica* replica = replicas_.find(attempt.replica)) {
    replica->pending_prefill_tokens -=
        std::min(replica->pending_prefill_tokens, attempt.pending_prefill_tokens);
  }
  attempt.pending_prefill_tokens = 0;
}

void CallRouter::onAttemptAccepted(Attempt& attempt) {
  if (const std::uint64_t round = std::exchange(attempt.reopening_round, 0)) {
    replicas_.notices().onAccepted(attempt.replica, round);
    dispatch_pending_ = dispatch_pending_ || !waiting_.empty();
  }
}

/// Ends the attempt. Returns nullptr if the replica was removed from the table because the leader no longer
/// lists it.
Replica* CallRouter::release(Call& call) {
  onPromptPrefilled(*call.attempt);
  const Attempt attempt = *call.attempt;
  paths_[call.need.service].onReleased(attempt.number);
  if (attempt.relay) {
    relays_.onReleased(*attempt.relay);
  }
  if (attempt.reopening_round != 0) {
    replicas_.notices().onNotAccepted(attempt.replica, attempt.reopening_round);
  }
  call.attempt.reset();
  call.trial_of.reset();
  attempts_.erase(attempt.number);
  Replica* replica = replicas_.find(attempt.replica);
  if (replica == nullptr) {
    return nullptr;
  }
  replicas_.onReleased(*replica);
  dispatch_pending_ = dispatch_pending_ || !waiting_.empty();
  return replicas_.find(attempt.replica);
}

Effects CallRouter::onAnswer(AttemptNumber attempt, const AnswerSummary& answer, TimePoint now) {
  const auto call = findCall(attempt);
  if (!call) {
    return finish(now);
  }
  Call& state = (*call)->second;
  const ReplicaId replica_id = state.attempt->replica;
  const bool repeated = state.attempt->repeated;
  if (!answer.proven_not_run) {
    onAttemptAccepted(*state.attempt);
  }
  recordProgress(state, now);
  Replica* replica = release(state);
  if (answer.proven_not_run) {
    state.sendings.onProvenNotRun();
    if (replica != nullptr && answer.status == kMisdirected && !state.need.model.empty()) {
      replica->recordMissing(state.need.model, state.need.adapter, now);
    } else if (replica != nullptr && !replicas_.notices().closedUntil(replica_id, now)) {
      replica->refused_until = now + kRefusalBackoff;
      replicas_.brittle().onRefused(replica_id, replica->outstanding, now);
    }
    counts_.repeated_refusals += repeated ? 1 : 0;
    log_.write(LogLevel::Info, "call.refused_by_replica",
               {{"request", view(state.request.id.value)},
                {"replica", view(replica_id.value)},
                {"repeated", repeated},
                {"status", static_cast<std::int64_t>(answer.status)}});
    constexpr bool kReachedReplica = true;
    retryNotRun(*call, ResultCode::ReplicaRefused, kReachedReplica, now);
    return finish(now);
  }
  recordPossibleRun(state);
  if (answer.claims_not_run) {
    ++counts_.unproven_refusals;
    log_.write(LogLevel::Warning, "call.refusal_unproven",
               {{"request", view(state.request.id.value)},
                {"replica", view(replica_id.value)},
                {"repeated", repeated},
                {"status", static_cast<std::int64_t>(answer.status)}});
  }
  const bool failed = answer.status >= kFirstErrorStatus;
  const std::vector<quarantine::Suspect> no_traits;
  recordAnswer(state, failed ? no_traits : state.traits, replica, answer.ends_with_connection, now);
  const bool in_backoff =
      answer.status == kUnavailable && replicas_.notices().closedUntil(replica_id, now).has_value();
  if (replica != nullptr && failed && !in_backoff) {
    replica->health.onFailure(router::HealthFailure::Failed, now, random_);
  } else if (replica != nullptr && !failed) {
    replica->health.onSuccess(now);
  }
  // The replica's answer can't be kept while the call waits for a credit.
  const bool again = (failed || answer.claims_not_run) && mayRetry(state) &&
                     state.deadline - now > kMinTimeLeft && budget_.covers(state.need.service, now);
  if (again) {
    ++counts_.retries;
    state.failure_reason = "the replica answered with an error";
    dispatch(*call, now);
  } else if (answer.claims_not_run) {
    refuseUnproven(*call, replica_id, answer.status, now);
  } else {
    deliver(*call, attempt, answer.status, now);
  }
  return finish(now);
}

/// To a caller the status would be a promise that the call hasn't run, which the replica hasn't made.
void CallRouter::refuseUnproven(CallPointer call, const ReplicaId& replica, int status, TimePoint now) {
  const auto closed_until = replicas_.notices().closedUntil(replica, now);
  refuse(call, ResultCode::ReplicaFailed,
         "the replica answered " + std::to_string(status) + " without stating that it didn't run the call",
         closed_until ? std::optional(*closed_until - now) : std::nullopt, now);
}

Effects CallRouter::onHead(AttemptNumber attempt, const ReplicaNotice& notice, TimePoint now) {
  const auto call = findCall(attempt);
  if (!call) {
    return finish(now);
  }
  Attempt& answered = *(*call)->second.attempt;
  answered.has_head = true;
  if (!notice.empty() || replicas_.limits().isLimited(answered.replica) ||
      replicas_.brittle().isBrittle(answered.replica)) {
    applyNotice(answered.replica, notice, answered.sent, now);
  }
  return finish(now);
}

Effects CallRouter::onNotice(const ReplicaId& replica, const ReplicaNotice& notice, TimePoint now) {
  applyNotice(replica, notice, std::nullopt, now);
  return finish(now);
}

void CallRouter::applyNotice(const ReplicaId& replica, const ReplicaNotice& notice,
                             std::optional<TimePoint> sent, TimePoint now) {
  const ReplicaNotices::Change change = replicas_.notices().accept(replica, notice, now);
  if (change == ReplicaNotices::Change::Leaving) {
    ++counts_.leaving_notices;
    log_.write(LogLevel::Info, "replica.leaving_told", {{"replica", view(replica.value)}});
  }
  const auto closed_until = replicas_.notices().closedUntil(replica, now);
  if (notice.retry_after && closed_until) {
    ++counts_.backoffs;
    log_.write(LogLevel::Info, "replica.backoff",
               {{"replica", view(replica.value)},
                {"asked_ms", toMilliseconds(*notice.retry_after)},
                {"closed_for_ms", toMilliseconds(*closed_until - now)},
                {"waiting", static_cast<std::int64_t>(waiting_.size())}});
  }
  applyLimit(replica, notice, sent, now);
  applyBrittleness(replica, notice, now);
  logUnreadableHeaders(replica, notice, now);
}

void CallRouter::applyLimit(const ReplicaId& replica, const ReplicaNotice& notice,
                            std::optional<TimePoint> sent, TimePoint now) {
  ReplicaLimits& limits = replicas_.limits();
  ReplicaLimits::Change change = ReplicaLimits::Change::None;
  if (notice.calls_per_second) {
    change = limits.recordLimit(replica, *notice.calls_per_second, sent, now);
  } else if (notice.limit_absent && sent) {
    change = limits.recordNoLimit(replica, *sent);
  }
  if (change == ReplicaLimits::Change::Ended) {
    log_.write(LogLevel::Info, "replica.limit_ended", {{"replica", view(replica.value)}});
  } else if (change != ReplicaLimits::Change::None) {
    ++counts_.limit_changes;
    log_.write(LogLevel::Info, "replica.limit",
               {{"replica", view(replica.value)},
                {"calls_per_second", *limits.limitOf(replica)},
                {"first", change == ReplicaLimits::Change::Added}});
  }
}

void CallRouter::applyBrittleness(const ReplicaId& id, const ReplicaNotice& notice, TimePoint now) {
  BrittleReplicas& brittle = replicas_.brittle();
  const Replica* replica = replicas_.find(id);
  if (notice.brittle_refusals && replica != nullptr) {
    if (brittle.record(id, *notice.brittle_refusals, replica->routed.slots, now)) {
      ++counts_.brittle_changes;
      log_.write(LogLevel::Info, "replica.brittle",
                 {{"replica", view(id.value)},
                  {"refusals_per_second", *notice.brittle_refusals},
                  {"outstanding", static_cast<std::int64_t>(replica->outstanding)}});
    }
  } else if (notice.brittle_absent && brittle.isBrittle(id)) {
    brittle.forget(id);
    log_.write(LogLevel::Info, "replica.brittle_ended", {{"replica", view(id.value)}});
  }
}

void CallRouter::logUnreadableHeaders(const ReplicaId& replica, const ReplicaNotice& notice, TimePoint now) {
  counts_.unknown_notice_headers += notice.unknown_header.empty() ? 0 : 1;
  const bool unread = !notice.malformed_retry_after.empty() || !notice.malformed_limit.empty() ||
                      !notice.malformed_brittle.empty() || !notice.unknown_header.empty();
  if (!unread || now < next_unreadable_log_) {
    return;
  }
  next_unreadable_log_ = now + kUnreadableLogInterval;
  log_.write(LogLevel::Warning, "replica.notice_unread",
             {{"replica", view(replica.value)},
              {"retry_after", view(notice.malformed_retry_after)},
              {"limit", view(notice.malformed_limit)},
              {"brittle", view(notice.malformed_brittle)},
              {"unknown_header", view(notice.unknown_header)}});
}

Effects CallRouter::onStreamEvent(AttemptNumber attempt, std::optional<std::uint64_t> id, std::string bytes,
                                  TimePoint now) {
  const auto call = findCall(attempt);
  if (!call) {
    return finish(now);
  }
  Call& state = (*call)->second;
  recordProgress(state, now);
  if (++state.attempt->events == 1) {
    recordBegunAnswer(state.traits, state.request.id, now);
  }
  onPromptPrefilled(*state.attempt);
  onAttemptAccepted(*state.attempt);
  const bool known = id && state.last_event && *id <= *state.last_event;
  if (!known) {
    recordSource(state, now);
    state.last_event = id ? id : state.last_event;
    startStream(*call, attempt, now);
    recordGap(state, now);
    effects_.emplace_back(PassEventEffect{(*call)->first, attempt, std::move(bytes)});
  }
  return finish(now);
}

void CallRouter::onReadingPaused(AttemptNumber attempt) {
  if (const auto call = findCall(attempt)) {
    paths_[(*call)->second.need.service].onPaused(attempt);
  }
}

void CallRouter::onReadingResumed(AttemptNumber attempt, TimePoint now) {
  if (const auto call = findCall(attempt)) {
    Call& state = (*call)->second;
    paths_[state.need.service].onResumed(attempt, now);
    state.last_event_at = now;
    state.attempt->measured_events = 0;
    state.attempt->measured_since = {};
  }
}

/// Records the gap since the previous event. The first event is read together with the headers, so it
/// provides no gap.
void CallRouter::recordGap(Call& call, TimePoint now) {
  const Duration gap = now - std::exchange(call.last_event_at, now);
  call.longest_gap = std::max(call.longest_gap, gap);
  Attempt& attempt = *call.attempt;
  Replica* replica = replicas_.find(attempt.replica);
  if (replica == nullptr || call.need.model.empty()) {
    return;
  }
  if (gap > Duration::zero()) {
    replica->recordGap(call.need.model, gap);
  }
  if (attempt.measured_since == TimePoint{}) {
    attempt.measured_since = now;
  } else if (++attempt.measured_events == kGapsPerMean) {
    replica->recordMeanGap(call.need.model,
                           (now - std::exchange(attempt.measured_since, now)) / kGapsPerMean);
    attempt.measured_events = 0;
  }
}

void CallRouter::startStream(CallPointer call, AttemptNumber attempt, TimePoint now) {
  Call& state = call->second;
  if (std::exchange(state.started, true)) {
    return;
  }
  state.last_event_at = now;
  log_.write(LogLevel::Info, "call.stream_started",
             {{"request", view(state.request.id.value)},
              {"replica", view(state.attempt->replica.value)},
              {"after_ms", toMilliseconds(now - state.arrived)}});
  effects_.emplace_back(StartStreamEffect{call->first, attempt});
}

Effects CallRouter::onStreamEnd(AttemptNumber attempt, bool ends_with_connection, TimePoint now) {
  const auto call = findCall(attempt);
  if (!call) {
    return finish(now);
  }
  Call& state = (*call)->second;
  recordProgress(state, now);
  startStream(*call, attempt, now);
  onAttemptAccepted(*state.attempt);
  const std::uint64_t events = state.attempt->events;
  Replica* replica = release(state);
  if (replica != nullptr) {
    replica->health.onSuccess(now);
  }
  recordAnswer(state, {}, replica, ends_with_connection, now);
  recordStreamDuration(state, now);
  ++counts_.answered;
  log_.write(LogLevel::Info, "call.stream_finished",
             {{"request", view(state.request.id.value)},
              {"took_ms", toMilliseconds(now - state.arrived)},
              {"events", static_cast<std::int64_t>(events)},
              {"longest_pause_ms", toMilliseconds(state.longest_gap)},
              {"attempts", static_cast<std::int64_t>(state.attempts)}});
  effects_.emplace_back(FinishStreamEffect{(*call)->first});
  erase(*call);
  return finish(now);
}

void CallRouter::recordStreamDuration(const Call& call, TimePoint now) {
  // Weight of 1/16 for the new value in the moving average.
  constexpr int kWeight = 16;
  const Duration took = now - call.arrived;
  const auto [mean, inserted] = stream_durations_.try_emplace(call.route->name, took);
  if (!inserted) {
    mean->second += (took - mean->second) / kWeight;
  }
}

Effects CallRouter::onFailure(AttemptNumber attempt, AttemptFailure failure, const std::string& reason,
                              TimePoint now) {
  const auto call = findCall(attempt);
  if (!call) {
    return finish(now);
  }
  Call& state = (*call)->second;
  const bool not_run = failure == AttemptFailure::NotSent || failure == AttemptFailure::RelayFailed;
  log_.write(LogLevel::Warning, "call.attempt_failed",
             {{"request", view(state.request.id.value)},
              {"fingerprint", quarantine::toText(state.request.fingerprint)},
              {"replica", view(state.attempt->replica.value)},
              {"relay", state.attempt->relay ? view(state.attempt->relay->value) : std::string_view()},
              {"proved_unrun", not_run},
              {"head", state.attempt->has_head},
              {"events", static_cast<std::int64_t>(state.attempt->events)},
              {"reason", view(reason)},
              {"after_ms", toMilliseconds(now - state.attempt->sent)}});
  if (not_run && state.attempt->with_credit) {
    replicas_.limits().returnCredit(state.attempt->replica);
  }
  const Attempt attempt_state = *state.attempt;
  const auto trial_of = state.trial_of;
  const ReplicaId replica_id = attempt_state.replica;
  const Replica* failed = replicas_.find(replica_id);
  const std::string address = failed == nullptr ? std::string() : failed->routed.address;
  release(state);
  recordPathFailure(attempt_state, failure, state.need.service, address, now);
  if (not_run) {
    state.sendings.onProvenNotRun();
    state.trial_of = trial_of;
    --state.arrivals;
    if (attempt_state.charge) {
      budget_.refund(state.need.service, *attempt_state.charge);
    }
    constexpr bool kReachedReplica = false;
    retryNotRun(*call, ResultCode::NoReplica, kReachedReplica, now);
  } else {
    recordPossibleRun(state);
    state.failure_reason = reason;
    state.last_failure = ResultCode::ReplicaFailed;
    if (!address.empty()) {
      probe(state, attempt_state, address, now);
    }
    if (state.probed_replica) {
      setTimer(*call);
    } else {
      retryPossiblyRun(*call, ResultCode::ReplicaFailed, reason, now);
    }
  }
  return finish(now);
}

/// The last attempt certainly didn't run, so the call may be sent to another replica whatever its kind. While
/// no attempt has reached a replica, a further one puts no load on the service that the retry budget counts;
/// it is limited only by ejections and the call's deadline.
void CallRouter::retryNotRun(CallPointer call, ResultCode reason, bool reached_replica, TimePoint now) {
  Call& state = call->second;
  --state.attempts;
  state.refusals += reached_replica ? 1 : 0;
  state.last_failure = reason;
  const bool tries_left = state.refusals < kMaxRefusals && state.deadline - now > kMinTimeLeft;
  if (tries_left && (state.arrivals == 0 || retryBudgetAllows(state, now))) {
    ++counts_.retries;
    dispatchRetry(call, now);
  } else if (state.started) {
    breakStream(call, "no replica accepted the rest of the stream", now);
  } else {
    refuse(call, tries_left ? ResultCode::RetryBudgetSpent : reason,
           "replicas refused the call before running it", retryTimeAfterRefusals(state, now), now);
  }
}

bool CallRouter::isRepeatable(const Call& call) {
  return call.route->kind == wire::CallKind::Repeatable ||
         (call.route->kind == wire::CallKind::Streaming && call.route->resumable);
}

/// Attempts whose replica crashed aren't counted, so that a call which lost several replicas to crashes
/// caused by other calls may be retried.
bool CallRouter::mayRetry(const Call& call) {
  return isRepeatable(call) && call.attempts - call.crashed_attempts < call.route->max_attempts;
}

void CallRouter::retryPossiblyRun(CallPointer call, ResultCode reason, const std::string& detail,
                                  TimePoint now) {
  Call& state = call->second;
  const bool again = mayRetry(state) && state.deadline - now > kMinTimeLeft && retryBudgetAllows(state, now);
  if (again) {
    ++counts_.retries;
    counts_.resumed += state.started ? 1 : 0;
    dispatchRetry(call, now);
  } else if (state.started) {
    breakStream(call, detail, now);
  } else {
    refuse(call, reason, detail, std::nullopt, now);
  }
}

void CallRouter::deliver(CallPointer call, AttemptNumber attempt, int status, TimePoint now) {
  Call& state = call->second;
  ++counts_.answered;
  log_.write(LogLevel::Info, "call.answered",
             {{"request", view(state.request.id.value)},
              {"status", static_cast<std::int64_t>(status)},
              {"took_ms", toMilliseconds(now - state.arrived)},
              {"attempts", static_cast<std::int64_t>(state.attempts)}});
  effects_.emplace_back(DeliverAnswerEffect{call->first, attempt});
  erase(call);
}

void CallRouter::refuse(CallPointer call, ResultCode code, const std::string& detail,
                        std::optional<Duration> retry_after, TimePoint now) {
  Call& state = call->second;
  if (state.started) {
    breakStream(call, detail, now);
    return;
  }
  if (state.attempt) {
    log_.write(LogLevel::Error, "call.refused_while_running",
               {{"request", view(state.request.id.value)}, {"replica", view(state.attempt->replica.value)}});
    effects_.emplace_back(CancelAttemptEffect{state.attempt->number});
  }
  ++counts_.refused;
  counts_.backoff_refused += code == ResultCode::ReplicaBackoff ? 1 : 0;
  counts_.limit_refused += code == ResultCode::ReplicaLimited ? 1 : 0;
  log_.write(LogLevel::Warning, "call.refused",
             {{"request", view(state.request.id.value)},
              {"code", static_cast<std::int64_t>(code)},
              {"name", resultCodeInfo(code).name},
              {"tenant", state.tenant ? view(state.tenant->value) : std::string_view()},
              {"not_run", !state.sendings.mayHaveRun()},
              {"detail", view(detail)},
              {"retry_after_ms", retry_after ? toMilliseconds(*retry_after) : -1},
              {"took_ms", toMilliseconds(now - state.arrived)},
              {"attempts", static_cast<std::int64_t>(state.attempts)}});
  returnCredit(state, now);
  effects_.emplace_back(RefuseCallEffect{call->first, code, state.sendings.proof(), retry_after, detail});
  erase(call);
}

void CallRouter::breakStream(CallPointer call, const std::string& reason, TimePoint now) {
  ++counts_.broken;
  log_.write(LogLevel::Warning, "call.stream_broken",
             {{"request", view(call->second.request.id.value)},
              {"reason", view(reason)},
              {"took_ms", toMilliseconds(now - call->second.arrived)}});
  effects_.emplace_back(BreakStreamEffect{call->first});
  erase(call);
}

}  // namespace ferryrock::calls
