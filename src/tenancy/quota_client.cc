#include "tenancy/quota_client.h"

#include <algorithm>

namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

/// Charges are reported in batches, this long after the first one of a batch.
constexpr Duration kChargeInterval = 50ms;
/// Totals are reported again for this long after their last change, in case a message is lost.
constexpr Duration kTotalsResendPeriod = 1s;
/// A full report that the leader hasn't confirmed within this time is sent again.
constexpr Duration kReportTimeout = 300ms;
/// Tenants that the previous leader limited stay limited for this long: reports that are lost are sent again
/// meanwhile.
constexpr Duration kInheritedLimitTime = 1s;
/// A response takes about 5 ms. After this timeout the router no longer waits for a leader that is overloaded
/// or gone.
constexpr Duration kResponseTimeout = 250ms;
/// Time from the loss of a leader until the cell has a new one: 3 s.
constexpr double kFailoverSeconds = 3;
constexpr Duration kLeaderlessRetryAfter = 1s;

constexpr std::int64_t kSlotsPerSecond = kHistorySlot / UsageWindow::kSlot;

std::int64_t slotAt(TimePoint time) {
  return time.time_since_epoch() / UsageWindow::kSlot;
}

/// Number of history slots that overlap with a window.
std::size_t historyLength(Duration window) {
  return static_cast<std::size_t>((window + kHistorySlot - Duration(1)) / kHistorySlot) + 1;
}

QuotaReply granted(std::uint64_t account) {
  return {QuotaVerdict::Granted, std::nullopt, account};
}

}  // namespace

std::int64_t QuotaClient::costOf(const wire::TenantQuota& quota, std::optional<std::uint64_t> tokens) {
  if (quota.unit == wire::QuotaUnit::Calls) {
    return 1;
  }
  return static_cast<std::int64_t>(tokens.value_or(quota.default_cost));
}

bool QuotaClient::isSilentFor(Duration timeout, TimePoint now) const {
  return !last_leader_contact_ || now - *last_leader_contact_ > scaledTimeout(timeout, status_interval_);
}

QuotaReply QuotaClient::request(std::uint64_t number, const wire::Tenant& tenant, std::int64_t cost,
                                TimePoint now) {
  if (isSilentFor(kLeaderTimeout, now)) {
    return decideLocally(tenant.name, *tenant.quota, cost, now);
  }
  if (mustRequestCredit(tenant.name, now)) {
    pending_requests_.emplace(number, PendingRequest{tenant.name, *tenant.quota, cost, now, account_});
    requests_due_ = true;
    return {QuotaVerdict::Pending, std::nullopt};
  }
  ++counts_.unasked;
  recordCharge(tenant.name, cost, now);
  return granted(account_);
}

bool QuotaClient::mustRequestCredit(const TenantName& tenant, TimePoint now) const {
  const bool inherited = now < inherited_until_ && inherited_limited_.contains(tenant);
  return inherited || limited_.contains(tenant) || isSilentFor(kMaxUnaskedSilence, now);
}

void QuotaClient::recordCharge(const TenantName& tenant, std::int64_t amount, TimePoint now) {
  TenantUsage& spent = usage_[tenant];
  spent.total += amount;
  spent.changed = now;
  charges_due_ = std::min(charges_due_, now + kChargeInterval);
  recordUsage(tenant, amount, now);
}

/// A refund is deducted from the oldest slot, so that no leader counts less usage than there was.
void QuotaClient::recordUsage(const TenantName& tenant, std::int64_t amount, TimePoint now) {
  auto& by_slot = usage_[tenant].by_slot;
  by_slot.erase(by_slot.begin(),
                by_slot.lower_bound(slotAt(now - settings_.tolerance.window - kHistorySlot)));
  if (amount > 0) {
    by_slot[slotAt(now)] += amount;
    return;
  }
  for (auto& [slot, used] : by_slot) {
    const std::int64_t taken = std::min(used, -amount);
    used -= taken;
    amount += taken;
  }
}

double QuotaClient::usageLeavingWindow(const TenantName& tenant, TimePoint from, TimePoint to) const {
  const auto spent = usage_.find(tenant);
  if (spent == usage_.end()) {
    return 0;
  }
  std::int64_t sum = 0;
  const std::int64_t first = slotAt(from - settings_.tolerance.window);
  const std::int64_t end = slotAt(to - settings_.tolerance.window);
  for (const auto& [slot, used] : spent->second.by_slot) {
    // A slot has left the window once its end has left it.
    sum += slot >= first && slot < end ? used : 0;
  }
  return static_cast<double>(sum);
}

