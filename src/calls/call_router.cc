#include "calls/call_router.h"

#include <algorithm>
#include <utility>

#include "quarantine/call_fingerprint.h"

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// Minimum time that a call needs on a replica; with less time left it isn't sent.
constexpr Duration kMinTimeLeft = 5ms;
/// Maximum wait for the first catalog, as a time and as a share of the call's time limit.
constexpr Duration kCatalogWait = 1500ms;
constexpr double kCatalogWaitShare = 0.5;
constexpr Duration kCrashExpiryInterval = 1s;
constexpr Duration kRetryImmediately = 10ms;
constexpr Duration kRetrySoon = 200ms;
constexpr Duration kRetryLater = 1s;

Duration scaled(Duration duration, double share) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * share));
}

std::string_view view(const std::string& text) {
  return text;
}

/// Returns what of the retry budget an attempt was charged to, as text for log lines.
std::string_view chargeName(std::optional<RetryCharge> charge) {
  if (!charge) {
    return "";
  }
  return *charge == RetryCharge::Credit ? "credit" : "own_share";
}

tenancy::QuotaClientSettings quotaSettings(const CallRouterSettings& settings) {
  return {settings.feed.router, settings.feed.incarnation, settings.quota_tolerance, settings.seed};
}

}  // namespace

CallRouter::CallRouter(const CallRouterSettings& settings, EventLog& log, TimePoint now)
    : settings_(settings),
      log_(log),
      random_(settings.seed),
      feed_(settings.feed),
      budget_(settings.retries, settings.feed.incarnation),
      quota_(quotaSettings(settings)),
      replicas_(settings.feed.zone, settings.seed,
                {settings.feed.router, settings.feed.incarnation, settings.seed}),
      relays_(settings.feed.zone),
      started_at_(now),
      crashes_(settings.quarantine) {}

Effects CallRouter::onCall(CallRequest request, TimePoint now) {
  ++counts_.accepted;
  const CallNumber number = request.number;
  const CallPointer call = calls_.emplace(number, Call{}).first;
  Call& state = call->second;
  state.request = std::move(request);
  state.arrived = now;
  state.deadline = now + state.request.time_limit.value_or(30s);
  if (calls_.size() > settings_.max_calls) {
    refuse(call, ResultCode::QueueFull, "the router has reached its limit of open calls", kRetrySoon, now);
    return finish(now);
  }
  const Duration whole = state.deadline - now;
  state.wait_deadline = now + std::min(kCatalogWait, scaled(whole, kCatalogWaitShare));
  if (routes_) {
    routeCall(call, now);
    return finish(now);
  }
  // A router that has just started receives its catalog within a short time.
  unrouted_.insert(number);
  state.last_failure = ResultCode::NoCatalog;
  setTimer(call);
  return finish(now);
}

void CallRouter::routeUnroutedCalls(TimePoint now) {
  for (const CallNumber number : std::exchange(unrouted_, {})) {
    const CallPointer call = calls_.find(number);
    if (call != calls_.end()) {
      routeCall(call, now);
    }
  }
}

void CallRouter::routeCall(CallPointer call, TimePoint now) {
  Call& state = call->second;
  const wire::CallRoute* route = routes_->find(state.request.host, state.request.path);
  if (route == nullptr) {
    refuse(call, ResultCode::UnknownRoute, state.request.host + state.request.path, std::nullopt, now);
    return;
  }
  const wire::Tenant* tenant = nullptr;
  if (!identifyTenant(call, *route, tenant, now)) {
    return;
  }
  state.routes = routes_;
  state.route = route;
  state.priority = route->priority;
  state.deadline = std::min(state.deadline, state.arrived + std::chrono::milliseconds(route->timeout_ms));
  if (refuseAfterDrain(call, now)) {
    return;
  }
  if (tenant == nullptr || charge(call, *tenant, now)) {
    beginCall(call, now);
  }
}

/// Another router can take a call that hasn't run; a stream that has begun, or a call that may have run, has
/// its only chance here.
bool CallRouter::refuseAfterDrain(CallPointer call, TimePoint now) {
  const Call& state = call->second;
  if (now < refuse_from_ || state.deadline <= drain_end_ || state.started || state.sendings.mayHaveRun()) {
    return false;
  }
  refuse(call, ResultCode::RouterDraining, "the call's deadline is after the end of the router's drain",
         kRetryImmediately, now);
  return true;
}

