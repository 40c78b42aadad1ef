#include "calls/call_router.h"

#include <algorithm>
#include <tuple>

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// Sendings that replicas refused unrun, per call, before the caller is told.
constexpr std::uint32_t kMostUnrun = 3;
/// A replica that refused as full or leaving gets nothing for a moment.
constexpr Duration kRefusalPause = 100ms;
/// A replica that doesn't hold what the table says may be about to.
constexpr Duration kMissingPause = 40ms;
constexpr Duration kLookAgain = 40ms;
/// Time that a call needs on a replica at least; with less left it isn't sent.
constexpr Duration kLeastTimeLeft = 5ms;
/// Share of a call's time that it may wait for a model to be loaded.
constexpr double kLoadWaitShare = 0.7;
/// Share of the latency target that a call waits for a place; refused by then, it may be in time elsewhere.
constexpr double kPlaceWaitShare = 0.22;
constexpr Duration kDefaultTarget = 1s;
/// How long a call waits for the first catalog, and what share of its time at most.
constexpr Duration kCatalogWait = 1500ms;
constexpr double kCatalogWaitShare = 0.5;
constexpr Duration kComeBackAtOnce = 10ms;
constexpr Duration kComeBackSoon = 200ms;
constexpr Duration kComeBackLater = 1s;
constexpr int kFirstErrorStatus = 500;
constexpr int kMisdirected = 421;

Duration scaled(Duration duration, double share) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * share));
}

Duration targetOf(const wire::CallRoute& route) {
  return route.target_latency_ms > 0 ? Duration(std::chrono::milliseconds(route.target_latency_ms))
                                     : kDefaultTarget;
}

std::string_view view(const std::string& text) {
  return text;
}

}  // namespace

CallRouter::CallRouter(const CallRouterSettings& settings, EventLog& log, TimePoint now)
    : settings_(settings),
      log_(log),
      random_(settings.seed),
      feed_(settings.feed),
      budget_(settings.retries),
      replicas_(settings.feed.zone, settings.seed) {
  static_cast<void>(now);
}

Effects CallRouter::onCall(CallRequest request, TimePoint now) {
  ++counts_.accepted;
  const CallNumber number = request.number;
  const CallPointer call = calls_.emplace(number, Call{}).first;
  Call& state = call->second;
  state.request = std::move(request);
  state.arrived = now;
  state.deadline = now + state.request.time_limit.value_or(30s);
  if (calls_.size() > settings_.max_calls) {
    refuse(call, ResultCode::QueueFull, "this router has too many calls", kComeBackSoon, now);
    return finish(now);
  }
  if (routes_) {
    routeCall(call, now);
    return finish(now);
  }
  // A router that has just started gets its catalog in a moment.
  unrouted_.insert(number);
  const Duration whole = state.deadline - now;
  state.waits_until = now + std::min(kCatalogWait, scaled(whole, kCatalogWaitShare));
  state.last_failure = ResultCode::NoCatalog;
  setTimer(call);
  return finish(now);
}

void CallRouter::routeWaiting(TimePoint now) {
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
  state.routes = routes_;
  state.route = route;
  state.deadline = std::min(state.deadline, state.arrived + std::chrono::milliseconds(route->timeout_ms));
  if (now >= refuse_from_ && state.deadline > drain_end_) {
    refuse(call, ResultCode::RouterDraining, "the call might outlast this router", kComeBackAtOnce, now);
    return;
  }
  state.need.service = split_.next(*route);
  const wire::HostedService* service = routes_->findService(state.need.service);
  if (service != nullptr && service->engine) {
    state.need.model = state.request.model;
    state.need.adapter = state.request.adapter;
    state.need.prompt_tokens = state.request.prompt_tokens;
    state.need.affinity_key = route->affinity ? state.request.affinity_key : 0;
    if (!state.need.model.empty()) {
      ++arrivals_[{state.need.service, state.need.model, state.need.adapter}];
    }
  }
  budget_.onCall(state.need.service, now);
  log_.write(LogLevel::Info, "call.admitted",
             {{"request", view(state.request.id.value)},
              {"route", view(route->name.value)},
              {"service", view(state.need.service.value)},
              {"model", view(state.need.model.value)},
              {"adapter", view(state.need.adapter)},
              {"catalog", static_cast<std::int64_t>(routes_->version().value)},
              {"time_left_ms", toMilliseconds(state.deadline - now)}});
  dispatch(call, now);
}

