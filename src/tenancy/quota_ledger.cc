#include "tenancy/quota_ledger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

/// Credit, as a share of the burst, below which a tenant is limited.
constexpr double kLimitThreshold = 0.5;
/// Credit, as a share of the burst, from which a tenant is no longer limited.
constexpr double kUnlimitThreshold = 0.9;
/// Time for which routers may grant a tenant's calls without asking after its credit has fallen below the
/// limit: they report each 50 ms, and go on for kMaxUnaskedSilence if the leader is lost before it tells
/// them.
constexpr double kMaxUnaskedSeconds = 0.5;
/// Factor between the credit below which a tenant is limited and that from which it no longer is.
constexpr double kUnlimitFactor = 1.25;
/// Minimum time for which a tenant stays limited, since each change is sent to every router.
constexpr Duration kMinLimitedTime = 10s;
/// Longest retry time for refused callers, however many of them wait.
constexpr Duration kMaxRetryDelay = 5s;

}  // namespace

void QuotaLedger::setCatalog(const wire::ServiceCatalog& catalog, TimePoint now) {
  std::set<TenantName> listed;
  for (const wire::Tenant& tenant : catalog.tenants) {
    if (!tenant.quota) {
      continue;
    }
    listed.insert(tenant.name);
    const QuotaLimit limit = limitFor(*tenant.quota, tolerance_);
    const auto known = accounts_.find(tenant.name);
    if (known != accounts_.end()) {
      known->second.bucket.setLimit(limit);
      continue;
    }
    // The first catalog's tenants may have usage granted by an earlier leader that this ledger doesn't know.
    const double level =
        first_catalog_ ? kNewLeaderShare * allowedOverrun(tolerance_, *tenant.quota) : limit.burst;
    Account account{QuotaBucket(limit, level, first_catalog_ ? started_at_ : now)};
    account.bucket.setUnreportedShare(first_catalog_ ? unreported_share_ : 1);
    account.ramping_up = true;
    account.from_first_catalog = first_catalog_;
    accounts_.emplace(tenant.name, account);
  }
  std::erase_if(accounts_, [&listed](const auto& item) { return !listed.contains(item.first); });
  first_catalog_ = false;
}

wire::QuotaAnswer QuotaLedger::accept(const wire::QuotaUse& use, TimePoint now) {
  RouterTotals& known = routers_[use.router];
  const bool same_incarnation = known.incarnation == use.incarnation;
  wire::QuotaAnswer answer;
  answer.incarnation = use.incarnation;
  if (same_incarnation && use.sequence <= known.sequence) {
    return answer;
  }
  const bool baseline = use.whole || !same_incarnation;
  if (!same_incarnation) {
    known.totals.clear();
  }
  known.incarnation = use.incarnation;
  known.sequence = use.sequence;
  const bool had_history = std::exchange(known.has_history, known.has_history || use.whole);
  for (const wire::QuotaUsageTotal& spent : use.spent) {
    charge(known, spent, baseline, now);
  }
  if (!had_history || !same_incarnation) {
    for (const wire::QuotaHistory& history : use.histories) {
      applyHistory(history, now);
    }
  }
  known.history = std::max(known.history, std::chrono::milliseconds(use.history_ms) + (started_at_ - now));
  for (const wire::QuotaCreditRequest& ask : use.asks) {
    answer.decisions.push_back(decide(ask, now));
  }
  return answer;
}

void QuotaLedger::charge(RouterTotals& known, const wire::QuotaUsageTotal& spent, bool baseline,
                         TimePoint now) {
  const auto [total, first] = known.totals.try_emplace(spent.tenant, baseline ? spent.total : 0);
  const std::int64_t used = spent.total - total->second;
  total->second = spent.total;
  const auto account = accounts_.find(spent.tenant);
  if (used != 0 && account != accounts_.end()) {
    account->second.bucket.charge(static_cast<double>(used), now);
    counts_.charged += static_cast<double>(used);
  }
}