void CallRouter::beginCall(CallPointer call, TimePoint now) {
  Call& state = call->second;
  state.traits =
      quarantine::traitsOf({state.request.shared_parts, state.request.model.value, state.request.adapter});
  const std::vector<quarantine::Suspect> suspects = quarantinedSuspects(state);
  const quarantine::Suspect* tested = testedBy(suspects);
  if (!suspects.empty() && (tested == nullptr || !mayRequestTrial(tested->fingerprint, now))) {
    refuseQuarantined(call, suspects, now);
    return;
  }
  const wire::CallRoute* route = state.route;
  if (resumesStream(state) && !findSource(call, now)) {
    return;
  }
  if (state.origin && !routesTo(*route, state.origin->service)) {
    refuseVersionGone(call, "the route no longer leads to the service that began the stream", now);
    return;
  }
  state.need.service = state.origin ? state.origin->service : split_.next(*route);
  const wire::HostedService* service = state.routes->findService(state.need.service);
  if (service != nullptr && service->engine) {
    state.need.model = state.request.model;
    state.need.adapter = state.request.adapter;
    state.need.prompt_tokens = state.request.prompt_tokens;
    state.need.shared_tokens = state.request.shared_tokens;
    const auto stream_duration = stream_durations_.find(route->name);
    state.need.stream_duration =
        stream_duration == stream_durations_.end() ? Duration::zero() : stream_duration->second;
    state.need.affinity_key = route->affinity ? state.request.affinity_key : 0;
    if (!state.need.model.empty()) {
      ++arrivals_[{state.need.service, state.need.model, state.need.adapter}];
      interests_.record(state.need.service, state.need.model, state.need.adapter, now);
    }
  }
  budget_.onCall(state.need.service, now);
  log_.write(LogLevel::Info, "call.admitted",
             {{"request", view(state.request.id.value)},
              {"fingerprint", quarantine::toText(state.request.fingerprint)},
              {"route", view(route->name.value)},
              {"service", view(state.need.service.value)},
              {"model", view(state.need.model.value)},
              {"adapter", view(state.need.adapter)},
              {"parts", joined(state.request.shared_parts)},
              {"tenant", state.tenant ? view(state.tenant->value) : std::string_view()},
              {"catalog", static_cast<std::int64_t>(state.routes->version().value)},
              {"time_left_ms", toMilliseconds(state.deadline - now)}});
  dispatch(call, now);
}

void CallRouter::dispatch(CallPointer call, TimePoint now) {
  Call& state = call->second;
  state.retry_at.reset();
  if (state.tenant && !revalidateTenant(call, now)) {
    return;
  }
  if (!passQuarantine(call, now)) {
    return;
  }
  if (state.deadline - now < kMinTimeLeft) {
    refuse(call, ResultCode::DeadlineTooShort, "the remaining time is too short to run the call",
           std::nullopt, now);
    return;
  }
  if (refuseAfterDrain(call, now) || waitForTrial(call, now)) {
    return;
  }
  selectCredit(state, now);
  updatePaths(now);
  const Choice choice = replicas_.choose(state.need, now);
  if (choice.replica == nullptr) {
    if (refuseWithoutVersion(call, choice, now)) {
      return;
    }
    obtainCredit(call, choice, now);
    if (!refuseUnreachable(call, choice, now)) {
      waitForReplica(call, choice, now);
    }
    return;
  }
  std::optional<RetryCharge> charge;
  if (state.arrivals == 0 || coverRetry(call, charge, now)) {
    for (const ReplicaId& limited : choice.limited) {
      replicas_.limits().requestSpareCredit(limited, now);
    }
    sendTo(call, choice, charge, now);
  }
}