void CallRouter::dispatch(CallPointer call, TimePoint now) {
  Call& state = call->second;
  state.retry.reset();
  if (state.deadline - now < kLeastTimeLeft) {
    refuse(call, ResultCode::DeadlineTooShort, "no time is left", std::nullopt, now);
    return;
  }
  const Choice choice = replicas_.choose(state.need, now);
  if (choice.replica == nullptr) {
    waitForReplica(call, choice.failure, now);
  } else {
    sendTo(call, *choice.replica, now);
  }
}

void CallRouter::sendTo(CallPointer call, Replica& replica, TimePoint now) {
  Call& state = call->second;
  waiting_.erase(call->first);
  const AttemptNumber number{next_attempt_++};
  state.attempt = Attempt{number, replica.routed.id, now, state.need.prompt_tokens};
  replica.unread_tokens += state.need.prompt_tokens;
  state.need.tried.insert(replica.routed.id);
  ++state.attempts;
  ++counts_.attempts;
  attempts_[number] = call->first;
  replicas_.onSent(replica, now);
  SendAttemptEffect effect;
  effect.call = call->first;
  effect.attempt = number;
  effect.replica = replica.routed.id;
  effect.address = replica.routed.address;
  effect.time_left = state.deadline - now;
  effect.streaming = state.route->kind == wire::CallKind::Streaming;
  effect.priority = state.route->priority;
  effect.resume_after = state.last_event ? state.last_event : state.request.resume_after;
  log_.write(LogLevel::Info, "call.sent",
             {{"request", view(state.request.id.value)},
              {"attempt", static_cast<std::int64_t>(state.attempts)},
              {"replica", view(replica.routed.id.value)},
              {"outstanding", static_cast<std::int64_t>(replica.outstanding)},
              {"waited_ms", toMilliseconds(now - state.arrived)},
              {"time_left_ms", toMilliseconds(effect.time_left)}});
  effects_.emplace_back(std::move(effect));
  setTimer(call);
}

void CallRouter::waitForReplica(CallPointer call, ChoiceFailure failure, TimePoint now) {
  Call& state = call->second;
  const bool first = waiting_.insert(call->first).second;
  if (first) {
    const Duration whole = state.deadline - state.arrived;
    const Duration wait = failure == ChoiceFailure::NotHeld ? scaled(whole, kLoadWaitShare)
                                                            : scaled(targetOf(*state.route), kPlaceWaitShare);
    state.waits_until = std::min(state.deadline, std::max(now, state.arrived) + wait);
    state.waits_until = std::min(state.waits_until, std::max(now, refuse_from_));
    log_.write(LogLevel::Info, "call.waits",
               {{"request", view(state.request.id.value)},
                {"for", failure == ChoiceFailure::NotHeld     ? "model"
                        : failure == ChoiceFailure::NoReplica ? "replica"
                                                              : "place"},
                {"until_ms", toMilliseconds(state.waits_until - now)},
                {"replicas", static_cast<std::int64_t>(replicas_.size())}});
  }
  state.last_failure = failure == ChoiceFailure::NotHeld     ? ResultCode::LoadCannotFinishInTime
                       : failure == ChoiceFailure::NoReplica ? ResultCode::NoReplica
                                                             : ResultCode::ReplicaRefused;
  if (failure == ChoiceFailure::NotHeld && !std::exchange(state.counted_missing, true)) {
    feed_.hurry();
  }
  if (failure == ChoiceFailure::Refusing) {
    state.retry = now + kLookAgain;
  }
  setTimer(call);
}

void CallRouter::dispatchWaiting(TimePoint now) {
  std::vector<std::pair<std::uint32_t, CallNumber>> order;
  for (const CallNumber number : waiting_) {
    order.emplace_back(calls_.at(number).route->priority, number);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [priority, number] : order) {
    const CallPointer call = calls_.find(number);
    if (call != calls_.end() && !call->second.attempt) {
      dispatch(call, now);
    }
  }
}

std::optional<CallRouter::CallPointer> CallRouter::callOf(AttemptNumber attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return std::nullopt;
  }
  return calls_.find(found->second);
}

void CallRouter::notePromptRead(Attempt& attempt) {
  if (attempt.unread_tokens == 0) {
    return;
  }
  if (Replica* replica = replicas_.find(attempt.replica)) {
    replica->unread_tokens -= std::min(replica->unread_tokens, attempt.unread_tokens);
  }
  attempt.unread_tokens = 0;
}

