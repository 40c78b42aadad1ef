#include <utility>

#include "calls/call_router.h"

/// The part of CallRouter that obtains credits for calls to replicas which limit the rate of calls from all
/// routers together.
namespace ferryrock::calls {
namespace {

/// Number of replicas that credit is requested for on behalf of one call, one after the other, before none is
/// considered to have capacity.
constexpr std::size_t kMaxCreditRequests = 3;

std::string_view view(const std::string& text) {
  return text;
}

}  // namespace

void CallRouter::selectCredit(Call& call, TimePoint now) {
  call.need.credit.reset();
  std::optional<LimitCredit>& granted = call.credit.granted;
  if (granted && now >= granted->valid_from + ReplicaLimits::kCreditTtl) {
    granted.reset();
  }
  if (granted && now >= granted->valid_from) {
    call.need.credit = granted->replica;
  }
  if (call.credit.opens_at && now >= *call.credit.opens_at) {
    call.credit.refused.clear();
    call.credit.opens_at.reset();
  }
}

/// Requests credit for the replica with the highest rate limit first.
void CallRouter::obtainCredit(CallPointer call, const Choice& choice, TimePoint now) {
  Call& state = call->second;
  // The replica that the credit is for can't be used now for another reason.
  if (state.need.credit) {
    replicas_.limits().returnCredit(*state.need.credit);
    state.credit.granted.reset();
    state.need.credit.reset();
  }
  if (state.credit.pending_request || state.credit.granted ||
      state.credit.refused.size() >= kMaxCreditRequests) {
    return;
  }
  ReplicaLimits& limits = replicas_.limits();
  const ReplicaId* best = nullptr;
  for (const ReplicaId& replica : choice.limited) {
    const bool better = best == nullptr || limits.limitOf(replica) > limits.limitOf(*best);
    best = better && !state.credit.refused.contains(replica) ? &replica : best;
  }
  if (best == nullptr) {
    return;
  }
  const Duration wait = waitLimit(waitingCall(state), ChoiceFailure::Limited, now) - now;
  state.credit.pending_request = limits.requestCredit(*best, wait, now);
  state.credit.requested_from = *best;
  if (state.credit.pending_request) {
    credit_requests_[*state.credit.pending_request] = call->first;
  }
}

void CallRouter::consumeCredit(Call& call, Attempt& attempt, TimePoint now) {
  attempt.with_credit = call.need.credit == attempt.replica;
  if (attempt.with_credit) {
    call.credit.granted.reset();
    replicas_.limits().onSentWithCredit();
  } else {
    replicas_.limits().onSent(attempt.replica, now);
  }
  releaseCredit(call);
}

void CallRouter::releaseCredit(Call& call) {
  if (call.credit.pending_request) {
    replicas_.limits().abandon(*call.credit.pending_request);
    credit_requests_.erase(*call.credit.pending_request);
  }
  if (call.credit.granted) {
    replicas_.limits().returnCredit(call.credit.granted->replica);
  }
  call.credit = {};
}

void CallRouter::resolveCredits(const std::vector<LimitRequestOutcome>& resolved, TimePoint now) {
  for (const LimitRequestOutcome& one : resolved) {
    const auto requester = credit_requests_.find(one.request_number);
    if (requester == credit_requests_.end()) {
      continue;
    }
    const CallPointer call = calls_.find(requester->second);
    credit_requests_.erase(requester);
    if (call != calls_.end()) {
      resolveCredit(call, one, now);
    }
  }
}

void CallRouter::resolveCredit(CallPointer call, const LimitRequestOutcome& resolved, TimePoint now) {
  CreditSearch& credit = call->second.credit;
  credit.pending_request.reset();
  if (resolved.verdict == LimitRequestOutcome::Verdict::Granted) {
    credit.granted = LimitCredit{credit.requested_from, resolved.at};
    call->second.wait_deadline =
        std::max(call->second.wait_deadline, resolved.at + ReplicaLimits::kCreditTtl);
  } else if (resolved.verdict == LimitRequestOutcome::Verdict::Refused) {
    credit.refused.insert(credit.requested_from);
    credit.opens_at = std::min(credit.opens_at.value_or(resolved.at), resolved.at);
  }
  log_.write(LogLevel::Info, "call.credit",
             {{"request", view(call->second.request.id.value)},
              {"replica", view(credit.requested_from.value)},
              {"granted", resolved.verdict == LimitRequestOutcome::Verdict::Granted},
              {"answered", resolved.verdict != LimitRequestOutcome::Verdict::Unanswered},
              {"in_ms", toMilliseconds(resolved.at - now)},
              {"after_ms", toMilliseconds(now - call->second.arrived)}});
  if (!call->second.attempt) {
    dispatch(call, now);
  }
}

void CallRouter::sendLimitRequest(TimePoint now) {
  const NodeName& leader = feed_.leader();
  if (leader.empty()) {
    return;
  }
  if (auto request = replicas_.limits().message(now)) {
    effects_.emplace_back(wire::SendEffect{leader, std::move(*request)});
  }
}

}  // namespace ferryrock::calls