std::vector<std::int64_t> QuotaClient::recentUsage(const TenantUsage& spent, TimePoint now) const {
  const std::int64_t second = slotAt(now) / kSlotsPerSecond;
  std::vector<std::int64_t> amounts(historyLength(settings_.tolerance.window));
  for (const auto& [slot, used] : spent.by_slot) {
    const auto age = static_cast<std::size_t>(std::max<std::int64_t>(0, second - slot / kSlotsPerSecond));
    if (age < amounts.size()) {
      amounts[age] += used;
    }
  }
  return amounts;
}

void QuotaClient::chargeRerun(const TenantName& tenant, std::int64_t cost, TimePoint now) {
  ++counts_.reruns;
  recordCharge(tenant, cost, now);
  const auto local_share = local_shares_.find(tenant);
  if (local_share != local_shares_.end()) {
    local_share->second.level -= static_cast<double>(cost);
  }
}

void QuotaClient::returnCredit(const TenantName& tenant, std::int64_t cost, std::uint64_t account,
                               TimePoint now) {
  if (account == account_) {
    recordCharge(tenant, -cost, now);
  }
}

void QuotaClient::abandon(std::uint64_t number) {
  const auto pending = pending_requests_.find(number);
  if (pending == pending_requests_.end()) {
    return;
  }
  if (pending->second.sent) {
    pending->second.abandoned = true;
  } else {
    pending_requests_.erase(pending);
  }
}

/// Grants the usage of this router that has left the window since the last contact with the leader: over all
/// routers, this is what the leader would have had to grant again, however full the tenant's window was.
/// Beyond that, calls are granted at random, so that all routers together grant kLeaderlessShare of what the
/// tolerance allows.
QuotaReply QuotaClient::decideLocally(const TenantName& tenant, const wire::TenantQuota& quota,
                                      std::int64_t cost, TimePoint now) {
  if (last_leader_contact_ && now - *last_leader_contact_ > kMaxLeaderlessTime) {
    return {QuotaVerdict::Unavailable, kLeaderlessRetryAfter};
  }
  // The slot that was leaving the window at the last contact has been granted again by the leader in part.
  const TimePoint start = last_leader_contact_.value_or(now) + UsageWindow::kSlot;
  LocalShare& share = local_shares_.try_emplace(tenant, LocalShare{0, start}).first->second;
  share.level += usageLeavingWindow(tenant, share.at, now);
  share.at = std::max(share.at, now);
  const auto amount = static_cast<double>(cost);
  if (share.level > 0 && random_.chance(std::min(1.0, share.level / amount))) {
    share.level -= amount;
    ++counts_.local;
    recordCharge(tenant, cost, now);
    return granted(account_);
  }
  const double overrun = kLeaderlessShare * allowedOverrun(settings_.tolerance, quota);
  if (random_.chance(std::min(1.0, overrun / (kPeakRateMultiple * quota.per_second * kFailoverSeconds)))) {
    ++counts_.local;
    recordCharge(tenant, cost, now);
    return granted(account_);
  }
  return {QuotaVerdict::Unavailable, kLeaderlessRetryAfter};
}

void QuotaClient::onUpdate(const NodeName& leader, const wire::ServiceUpdate& update, TimePoint now) {
  first_update_at_ = first_update_at_.value_or(now);
  // A leader that was out of contact may have forgotten this router, and lacks what ran in the meantime.
  if (leader != leader_ || isSilentFor(kLeaderTimeout, now)) {
    full_report_due_ = true;
    awaits_confirmation_ = false;
    first_report_ = sequence_ + 1;
  }
  if (leader != leader_) {
    leader_ = leader;
    ++account_;
    inherited_limited_ = now < inherited_until_ ? std::move(inherited_limited_) : std::set<TenantName>();
    inherited_limited_.merge(limited_);
    inherited_until_ = now + kInheritedLimitTime;
  }
  last_leader_contact_ = now;
  status_interval_ = std::chrono::milliseconds(update.status_interval_ms);
  leader_reads_histories_ = update.supportsQuotaHistories();
  leader_confirms_reports_ = update.confirms_quota_reports;
  local_shares_.clear();
  limited_ = {update.limited_tenants.begin(), update.limited_tenants.end()};
}