/// The replica may be forgotten by this if the leader has stopped listing it; then nullptr.
Replica* CallRouter::release(Call& call) {
  notePromptRead(*call.attempt);
  const Attempt attempt = *call.attempt;
  call.attempt.reset();
  attempts_.erase(attempt.number);
  Replica* replica = replicas_.find(attempt.replica);
  if (replica == nullptr) {
    return nullptr;
  }
  replicas_.onReleased(*replica);
  dispatch_wanted_ = dispatch_wanted_ || !waiting_.empty();
  return replicas_.find(attempt.replica);
}

Effects CallRouter::onAnswer(AttemptNumber attempt, const AnswerSummary& answer, TimePoint now) {
  const auto call = callOf(attempt);
  if (!call) {
    return finish(now);
  }
  Call& state = (*call)->second;
  Replica* replica = release(state);
  if (answer.unrun) {
    if (replica != nullptr && answer.status == kMisdirected && !state.need.model.empty()) {
      replica->missing_until[{state.need.model, state.need.adapter}] = now + kMissingPause;
    } else if (replica != nullptr) {
      replica->refused_until = now + kRefusalPause;
    }
    log_.write(
        LogLevel::Info, "call.refused_by_replica",
        {{"request", view(state.request.id.value)}, {"status", static_cast<std::int64_t>(answer.status)}});
    retryUnrun(*call, ResultCode::ReplicaRefused, now);
    return finish(now);
  }
  const bool failed = answer.status >= kFirstErrorStatus;
  if (replica != nullptr && failed) {
    replica->health.onFailure(router::HealthFailure::Failed, now, random_);
  } else if (replica != nullptr) {
    replica->health.onSuccess(now);
  }
  const bool again = failed && mayRunAgain(state) && state.deadline - now > kLeastTimeLeft &&
                     budget_.spend(state.need.service, now);
  if (again) {
    ++counts_.retries;
    state.may_have_run = true;
    dispatch(*call, now);
  } else {
    deliver(*call, attempt, answer.status, now);
  }
  return finish(now);
}

Effects CallRouter::onStreamEvent(AttemptNumber attempt, std::optional<std::uint64_t> id, std::string bytes,
                                  TimePoint now) {
  const auto call = callOf(attempt);
  if (!call) {
    return finish(now);
  }
  Call& state = (*call)->second;
  if (Replica* replica = replicas_.find(state.attempt->replica)) {
    replica->health.onProgress(now);
  }
  notePromptRead(*state.attempt);
  const bool known = id && state.last_event && *id <= *state.last_event;
  if (!known) {
    state.last_event = id ? id : state.last_event;
    startStream(*call, attempt, now);
    effects_.emplace_back(PassEventEffect{(*call)->first, std::move(bytes)});
  }
  return finish(now);
}

void CallRouter::startStream(CallPointer call, AttemptNumber attempt, TimePoint now) {
  Call& state = call->second;
  if (std::exchange(state.started, true)) {
    return;
  }
  log_.write(LogLevel::Info, "call.stream_started",
             {{"request", view(state.request.id.value)},
              {"replica", view(state.attempt->replica.value)},
              {"after_ms", toMilliseconds(now - state.arrived)}});
  effects_.emplace_back(StartStreamEffect{call->first, attempt});
}

Effects CallRouter::onStreamEnd(AttemptNumber attempt, TimePoint now) {
  const auto call = callOf(attempt);
  if (!call) {
    return finish(now);
  }
  Call& state = (*call)->second;
  startStream(*call, attempt, now);
  if (Replica* replica = release(state)) {
    replica->health.onSuccess(now);
  }
  ++counts_.answered;
  log_.write(LogLevel::Info, "call.stream_finished",
             {{"request", view(state.request.id.value)},
              {"took_ms", toMilliseconds(now - state.arrived)},
              {"attempts", static_cast<std::int64_t>(state.attempts)}});
  effects_.emplace_back(FinishStreamEffect{(*call)->first});
  erase(*call);
  return finish(now);
}

Effects CallRouter::onFailure(AttemptNumber attempt, AttemptFailure failure, const std::string& reason,
                              TimePoint now) {
  const auto call = callOf(attempt);
  if (!call) {
    return finish(now);
  }
  Call& state = (*call)->second;
  log_.write(LogLevel::Warning, "call.attempt_failed",
             {{"request", view(state.request.id.value)},
              {"replica", view(state.attempt->replica.value)},
              {"proved_unrun", failure == AttemptFailure::NotSent},
              {"reason", view(reason)},
              {"after_ms", toMilliseconds(now - state.attempt->sent)}});
  Replica* replica = release(state);
  const bool unreachable = failure == AttemptFailure::NotSent;
  if (replica != nullptr) {
    replica->health.onFailure(
        unreachable ? router::HealthFailure::Unreachable : router::HealthFailure::Failed, now, random_);
  }
  if (unreachable) {
    retryUnrun(*call, ResultCode::NoReplica, now);
  } else {
    state.may_have_run = true;
    retryMaybeRun(*call, ResultCode::ReplicaFailed, reason, now);
  }
  return finish(now);
}

