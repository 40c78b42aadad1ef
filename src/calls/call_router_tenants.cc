#include <utility>

#include "calls/call_router.h"

/// The part of CallRouter that decides whether a call's tenant may run it: its key, the proof that the
/// catalog which lists the key is the newest, and the tenant's quota.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;
using tenancy::Credential;
using tenancy::QuotaVerdict;

/// A cell without a leader has one again after about this time.
constexpr Duration kComeBackUnproved = 1s;

}  // namespace

bool CallRouter::identifyTenant(CallPointer call, const wire::CallRoute& route, const wire::Tenant*& tenant,
                                TimePoint now) {
  Call& state = call->second;
  const Credential& credential = state.request.credential;
  const bool needs_none = route.open_to_all && credential.form == Credential::Form::None;
  if (!routes_->keys().inUse() || needs_none) {
    return true;
  }
  // An older catalog neither allows a key nor refuses one: a newer may have taken it away, or brought it.
  if (!feed_.proof().holds(now)) {
    refuseUnproved(call, now);
    return false;
  }
  tenant = credential.form == Credential::Form::Key ? routes_->keys().find(credential.key) : nullptr;
  if (tenant == nullptr) {
    ++counts_.unknown_keys;
    refuse(call, ResultCode::UnknownKey, "", std::nullopt, now);
    return false;
  }
  state.tenant = tenant->name;
  return true;
}

/// A router that has just started gets its first proof in a moment. One that has lost it is cut off.
void CallRouter::refuseUnproved(CallPointer call, TimePoint now) {
  Call& state = call->second;
  if (!feed_.proof().provedAt() && state.route == nullptr) {
    state.last_failure = ResultCode::CatalogUnproved;
    unrouted_.insert(call->first);
    setTimer(call);
    return;
  }
  ++counts_.unproved;
  refuse(call, ResultCode::CatalogUnproved, "the control cell was out of reach for too long",
         kComeBackUnproved, now);
}

bool CallRouter::mayStillRun(CallPointer call, TimePoint now) {
  const Call& state = call->second;
  if (!feed_.proof().holds(now)) {
    refuseUnproved(call, now);
    return false;
  }
  if (state.routes == routes_) {
    return true;
  }
  const wire::Tenant* holder = routes_->keys().find(state.request.credential.key);
  if (routes_->keys().inUse() && (holder == nullptr || holder->name != state.tenant)) {
    ++counts_.unknown_keys;
    refuse(call, ResultCode::UnknownKey, "the key was taken away", std::nullopt, now);
    return false;
  }
  return true;
}

bool CallRouter::charge(CallPointer call, const wire::Tenant& tenant, TimePoint now) {
  Call& state = call->second;
  state.priority = tenant.priority.value_or(state.priority);
  if (!tenant.quota) {
    return true;
  }
  const CallRequest& request = state.request;
  const std::optional<std::uint64_t> tokens =
      request.tells_tokens ? std::optional(request.prompt_tokens + request.answer_tokens) : std::nullopt;
  state.charged = tenancy::QuotaClient::costOf(*tenant.quota, tokens);
  const tenancy::QuotaReply reply = quota_.request(call->first.value, tenant, state.charged, now);
  if (reply.verdict == QuotaVerdict::Granted) {
    state.account = reply.account;
    return true;
  }
  awaiting_credit_.insert(call->first);
  if (reply.verdict == QuotaVerdict::Asked) {
    ++counts_.quota_asked;
    setTimer(call);
  } else {
    onQuotaReply(call, reply, now);
  }
  return false;
}

void CallRouter::onQuotaReply(CallPointer call, const tenancy::QuotaReply& reply, TimePoint now) {
  Call& state = call->second;
  awaiting_credit_.erase(call->first);
  if (reply.verdict == QuotaVerdict::Granted) {
    state.account = reply.account;
    beginCall(call, now);
    return;
  }
  state.charged = 0;
  if (reply.verdict == QuotaVerdict::Spent) {
    ++counts_.quota_spent;
    refuse(call, ResultCode::QuotaSpent, "", reply.retry_after, now);
  } else {
    ++counts_.quota_unknown;
    refuse(call, ResultCode::ControlUnavailable, "no leader decides on the tenant's quota", reply.retry_after,
           now);
  }
}

void CallRouter::resolveQuotas(const std::vector<tenancy::QuotaResolved>& resolved, TimePoint now) {
  for (const tenancy::QuotaResolved& one : resolved) {
    const CallPointer call = calls_.find(CallNumber{one.number});
    if (call != calls_.end()) {
      onQuotaReply(call, one.reply, now);
    }
  }
}

void CallRouter::noteMayHaveRun(Call& call) {
  call.may_have_run = true;
  call.charge_ran = true;
}

/// It isn't asked for: the call was granted its run, and its caller waits.
void CallRouter::chargeAnotherRun(Call& call, TimePoint now) {
  if (call.charged > 0 && std::exchange(call.charge_ran, false)) {
    quota_.chargeAgain(*call.tenant, call.charged, now);
  }
}

void CallRouter::giveBack(Call& call, TimePoint now) {
  const std::int64_t charged = std::exchange(call.charged, 0);
  if (charged == 0 || call.may_have_run || call.attempt || call.started) {
    return;
  }
  if (awaiting_credit_.contains(call.request.number)) {
    quota_.abandon(call.request.number.value);
  } else {
    quota_.giveBack(*call.tenant, charged, call.account, now);
  }
}

void CallRouter::tellQuotaUse(TimePoint now) {
  if (auto use = quota_.message(feed_.leader(), now)) {
    effects_.emplace_back(wire::SendEffect{feed_.leader(), std::move(*use)});
  }
}

}  // namespace ferryrock::calls