std::vector<QuotaRequestOutcome> QuotaClient::accept(const wire::QuotaAnswer& answer, TimePoint now) {
  std::vector<QuotaRequestOutcome> resolved;
  if (answer.incarnation != settings_.incarnation) {
    return resolved;
  }
  confirmReport(answer.report_sequence, now);
  for (const wire::QuotaDecision& decision : answer.decisions) {
    const auto pending = pending_requests_.find(decision.number);
    if (pending == pending_requests_.end()) {
      continue;
    }
    if (pending->second.abandoned && decision.granted) {
      returnCredit(pending->second.tenant, pending->second.cost, pending->second.account, now);
    } else if (!pending->second.abandoned) {
      const Duration wait = std::chrono::milliseconds(decision.retry_after_ms);
      if (decision.granted) {
        recordUsage(pending->second.tenant, pending->second.cost, now);
      }
      resolved.push_back({decision.number, decision.granted ? granted(pending->second.account)
                                                            : QuotaReply{QuotaVerdict::Exhausted, wait}});
    }
    pending_requests_.erase(pending);
  }
  return resolved;
}

/// Sequences are never reused, so that an answer of an earlier leader confirms nothing.
void QuotaClient::confirmReport(std::uint64_t report_sequence, TimePoint now) {
  if (awaits_confirmation_ && report_sequence >= first_report_) {
    awaits_confirmation_ = false;
    ++counts_.confirmed_reports;
  } else if (leader_confirms_reports_ && report_sequence == 0 && now - report_sent_at_ >= kReportTimeout) {
    full_report_due_ = true;
  }
}

std::vector<QuotaRequestOutcome> QuotaClient::tick(TimePoint now) {
  std::vector<QuotaRequestOutcome> resolved;
  if (awaits_confirmation_ && now - report_sent_at_ >= kReportTimeout) {
    full_report_due_ = true;
    awaits_confirmation_ = false;
  }
  for (auto& [number, pending] : pending_requests_) {
    if (!pending.abandoned && now - pending.since >= kResponseTimeout) {
      resolved.push_back({number, decideLocally(pending.tenant, pending.quota, pending.cost, now)});
      // Credit that the leader may still grant is refunded.
      pending.abandoned = true;
    }
  }
  std::erase_if(pending_requests_, [now](const auto& item) {
    const PendingRequest& pending = item.second;
    return pending.abandoned && (!pending.sent || now - pending.since >= kTotalsResendPeriod);
  });
  return resolved;
}

std::optional<wire::QuotaUse> QuotaClient::message(const NodeName& leader, TimePoint now) {
  const bool due = full_report_due_ || requests_due_ || now >= charges_due_;
  if (!due) {
    return std::nullopt;
  }
  if (leader.empty() || leader != leader_) {
    charges_due_ = charges_due_ == TimePoint::max() ? charges_due_ : now + kChargeInterval;
    return std::nullopt;
  }
  wire::QuotaUse use;
  use.legacy_layout = !leader_reads_histories_;
  use.router = settings_.router;
  use.incarnation = settings_.incarnation;
  use.sequence = ++sequence_;
  use.whole = full_report_due_;
  use.history_ms = first_update_at_ ? toMilliseconds(now - *first_update_at_) : 0;
  // Charges up to now are part of the totals that the new leader accepts as its baseline.
  account_ += full_report_due_ ? 1 : 0;
  for (const auto& [tenant, spent] : usage_) {
    if (full_report_due_ || now - spent.changed <= kTotalsResendPeriod) {
      use.spent.push_back({tenant, spent.total});
    }
    if (full_report_due_) {
      use.histories.push_back({tenant, recentUsage(spent, now)});
    }
  }
  for (auto& [number, pending] : pending_requests_) {
    if (!pending.sent) {
      use.asks.push_back({number, pending.tenant, pending.cost});
      pending.sent = true;
      pending.account = account_;
    }
  }
  if (full_report_due_) {
    full_report_due_ = false;
    ++counts_.reports;
    report_sent_at_ = now;
    awaits_confirmation_ = leader_confirms_reports_;
  }
  requests_due_ = false;
  charges_due_ = TimePoint::max();
  return use;
}

TimePoint QuotaClient::nextDeadline() const {
  TimePoint deadline = leader_.empty() ? TimePoint::max() : charges_due_;
  if (awaits_confirmation_) {
    deadline = std::min(deadline, report_sent_at_ + kReportTimeout);
  }
  for (const auto& [number, pending] : pending_requests_) {
    deadline =
        std::min(deadline, pending.since + (pending.abandoned ? kTotalsResendPeriod : kResponseTimeout));
  }
  return deadline;
}

}  // namespace ferryrock::tenancy