/// The last sending certainly didn't run, so the call may go to another replica whatever its kind.
void CallRouter::retryUnrun(CallPointer call, ResultCode reason, TimePoint now) {
  Call& state = call->second;
  --state.attempts;
  ++state.unrun;
  state.last_failure = reason;
  const bool tries_left = state.unrun < kMostUnrun && state.deadline - now > kLeastTimeLeft;
  if (tries_left && budget_.spend(state.need.service, now)) {
    ++counts_.retries;
    dispatch(call, now);
  } else if (state.started) {
    breakStream(call, "no replica took the rest of the stream", now);
  } else {
    refuse(call, tries_left ? ResultCode::RetryBudgetSpent : reason, "replicas refused it unrun",
           kComeBackSoon, now);
  }
}

bool CallRouter::mayRunAgain(const Call& call) const {
  const bool repeatable = call.route->kind == wire::CallKind::Repeatable ||
                          (call.route->kind == wire::CallKind::Streaming && call.route->resumable);
  return repeatable && call.attempts < call.route->max_attempts;
}

void CallRouter::retryMaybeRun(CallPointer call, ResultCode reason, const std::string& detail,
                               TimePoint now) {
  Call& state = call->second;
  const bool again =
      mayRunAgain(state) && state.deadline - now > kLeastTimeLeft && budget_.spend(state.need.service, now);
  if (again) {
    ++counts_.retries;
    counts_.resumed += state.started ? 1 : 0;
    dispatch(call, now);
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
  ++counts_.refused;
  log_.write(LogLevel::Warning, "call.refused",
             {{"request", view(state.request.id.value)},
              {"code", static_cast<std::int64_t>(code)},
              {"name", resultCodeInfo(code).name},
              {"not_run", !state.may_have_run},
              {"detail", view(detail)},
              {"took_ms", toMilliseconds(now - state.arrived)},
              {"attempts", static_cast<std::int64_t>(state.attempts)}});
  effects_.emplace_back(RefuseCallEffect{call->first, code, !state.may_have_run, retry_after, detail});
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

void CallRouter::abandon(CallPointer call, ResultCode code, const std::string& detail, TimePoint now) {
  Call& state = call->second;
  effects_.emplace_back(CancelAttemptEffect{state.attempt->number});
  state.may_have_run = true;
  release(state);
  refuse(call, code, detail, std::nullopt, now);
}

void CallRouter::erase(CallPointer call) {
  if (call->second.attempt) {
    release(call->second);
  }
  timers_.erase({call->second.timer, call->first});
  waiting_.erase(call->first);
  unrouted_.erase(call->first);
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
  erase(call);
  return finish(now);
}

void CallRouter::setTimer(CallPointer call) {
  Call& state = call->second;
  timers_.erase({state.timer, call->first});
  state.timer = state.deadline;
  if (!state.attempt) {
    state.timer = std::min(state.timer, state.waits_until);
    state.timer = state.retry ? std::min(state.timer, *state.retry) : state.timer;
  }
  timers_.insert({state.timer, call->first});
}

void CallRouter::onTimer(CallPointer call, TimePoint now) {
  Call& state = call->second;
  if (state.attempt && now >= state.deadline) {
    abandon(call, ResultCode::DeadlineExpiredRunning, "the time was over while a replica had it", now);
  } else if (state.attempt) {
    setTimer(call);
  } else if (state.route == nullptr) {
    refuse(call, ResultCode::NoCatalog, "no catalog is known yet", kComeBackLater, now);
  } else if (now >= state.deadline || now >= state.waits_until) {
    refuse(call, state.last_failure, "no replica could take it in time",
           state.last_failure == ResultCode::LoadCannotFinishInTime ? kComeBackLater : kComeBackSoon, now);
  } else {
    dispatch(call, now);
  }
}

Effects CallRouter::receive(const wire::Envelope& envelope, TimePoint now) {
  if (const auto* update = std::get_if<wire::ServiceUpdate>(&envelope.message)) {
    applyUpdate(envelope.from, *update, now);
  } else if (const auto* list = std::get_if<wire::MemberList>(&envelope.message)) {
    feed_.accept(*list);
  }
  return finish(now);
}

void CallRouter::applyUpdate(const NodeName& from, const wire::ServiceUpdate& update, TimePoint now) {
  const NodeName leader = feed_.leader();
  const bool replicas_follow = feed_.accept(from, update, now);
  if (feed_.leader() != leader) {
    log_.write(LogLevel::Info, "control.leader",
               {{"leader", view(feed_.leader().value)},
                {"revision", static_cast<std::int64_t>(update.revision.value)}});
  }
  if (update.catalog && update.catalog->version > catalogVersion()) {
    routes_ = std::make_shared<const RouteTable>(*update.catalog);
    feed_.tellAll();
    routeWaiting(now);
    log_.write(LogLevel::Info, "catalog.in_force",
               {{"version", static_cast<std::int64_t>(routes_->version().value)},
                {"routes", static_cast<std::int64_t>(update.catalog->routes.size())}});
  }
  budget_.setRouters(update.routers);
  if (!replicas_follow) {
    return;
  }
  replicas_.apply(update);
  for (const wire::RoutedReplica& replica : update.replicas) {
    log_.write(LogLevel::Info, "replica.table",
               {{"replica", view(replica.id.value)},
                {"service", view(replica.service.value)},
                {"accepting", replica.accepting},
                {"models", static_cast<std::int64_t>(replica.held.size())},
                {"revision", static_cast<std::int64_t>(update.revision.value)}});
  }
  for (const ReplicaId& id : update.removed) {
    log_.write(LogLevel::Info, "replica.gone", {{"replica", view(id.value)}});
  }
  dispatch_wanted_ = dispatch_wanted_ || !update.replicas.empty() || !update.removed.empty();
}

Effects CallRouter::tick(TimePoint now) {
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
  const TimePoint status = feed_.nextDeadline();
  return timers_.empty() ? status : std::min(status, timers_.begin()->first);
}

Effects CallRouter::beginDrain(TimePoint refuse_from, TimePoint end, TimePoint now) {
  draining_ = true;
  refuse_from_ = refuse_from;
  drain_end_ = end;
  for (const CallNumber number : waiting_) {
    const CallPointer call = calls_.find(number);
    call->second.waits_until = std::min(call->second.waits_until, refuse_from);
    setTimer(call);
  }
  feed_.tellAll();
  return finish(now);
}

std::vector<std::string> CallRouter::directory() const {
  std::vector<std::string> addresses = feed_.directory();
  if (draining_) {
    std::erase(addresses, settings_.feed.address);
  }
  return addresses;
}

Effects CallRouter::endDrain(TimePoint now) {
  while (!calls_.empty()) {
    const CallPointer call = calls_.begin();
    if (call->second.attempt) {
      abandon(call, ResultCode::ReplicaFailed, "the router stopped while a replica had it", now);
    } else {
      refuse(call, ResultCode::RouterDraining, "the router stops", kComeBackAtOnce, now);
    }
  }
  return finish(now);
}

std::vector<wire::ModelWant> CallRouter::wants() {
  std::map<std::tuple<ServiceName, ModelName, std::string>, wire::ModelWant> merged;
  const auto entry = [&merged](const auto& key) -> wire::ModelWant& {
    wire::ModelWant& want = merged[key];
    std::tie(want.service, want.model, want.adapter) = key;
    return want;
  };
  for (const auto& [key, count] : std::exchange(arrivals_, {})) {
    entry(key).arrivals = count;
  }
  for (const auto& [number, call] : calls_) {
    if (call.route == nullptr || call.need.model.empty()) {
      continue;
    }
    wire::ModelWant& want = entry(std::make_tuple(call.need.service, call.need.model, call.need.adapter));
    if (call.attempt) {
      ++want.running;
    } else if (!replicas_.anyHolds(call.need)) {
      ++want.waiting;
    }
  }
  std::vector<wire::ModelWant> wants;
  wants.reserve(merged.size());
  for (auto& [key, want] : merged) {
    wants.push_back(std::move(want));
  }
  return wants;
}

void CallRouter::sendStatuses(TimePoint now) {
  if (!feed_.due(now)) {
    return;
  }
  for (wire::SendEffect& send : feed_.statuses(wants(), ready(), catalogVersion(), now)) {
    effects_.emplace_back(std::move(send));
  }
}

Effects CallRouter::finish(TimePoint now) {
  if (std::exchange(dispatch_wanted_, false)) {
    dispatchWaiting(now);
  }
  sendStatuses(now);
  return std::exchange(effects_, {});
}

}  // namespace ferryrock::calls