void CallRouter::sendTo(CallPointer call, const Choice& choice, std::optional<RetryCharge> charge,
                        TimePoint now) {
  Call& state = call->second;
  Replica& replica = *choice.replica;
  const std::optional<balance::FleetLoad>& use = choice.use;
  const std::optional<Relay> relay = choice.relayed ? chooseRelay(state.need.service, now) : std::nullopt;
  waiting_.erase(call->first);
  chargeRetry(state, now);
  const AttemptNumber number{next_attempt_++};
  Attempt attempt;
  attempt.number = number;
  attempt.replica = replica.routed.id;
  attempt.repeated = !state.addresses.insert(replica.routed.address).second;
  attempt.sent = now;
  attempt.charge = charge;
  ++state.arrivals;
  if (relay) {
    attempt.relay = relay->router;
    relays_.onSent(relay->router);
    ++counts_.relayed;
  } else {
    paths_[state.need.service].onSent(number, replica.routed.id, now);
  }
  attempt.pending_prefill_tokens = state.need.prompt_tokens;
  replica.pending_prefill_tokens += state.need.prompt_tokens;
  replica.sent_tokens += state.need.prompt_tokens;
  state.need.tried.insert(replica.routed.id);
  ++state.attempts;
  ++counts_.attempts;
  attempts_[number] = call->first;
  consumeCredit(state, attempt, now);
  if (const auto reopening = replicas_.onSent(replica, now)) {
    attempt.reopening_round = reopening->round;
    logReopening(replica.routed.id, *reopening);
  }
  state.attempt = attempt;
  state.sendings.onSent();
  spendTrialGrant(state);
  SendAttemptEffect effect;
  effect.call = call->first;
  effect.attempt = number;
  effect.replica = replica.routed.id;
  effect.address = replica.routed.address;
  effect.relay = relay;
  effect.fresh_connection = attempt.repeated;
  effect.time_left = state.deadline - now;
  effect.streaming = state.route->kind == wire::CallKind::Streaming;
  effect.priority = state.priority;
  effect.tenant = state.tenant;
  effect.withhold_key = state.routes->keys().requiresKeys();
  effect.resume_after = state.last_event ? state.last_event : state.request.resume_after;
  if (state.origin && state.request.resume_after) {
    logResumedStream(state, replica);
  }
  log_.write(
      LogLevel::Info, "call.sent",
      {{"request", view(state.request.id.value)},
       {"attempt", static_cast<std::int64_t>(state.attempts)},
       {"replica", view(replica.routed.id.value)},
       {"version", replica.routed.version ? view(*replica.routed.version) : std::string_view("unknown")},
       {"relay", relay ? view(relay->router.value) : std::string_view()},
       {"repeated", attempt.repeated},
       {"outstanding", static_cast<std::int64_t>(replica.outstanding)},
       {"waited_ms", toMilliseconds(now - state.arrived)},
       {"charged_to", chargeName(charge)},
       {"time_left_ms", toMilliseconds(effect.time_left)}});
  effects_.emplace_back(std::move(effect));
  if (use) {
    log_.write(LogLevel::Info, "call.balanced",
               {{"request", view(state.request.id.value)},
                {"streams", use->streams},
                {"unread_tokens", use->pending_prefill_tokens},
                {"tokens_per_s", use->tokens_per_s},
                {"slowness", use->slowness},
                {"loads_age_ms", toMilliseconds(*replicas_.loadBoard().age(now))}});
  }
  setTimer(call);
}

void CallRouter::logReopening(const ReplicaId& replica, const ReplicaNotices::Reopening& reopening) {
  if (reopening.first) {
    log_.write(LogLevel::Info, "replica.backoff_over",
               {{"replica", view(replica.value)},
                {"closed_for_ms", toMilliseconds(reopening.closed_for)},
                {"waiting", static_cast<std::int64_t>(waiting_.size())}});
  }
}

void CallRouter::abandon(CallPointer call, ResultCode code, const std::string& detail, TimePoint now) {
  Call& state = call->second;
  effects_.emplace_back(CancelAttemptEffect{state.attempt->number});
  recordPossibleRun(state);
  release(state);
  refuse(call, code, detail, std::nullopt, now);
}

void CallRouter::erase(CallPointer call) {
  if (call->second.attempt) {
    release(call->second);
  }
  releaseCredit(call->second);
  timers_.erase({call->second.timer, call->first});
  waiting_.erase(call->first);
  unrouted_.erase(call->first);
  awaiting_credit_.erase(call->first);
  awaiting_retry_credit_.erase(call->first);
  if (call->second.origin) {
    origins_.onEnded(call->second.origin->stream);
  }
  calls_.erase(call);
}

