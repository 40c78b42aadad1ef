#include <algorithm>
#include <utility>

#include "calls/call_router.h"

/// The part of CallRouter that keeps retries within the retry budgets.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// A leader answers within some 10 ms. A retry doesn't wait longer than this for one that is busy or gone.
constexpr Duration kRetryCreditTimeout = 250ms;
/// Minimum interval between two log lines about the retry budget of a service.
constexpr Duration kRetryBudgetLogInterval = 1s;

std::string_view view(const std::string& text) {
  return text;
}

}  // namespace

bool CallRouter::retryBudgetAllows(const Call& call, TimePoint now) {
  const bool allowed = budget_.mayRetry(call.need.service, now);
  counts_.retry_budget_refused += allowed ? 0 : 1;
  logRetryBudget(call.need.service, now);
  return allowed;
}

/// Credits are requested before a replica is looked for, so that a call whose retry isn't covered is refused
/// at once.
void CallRouter::dispatchRetry(CallPointer call, TimePoint now) {
  if (call->second.arrivals == 0 || budget_.covers(call->second.need.service, now)) {
    call->second.credit_deadline.reset();
    awaiting_retry_credit_.erase(call->first);
    dispatch(call, now);
  } else {
    awaitRetryCredit(call, now);
  }
}

bool CallRouter::coverRetry(CallPointer call, std::optional<RetryCharge>& charge, TimePoint now) {
  Call& state = call->second;
  charge = budget_.spend(state.need.service, now);
  logRetryBudget(state.need.service, now);
  if (charge) {
    state.credit_deadline.reset();
    awaiting_retry_credit_.erase(call->first);
    return true;
  }
  awaitRetryCredit(call, now);
  return false;
}

void CallRouter::awaitRetryCredit(CallPointer call, TimePoint now) {
  Call& state = call->second;
  const bool timed_out = state.credit_deadline && now >= *state.credit_deadline;
  if (timed_out || !budget_.expectsCredit(state.need.service, now)) {
    ++counts_.retry_budget_refused;
    refuseUncoveredRetry(call, now);
    return;
  }
  if (awaiting_retry_credit_.insert(call->first).second) {
    ++counts_.retry_credit_waits;
    waiting_.erase(call->first);
    state.credit_deadline = std::min(state.deadline, now + kRetryCreditTimeout);
    state.wait_deadline = std::max(state.wait_deadline, *state.credit_deadline);
    feed_.expedite();
  }
  setTimer(call);
}

void CallRouter::resolveRetryCredits(const std::set<ServiceName>& services, TimePoint now) {
  std::vector<std::pair<std::uint32_t, CallNumber>> order;
  for (const CallNumber number : awaiting_retry_credit_) {
    const Call& call = calls_.at(number);
    if (services.contains(call.need.service)) {
      order.emplace_back(call.priority, number);
    }
  }
  std::sort(order.begin(), order.end());
  for (const auto& [priority, number] : order) {
    const CallPointer call = calls_.find(number);
    if (call != calls_.end() && !call->second.attempt) {
      dispatchRetry(call, now);
    }
  }
}

std::map<ServiceName, std::uint32_t> CallRouter::waitingRetries() const {
  std::map<ServiceName, std::uint32_t> waiting;
  for (const CallNumber number : awaiting_retry_credit_) {
    ++waiting[calls_.at(number).need.service];
  }
  return waiting;
}

void CallRouter::refuseUncoveredRetry(CallPointer call, TimePoint now) {
  const Call& state = call->second;
  if (state.sendings.mayHaveRun()) {
    refuse(call, ResultCode::ReplicaFailed, state.failure_reason, std::nullopt, now);
  } else {
    refuse(call, ResultCode::RetryBudgetSpent, "replicas refused the call before running it",
           retryTimeAfterRefusals(state, now), now);
  }
}

void CallRouter::logRetryBudget(const ServiceName& service, TimePoint now) {
  TimePoint& next = next_retry_budget_log_[service];
  if (now < next) {
    return;
  }
  next = now + kRetryBudgetLogInterval;
  const RetryUsage usage = budget_.usage(service, now);
  log_.write(LogLevel::Info, "retry.budget",
             {{"service", view(service.value)},
              {"calls", static_cast<std::int64_t>(usage.calls)},
              {"own_retries", static_cast<std::int64_t>(usage.own_retries)},
              {"credited_retries", static_cast<std::int64_t>(usage.credited_retries)},
              {"credits", static_cast<std::int64_t>(usage.credits)},
              {"waiting", static_cast<std::int64_t>(awaiting_retry_credit_.size())},
              {"alive_ms", toMilliseconds(now - started_at_)}});
}

}  // namespace ferryrock::calls
