#include "router/admission.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "common/hashing.h"

namespace ferryrock::router {
namespace {

/// Deadline of a request whose settings aren't known yet.
constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
constexpr Duration kRetryAfterControlLoss = std::chrono::seconds(2);
constexpr Duration kShortestRetryAfter = std::chrono::seconds(1);
constexpr Duration kRetryAfterNoMemory = std::chrono::seconds(10);
/// Claims of one request after attempts that were not run.
constexpr std::uint32_t kMostClaims = 5;
/// Requests before a new one beyond which counting adds nothing.
constexpr std::size_t kMostCountedAhead = 100'000;

std::uint64_t bodyHash(const CallerRequest& caller) {
  return stableHash(caller.path + "\n" + caller.model.value + "\n" + caller.body);
}

std::uint64_t keyWithin(const ModelName& model, std::uint64_t hash) {
  return stableHash(model.value, hash);
}

Failure controlLost(std::string detail) {
  return Failure{ResultCode::ControlUnavailable, Outcome::NotRun, std::move(detail), kRetryAfterControlLoss};
}

}  // namespace

void Admission::accept(CallerRequest caller, bool draining, TimePoint now, Effects& effects) {
  ++parts_.counts.accepted;
  Request& request = parts_.requests.add(std::move(caller), now);
  request.deadline = now + request.caller.timeout.value_or(kDefaultTimeout);
  request.priority = request.caller.priority.value_or(0);
  if (draining) {
    completion_.fail(request, Failure{ResultCode::RouterDraining, Outcome::NotRun, {}, kShortestRetryAfter},
                     now, effects);
    return;
  }
  parts_.demand.onArrival(request.caller.model, now);
  parts_.link.addInterest(request.caller.model, now);
  resolve(request, now, effects);
}

void Admission::resolve(Request& request, TimePoint now, Effects& effects) {
  if (parts_.table.knownAbsent(request.caller.model)) {
    completion_.fail(request, Failure{ResultCode::UnknownModel, Outcome::NotRun, {}, std::nullopt}, now,
                     effects);
    return;
  }
  const TableRow* row = parts_.rowOf(request);
  if (row != nullptr) {
    admit(request, *row, now, effects);
    return;
  }
  if (!parts_.link.available(now)) {
    completion_.fail(request, controlLost("the name isn't in the router's table"), now, effects);
    return;
  }
  if (parts_.queue.contains(request.number)) {
    timers_.schedule(request, now);
    return;
  }
  const QueueLimits no_service_limits{parts_.settings.max_waiting, parts_.settings.max_waiting_bytes};
  const AdmissionResult result = parts_.queue.admit(parts_.queueItem(request), no_service_limits);
  for (const RequestNumber number : result.shed) {
    Request& victim = *parts_.requests.find(number);
    completion_.fail(victim,
                     Failure{ResultCode::ShedByPriority, victim.outcomeIfEndedNow(), {}, kShortestRetryAfter},
                     now, effects);
  }
  if (!result.admitted) {
    completion_.fail(request, Failure{ResultCode::QueueFull, Outcome::NotRun, {}, kShortestRetryAfter}, now,
                     effects);
    return;
  }
  request.phase = RequestPhase::Resolving;
  timers_.schedule(request, now);
}

void Admission::admit(Request& request, const TableRow& row, TimePoint now, Effects& effects) {
  const wire::ResolvedModel& settings = row.entry.settings;
  parts_.removeWaiting(request, now);
  request.deadline =
      request.arrived + request.caller.timeout.value_or(std::chrono::milliseconds(settings.deadline_ms));
  request.priority = request.caller.priority.value_or(settings.priority);
  request.repeatable = settings.repeatable;
  request.selection.repeatable = settings.repeatable;
  if (!request.caller.session.empty()) {
    request.selection.session_key = keyWithin(request.caller.model, stableHash(request.caller.session));
  }
  if (request.caller.prefix_hash != 0) {
    request.selection.prefix_key = keyWithin(request.caller.model, request.caller.prefix_hash);
  }
  if (const auto refusal = refusalBeforeQueue(request, row, now)) {
    completion_.fail(request, *refusal, now, effects);
    return;
  }
  if (!enqueue(request, row, now, effects)) {
    return;
  }
  parts_.retries.onRequest(request.caller.model, settings.retry_budget);
  if (request.caller.key) {
    startClaim(request, 1, now);
    return;
  }
  makeReady(request, now);
}

std::optional<Failure> Admission::refusalBeforeQueue(Request& request, const TableRow& row, TimePoint now) {
  const wire::ResolvedModel& settings = row.entry.settings;
  if (!request.repeatable && !request.caller.key) {
    return Failure{
        ResultCode::InvalidHeader, Outcome::NotRun,
        "requests to '" + settings.name.value +
            "' may not be repeated: send an Idempotency-Key header with a key that is new for each request",
        std::nullopt};
  }
  if (now >= timers_.latestAnswer(request)) {
    return Failure{ResultCode::DeadlineTooShort, Outcome::NotRun, "no time is left", kShortestRetryAfter};
  }
  if (const auto wait = parts_.limiter.admit(settings.name, settings.max_requests_per_second, now)) {
    return Failure{ResultCode::RateLimited, Outcome::NotRun, {}, std::max(*wait, kShortestRetryAfter)};
  }
  if (request.caller.key && !parts_.link.available(now)) {
    return controlLost("the request's key can't be claimed");
  }
  if (!parts_.hasUsableReplica(row, now)) {
    return loadRefusal(request, row, now);
  }
  return estimateRefusal(request, row, now);
}

std::optional<Failure> Admission::loadRefusal(const Request& request, const TableRow& row,
                                              TimePoint now) const {
  if (!parts_.link.available(now)) {
    return controlLost("no replica is loaded and none can be asked for");
  }
  if (!row.load_outlook_known) {
    return std::nullopt;
  }
  if (row.entry.load_refused) {
    return Failure{ResultCode::NoReplica, Outcome::NotRun, {}, kRetryAfterNoMemory};
  }
  if (row.entry.expected_load_ms == 0) {
    return std::nullopt;
  }
  const TimePoint loaded = row.received + std::chrono::milliseconds(row.entry.expected_load_ms);
  if (loaded < timers_.latestAnswer(request)) {
    return std::nullopt;
  }
  return Failure{
      ResultCode::LoadCannotFinishInTime, Outcome::NotRun, {}, std::max(kShortestRetryAfter, loaded - now)};
}

std::optional<Failure> Admission::estimateRefusal(Request& request, const TableRow& row, TimePoint now) {
  const ModelName& name = request.caller.model;
  const QueueRank rank{request.priority, request.deadline, request.number};
  const std::size_t ahead = parts_.queue.countBefore(name, rank, kMostCountedAhead);
  if (ahead == 0) {
    return std::nullopt;
  }
  const std::size_t places = parts_.windows.of(name).limit(parts_.placesOf(row, now));
  const auto wait = parts_.estimates.of(name).waitingTime(ahead, places);
  if (!wait || now + *wait <= timers_.giveUpAt(request)) {
    return std::nullopt;
  }
  return Failure{ResultCode::DeadlineTooShort, Outcome::NotRun,
                 "the requests before it take longer than its time", std::max(kShortestRetryAfter, *wait)};
}

bool Admission::enqueue(Request& request, const TableRow& row, TimePoint now, Effects& effects) {
  const wire::ResolvedModel& settings = row.entry.settings;
  const QueueLimits limits{settings.max_queue, settings.max_queue_bytes};
  const AdmissionResult result = parts_.queue.admit(parts_.queueItem(request), limits);
  for (const RequestNumber number : result.shed) {
    Request& victim = *parts_.requests.find(number);
    completion_.fail(
        victim, Failure{ResultCode::ShedByPriority, victim.outcomeIfEndedNow(), {}, retryAfter(victim, now)},
        now, effects);
  }
  if (!result.admitted) {
    completion_.fail(request, Failure{ResultCode::QueueFull, Outcome::NotRun, {}, retryAfter(request, now)},
                     now, effects);
    return false;
  }
  parts_.demand.onWaitingChanged(settings.name, now);
  return true;
}

void Admission::startClaim(Request& request, std::uint32_t attempt, TimePoint now) {
  const TableRow* row = parts_.rowOf(request);
  wire::ClaimCommand command;
  command.key = *request.caller.key;
  command.body_hash = bodyHash(request.caller);
  command.attempt = attempt;
  command.router = parts_.settings.node;
  command.request = request.caller.id;
  command.time = parts_.wallTime(now);
  command.retention_ms = row == nullptr ? 0 : row->entry.settings.answer_retention_ms;
  request.phase = RequestPhase::Claiming;
  request.phase_since = now;
  request.claim = ClaimState::Asked;
  // Another call with the key may take this attempt first.
  request.claim_answered = false;
  request.claim_answered = false;
  request.claim_attempt = attempt;
  ++request.claims_tried;
  parts_.claims.claim(request.number, std::move(command), now);
  if (parts_.defects.dispatch_before_claim) {
    request.claim = ClaimState::Granted;
    makeReady(request, now);
    return;
  }
  timers_.schedule(request, now);
}

void Admission::makeReady(Request& request, TimePoint now) {
  request.phase = RequestPhase::Waiting;
  request.backoff_until.reset();
  request.phase_since = now;
  parts_.queue.setReady(request.number, true);
  parts_.dispatch_wanted.insert(request.caller.model);
  timers_.schedule(request, now);
}

void Admission::onClaimAnswer(const ClaimAnswer& answer, TimePoint now, Effects& effects) {
  Request* request = parts_.requests.find(answer.request);
  if (request == nullptr || request->phase != RequestPhase::Claiming) {
    return;
  }
  const wire::CommandResult& result = answer.result;
  request->claim = ClaimState::NotNeeded;
  request->claim_answered = true;
  const auto refuse = [&](ResultCode code, Outcome outcome) {
    completion_.fail(*request, Failure{code, outcome, result.detail, kShortestRetryAfter}, now, effects);
  };
  switch (result.code) {
    case ResultCode::Ok:
      break;
    case ResultCode::ClaimInProgress:
    case ResultCode::OutcomeUnknown:
      return refuse(result.code, Outcome::Unknown);
    case ResultCode::AnswerNoLongerKept:
      return refuse(result.code, Outcome::Ran);
    default:
      return refuse(result.code, Outcome::NotRun);
  }
  switch (result.outcome) {
    case wire::ClaimOutcome::Open:
      if (result.attempt != request->claim_attempt) {
        return refuse(ResultCode::ClaimInProgress, Outcome::Unknown);
      }
      request->claim = ClaimState::Granted;
      return makeReady(*request, now);
    case wire::ClaimOutcome::Ran:
      return completion_.replay(*request, result.answer, now, effects);
    case wire::ClaimOutcome::NotRun:
      if (request->claims_tried >= kMostClaims) {
        return refuse(ResultCode::ClaimInProgress, Outcome::Unknown);
      }
      return startClaim(*request, result.attempt + 1, now);
    case wire::ClaimOutcome::Unknown:
      break;
  }
  refuse(ResultCode::OutcomeUnknown, Outcome::Unknown);
}

void Admission::onRowChanged(const ModelName& name, TimePoint now, Effects& effects) {
  const TableRow* row = parts_.table.find(name);
  parts_.pool.setReplicas(name, row == nullptr ? std::vector<wire::ReplicaEndpoint>{} : row->entry.replicas,
                          now);
  parts_.dispatch_wanted.insert(name);
  const bool usable = row != nullptr && parts_.hasUsableReplica(*row, now);
  for (const RequestNumber number : parts_.queue.waitingOf(name)) {
    Request* request = parts_.requests.find(number);
    if (request == nullptr) {
      continue;
    }
    if (request->phase == RequestPhase::Resolving) {
      resolve(*request, now, effects);
      continue;
    }
    if (row == nullptr || usable || request->attempts > 0) {
      continue;
    }
    if (const auto refusal = loadRefusal(*request, *row, now)) {
      completion_.fail(*request, *refusal, now, effects);
    }
  }
}

void Admission::onControlLost(TimePoint now, Effects& effects) {
  for (const RequestNumber number : parts_.requests.numbers()) {
    Request* request = parts_.requests.find(number);
    if (request == nullptr || request->attempts > 0) {
      continue;
    }
    const TableRow* row = parts_.rowOf(*request);
    const bool claiming = request->phase == RequestPhase::Claiming;
    const bool needs_load = row == nullptr || !parts_.hasUsableReplica(*row, now);
    if (claiming || needs_load) {
      completion_.fail(*request, controlLost("the request waited for the control cell"), now, effects);
    }
  }
}

void Admission::onWake(Request& request, TimePoint now, Effects& effects) {
  if (now >= timers_.giveUpAt(request)) {
    completion_.fail(request, expiry(request, now), now, effects);
    return;
  }
  if (now >= timers_.controlTimeoutAt(request)) {
    completion_.fail(request, controlLost("the control cell didn't answer"), now, effects);
    return;
  }
  if (request.backoff_until && now >= *request.backoff_until) {
    makeReady(request, now);
    return;
  }
  timers_.schedule(request, now);
}

Failure Admission::expiry(const Request& request, TimePoint now) const {
  Failure failure;
  failure.outcome = request.outcomeIfEndedNow();
  failure.retry_after = retryAfter(request, now);
  const TableRow* row = parts_.rowOf(request);
  if (failure.outcome == Outcome::Unknown) {
    failure.code =
        request.answer.nextChunk() > 0 ? ResultCode::StreamBroken : ResultCode::DeadlineExpiredRunning;
    failure.code = request.repeatable ? failure.code : ResultCode::OutcomeUnknown;
  } else if (row != nullptr && !parts_.hasUsableReplica(*row, now)) {
    failure.code = ResultCode::LoadCannotFinishInTime;
  } else {
    failure.code = ResultCode::DeadlineExpiredInQueue;
  }
  return failure;
}

Duration Admission::retryAfter(const Request& request, TimePoint now) const {
  const TableRow* row = parts_.rowOf(request);
  if (row == nullptr) {
    return kShortestRetryAfter;
  }
  if (!parts_.hasUsableReplica(*row, now)) {
    const TimePoint loaded = row->received + std::chrono::milliseconds(row->entry.expected_load_ms);
    return std::max(kShortestRetryAfter, loaded - now);
  }
  const std::size_t places = row->entry.replicas.size() * row->entry.settings.concurrency;
  const auto wait =
      parts_.estimates.of(request.caller.model).waitingTime(parts_.queue.count(request.caller.model), places);
  return std::max(kShortestRetryAfter, wait.value_or(kShortestRetryAfter));
}

}  // namespace ferryrock::router