Effects CallRouter::onCallerGone(CallNumber number, TimePoint now) {
  const CallPointer call = calls_.find(number);
  if (call == calls_.end()) {
    return finish(now);
  }
  ++counts_.caller_gone;
  log_.write(LogLevel::Info, "call.caller_gone",
             {{"request", view(call->second.request.id.value)},
              {"after_ms", toMilliseconds(now - call->second.arrived)}});
  if (call->second.attempt) {
    effects_.emplace_back(CancelAttemptEffect{call->second.attempt->number});
  }
  returnCredit(call->second, now);
  erase(call);
  return finish(now);
}

void CallRouter::setTimer(CallPointer call) {
  Call& state = call->second;
  timers_.erase({state.timer, call->first});
  state.timer = state.deadline;
  if (!state.attempt && !state.probed_replica && !awaiting_credit_.contains(call->first)) {
    state.timer = std::min(state.timer, state.wait_deadline);
    state.timer = state.retry_at ? std::min(state.timer, *state.retry_at) : state.timer;
    state.timer = state.credit_deadline ? std::min(state.timer, *state.credit_deadline) : state.timer;
  }
  timers_.insert({state.timer, call->first});
}

void CallRouter::onTimer(CallPointer call, TimePoint now) {
  Call& state = call->second;
  if (state.attempt && now >= state.deadline) {
    abandon(call, ResultCode::DeadlineExpiredRunning, "the deadline expired while the call ran on a replica",
            now);
  } else if (state.attempt) {
    setTimer(call);
  } else if (state.route == nullptr) {
    refuse(call, state.last_failure, "the router has not received a catalog and its proof yet", kRetryLater,
           now);
  } else if (state.credit_deadline && now >= *state.credit_deadline) {
    refuseUncoveredRetry(call, now);
  } else if (now >= state.deadline || now >= state.wait_deadline) {
    refuse(call, state.last_failure, "no replica became available in time",
           state.last_failure == ResultCode::LoadCannotFinishInTime ? kRetryLater
                                                                    : retryTimeAfterRefusals(state, now),
           now);
  } else {
    dispatch(call, now);
  }
}

Effects CallRouter::tick(TimePoint now) {
  probePaths(now);
  resolveQuotas(quota_.tick(now), now);
  for (const StreamOriginAnswer& answer : origins_.tick(now)) {
    resolveOrigin(answer, now);
  }
  resolveCredits(replicas_.limits().tick(now), now);
  if (now >= next_crash_expiry_) {
    next_crash_expiry_ = now + kCrashExpiryInterval;
    crashes_.expire(now);
  }
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const CallNumber number = timers_.begin()->second;
    timers_.erase(timers_.begin());
    const CallPointer call = calls_.find(number);
    if (call != calls_.end()) {
      onTimer(call, now);
    }
  }
  return finish(now);
}

TimePoint CallRouter::nextDeadline() const {
  const TimePoint status =
      std::min({feed_.nextDeadline(), quota_.nextDeadline(), replicas_.limits().nextDeadline(),
                nextPathProbe(), origins_.nextDeadline()});
  return timers_.empty() ? status : std::min(status, timers_.begin()->first);
}

Effects CallRouter::beginDrain(TimePoint refuse_from, TimePoint end, TimePoint now) {
  draining_ = true;
  refuse_from_ = refuse_from;
  drain_end_ = end;
  for (const CallNumber number : waiting_) {
    const CallPointer call = calls_.find(number);
    call->second.wait_deadline = std::min(call->second.wait_deadline, refuse_from);
    setTimer(call);
  }
  feed_.notifyAll();
  return finish(now);
}

Effects CallRouter::endDrain(TimePoint now) {
  while (!calls_.empty()) {
    const CallPointer call = calls_.begin();
    if (call->second.attempt) {
      abandon(call, ResultCode::ReplicaFailed, "the router stopped while the call ran on a replica", now);
    } else {
      refuse(call, ResultCode::RouterDraining, "the router is stopping", kRetryImmediately, now);
    }
  }
  return finish(now);
}

Effects CallRouter::finish(TimePoint now) {
  if (std::exchange(dispatch_pending_, false)) {
    dispatchWaiting(now);
  }
  logPartition(now);
  sendStatuses(now);
  sendQuotaUse(now);
  sendLimitRequest(now);
  for (wire::SendEffect& send : origins_.takeMessages()) {
    effects_.emplace_back(std::move(send));
  }
  return std::exchange(effects_, {});
}

}  // namespace ferryrock::calls
