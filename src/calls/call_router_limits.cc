#include <utility>

#include "calls/call_router.h"

/// The part of CallRouter that obtains credits for calls to replicas which limit the rate of calls from all
/// routers together.
namespace ferryrock::calls {
namespace {

/// Number of replicas that credit is requested for on behalf of one call, one after the other, before none is
/// considered to have capacity.
constexpr std::size_t kMostAsked = 3;

std::string_view view(const std::string& text) {
  return text;
}

}  // namespace

void CallRouter::useCredit(Call& call, TimePoint now) {
  call.need.credit.reset();
  std::optional<LimitCredit>& granted = call.credit.granted;
  if (granted && now >= granted->from + ReplicaLimits::kCreditLasts) {
    granted.reset();
  }
  if (granted && now >= granted->from) {
    call.need.credit = granted->replica;
  }
  if (call.credit.opens_at && now >= *call.credit.opens_at) {
    call.credit.refused.clear();
    call.credit.opens_at.reset();
  }
}

/// Requests credit for the replica with the highest rate limit first.
void CallRouter::seekCredit(CallPointer call, const Choice& choice, TimePoint now) {
  Call& state = call->second;
  // The replica that the credit is for can't be used now for another reason.
  if (state.need.credit) {
    replicas_.limits().giveBack(*state.need.credit);
    state.credit.granted.reset();
    state.need.credit.reset();
  }
  if (state.credit.ask || state.credit.granted || state.credit.refused.size() >= kMostAsked) {
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
  state.credit.ask = limits.ask(*best, wait, now);
  state.credit.asked = *best;
  if (state.credit.ask) {
    limit_asks_[*state.credit.ask] = call->first;
  }
}

void CallRouter::spendCredit(Call& call, Attempt& attempt, TimePoint now) {
  attempt.with_credit = call.need.credit == attempt.replica;
  if (attempt.with_credit) {
    call.credit.granted.reset();
    replicas_.limits().onSentWithCredit();
  } else {
    replicas_.limits().onSent(attempt.replica, now);
  }
  dropCredit(call);
}

void CallRouter::dropCredit(Call& call) {
  if (call.credit.ask) {
    replicas_.limits().abandon(*call.credit.ask);
    limit_asks_.erase(*call.credit.ask);
  }
  if (call.credit.granted) {
    replicas_.limits().giveBack(call.credit.granted->replica);
  }
  call.credit = {};
}

void CallRouter::resolveCredits(const std::vector<LimitResolved>& resolved, TimePoint now) {
  for (const LimitResolved& one : resolved) {
    const auto asking = limit_asks_.find(one.ask);
    if (asking == limit_asks_.end()) {
      continue;
    }
    const CallPointer call = calls_.find(asking->second);
    limit_asks_.erase(asking);
    if (call != calls_.end()) {
      resolveCredit(call, one, now);
    }
  }
}

void CallRouter::resolveCredit(CallPointer call, const LimitResolved& resolved, TimePoint now) {
  CreditSearch& credit = call->second.credit;
  credit.ask.reset();
  if (resolved.verdict == LimitResolved::Verdict::Granted) {
    credit.granted = LimitCredit{credit.asked, resolved.at};
    call->second.waits_until = std::max(call->second.waits_until, resolved.at + ReplicaLimits::kCreditLasts);
  } else if (resolved.verdict == LimitResolved::Verdict::Refused) {
    credit.refused.insert(credit.asked);
    credit.opens_at = std::min(credit.opens_at.value_or(resolved.at), resolved.at);
  }
  log_.write(LogLevel::Info, "call.credit",
             {{"request", view(call->second.request.id.value)},
              {"replica", view(credit.asked.value)},
              {"granted", resolved.verdict == LimitResolved::Verdict::Granted},
              {"answered", resolved.verdict != LimitResolved::Verdict::Unanswered},
              {"in_ms", toMilliseconds(resolved.at - now)},
              {"after_ms", toMilliseconds(now - call->second.arrived)}});
  if (!call->second.attempt) {
    dispatch(call, now);
  }
}

void CallRouter::tellLimits(TimePoint now) {
  const NodeName& leader = feed_.leader();
  if (leader.empty()) {
    return;
  }
  if (auto request = replicas_.limits().message(now)) {
    effects_.emplace_back(wire::SendEffect{leader, std::move(*request)});
  }
}

}  // namespace ferryrock::calls