/// Amounts are listed by seconds of the router's clock, latest first; the first of these is still in
/// progress. The usage of a second counts from the end of that second, so that it counts for a whole window.
/// The history doesn't contain where the seconds begin, so that each may have ended up to one second later
/// than its position implies.
void QuotaLedger::applyHistory(const wire::QuotaHistory& history, TimePoint now) {
  const auto account = accounts_.find(history.tenant);
  if (account == accounts_.end()) {
    return;
  }
  TimePoint latest = now + kHistorySlot;
  for (const std::int64_t amount : history.amounts) {
    if (amount > 0) {
      account->second.bucket.addPriorUsage(static_cast<double>(amount), std::min(now, latest), now);
    }
    latest -= kHistorySlot;
  }
}

void QuotaLedger::setUnreportedShare(double share) {
  unreported_share_ = share;
  for (auto& [tenant, account] : accounts_) {
    if (account.from_first_catalog) {
      account.bucket.setUnreportedShare(share);
    }
  }
}

wire::QuotaDecision QuotaLedger::decide(const wire::QuotaCreditRequest& ask, TimePoint now) {
  wire::QuotaDecision decision;
  decision.number = ask.number;
  const auto account = accounts_.find(ask.tenant);
  const auto amount = static_cast<double>(ask.amount);
  if (account == accounts_.end() || account->second.bucket.grant(amount, now)) {
    decision.granted = true;
    counts_.granted += amount;
    return decision;
  }
  ++counts_.refused;
  decision.retry_after_ms =
      std::max<std::int64_t>(1, toMilliseconds(reserveRetryTime(account->second, amount, now)));
  return decision;
}

/// Callers that are refused in succession get successive retry times, spaced by the rate at which credit
/// returns, so that they don't retry all at once.
Duration QuotaLedger::reserveRetryTime(Account& account, double amount, TimePoint now) {
  const TimePoint credit = now + account.bucket.timeUntilCredit(now);
  const TimePoint retry_at = std::min(std::max(credit, account.reserved_until), now + kMaxRetryDelay);
  const std::chrono::duration<double> spacing(amount / account.bucket.limit().per_second);
  account.reserved_until = retry_at + std::chrono::duration_cast<Duration>(spacing);
  return retry_at - now;
}

/// Credit below which a tenant is limited, so that it suffices for the calls that routers grant without
/// asking even if the leader is lost before it tells them that the tenant is limited.
double QuotaLedger::limitThreshold(const QuotaLimit& limit) {
  return std::max(kLimitThreshold * limit.burst, kPeakRateMultiple * limit.per_second * kMaxUnaskedSeconds);
}

/// A new leader starts with little credit for every tenant, and limits a tenant only when that credit is used
/// up, or when the routers' reports show that little is left. Otherwise the calls of all tenants would
/// request credit while the leader also sends each router its first table, and none would be answered in time
/// (300 routers: 17 in 100 calls refused).
bool QuotaLedger::shouldLimit(Account& account, TimePoint now) {
  const QuotaLimit& limit = account.bucket.limit();
  const double threshold = limitThreshold(limit);
  const double unlimit_threshold = std::max(kUnlimitThreshold * limit.burst, kUnlimitFactor * threshold);
  const double level = account.bucket.level(now);
  account.ramping_up = account.ramping_up && level < threshold;
  const bool ramping_up = account.ramping_up && level >= 0;
  const double known_level = ramping_up ? account.bucket.reportedLevel(now) : level;
  const bool low = known_level < threshold;
  if (low) {
    account.limited_since = now;
  }
  const bool enough = known_level >= (account.limited ? unlimit_threshold : threshold);
  return !enough || (account.limited && now - account.limited_since < kMinLimitedTime);
}

bool QuotaLedger::refresh(TimePoint now) {
  bool changed = false;
  for (auto& [tenant, account] : accounts_) {
    const bool limited = shouldLimit(account, now);
    changed = changed || limited != account.limited;
    account.limited = limited;
  }
  if (changed) {
    limited_.clear();
    for (const auto& [tenant, account] : accounts_) {
      if (account.limited) {
        limited_.push_back(tenant);
      }
    }
  }
  return changed;
}

}  // namespace ferryrock::tenancy
