#include <utility>

#include "calls/call_router.h"

/// The part of CallRouter that decides whether a call's tenant may run it, based on the call's key, the proof
/// that the catalog with the key is current, and the tenant's quota.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;
using tenancy::Credential;
using tenancy::QuotaVerdict;

/// Time within which a cell without a leader usually elects one.
constexpr Duration kRetryAfterElection = 1s;

}  // namespace

bool CallRouter::identifyTenant(CallPointer call, const wire::CallRoute& route, const wire::Tenant*& tenant,
                                TimePoint now) {
  Call& state = call->second;
  const Credential& credential = state.request.credential;
  const bool needs_none = route.allows_anonymous && credential.form == Credential::Form::None;
  if (!routes_->keys().requiresKeys() || needs_none) {
    return true;
  }
  // A catalog that may be outdated can neither accept nor reject a key: a newer one may have removed or added
  // it.
  if (!feed_.proof().holds(now)) {
    refuseUnprovenCatalog(call, now);
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

/// A router that has just started receives its first proof within a short time, so the call waits. A router
/// whose proof has expired is cut off from control.
void CallRouter::refuseUnprovenCatalog(CallPointer call, TimePoint now) {
  Call& state = call->second;
  if (!feed_.proof().provedAt() && state.route == nullptr) {
    state.last_failure = ResultCode::CatalogUnproved;
    unrouted_.insert(call->first);
    setTimer(call);
    return;
  }
  ++counts_.unproved;
  refuse(call, ResultCode::CatalogUnproved, "the control cell has been unreachable for too long",
         kRetryAfterElection, now);
}

bool CallRouter::revalidateTenant(CallPointer call, TimePoint now) {
  const Call& state = call->second;
  if (!feed_.proof().holds(now)) {
    refuseUnprovenCatalog(call, now);
    return false;
  }
  if (state.routes == routes_) {
    return true;
  }
  const wire::Tenant* holder = routes_->keys().find(state.request.credential.key);
  if (routes_->keys().requiresKeys() && (holder == nullptr || holder->name != state.tenant)) {
    ++counts_.unknown_keys;
    refuse(call, ResultCode::UnknownKey, "the key was removed from the catalog", std::nullopt, now);
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
      request.has_token_counts ? std::optional(request.prompt_tokens + request.answer_tokens) : std::nullopt;
  state.charged = tenancy::QuotaClient::costOf(*tenant.quota, tokens);
  const tenancy::QuotaReply reply = quota_.request(call->first.value, tenant, state.charged, now);
  if (reply.verdict == QuotaVerdict::Granted) {
    state.account = reply.account;
    return true;
  }
  awaiting_credit_.insert(call->first);
  if (reply.verdict == QuotaVerdict::Pending) {
    ++counts_.quota_waits;
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
  if (reply.verdict == QuotaVerdict::Exhausted) {
    ++counts_.quota_spent;
    refuse(call, ResultCode::QuotaSpent, "", reply.retry_after, now);
  } else {
    ++counts_.quota_undecided;
    refuse(call, ResultCode::ControlUnavailable, "no leader is available to decide on the tenant's quota",
           reply.retry_after, now);
  }
}

/// Logs each confirmed report with the router's counts, which tell what ran since the report before.
void CallRouter::acceptQuotaAnswer(const NodeName& from, const wire::QuotaAnswer& answer, TimePoint now) {
  const std::uint64_t confirmed = quota_.counts().confirmed_reports;
  resolveQuotas(quota_.accept(answer, now), now);
  const tenancy::QuotaClientCounts& counts = quota_.counts();
  if (counts.confirmed_reports != confirmed) {
    log_.write(LogLevel::Info, "quota.reported",
               {{"leader", std::string_view(from.value)},
                {"reports", static_cast<std::int64_t>(counts.reports)},
                {"unasked", static_cast<std::int64_t>(counts.unasked)},
                {"local", static_cast<std::int64_t>(counts.local)},
                {"reruns", static_cast<std::int64_t>(counts.reruns)}});
  }
}

void CallRouter::resolveQuotas(const std::vector<tenancy::QuotaRequestOutcome>& resolved, TimePoint now) {
  for (const tenancy::QuotaRequestOutcome& one : resolved) {
    const CallPointer call = calls_.find(CallNumber{one.number});
    if (call != calls_.end()) {
      onQuotaReply(call, one.reply, now);
    }
  }
}

void CallRouter::recordPossibleRun(Call& call) {
  call.sendings.onPossibleRun();
  call.charged_attempt_may_have_run = true;
}

/// The leader isn't asked for this credit: the call was granted its run already, and its caller is waiting.
void CallRouter::chargeRetry(Call& call, TimePoint now) {
  if (call.charged > 0 && std::exchange(call.charged_attempt_may_have_run, false)) {
    quota_.chargeRerun(*call.tenant, call.charged, now);
  }
}

void CallRouter::returnCredit(Call& call, TimePoint now) {
  const std::int64_t charged = std::exchange(call.charged, 0);
  if (charged == 0 || call.sendings.mayHaveRun() || call.started) {
    return;
  }
  if (awaiting_credit_.contains(call.request.number)) {
    quota_.abandon(call.request.number.value);
  } else {
    quota_.returnCredit(*call.tenant, charged, call.account, now);
  }
}

void CallRouter::sendQuotaUse(TimePoint now) {
  if (auto use = quota_.message(feed_.leader(), now)) {
    effects_.emplace_back(wire::SendEffect{feed_.leader(), std::move(*use)});
  }
}

}  // namespace ferryrock::calls
