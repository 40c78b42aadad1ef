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
/// Time for which a router that loses contact goes on as before without reporting its usage.
constexpr double kMaxUnreportedSeconds = 0.5;
/// Slots in which the usage of each router is kept.
constexpr Duration kRouterUsageSlot = 1s;
/// Longest time from a router's last contact until its usage is held.
constexpr Duration kMaxHoldDelay = 5s;
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
  RouterRecord& record = routers_[use.router];
  const bool same_incarnation = record.incarnation == use.incarnation;
  wire::QuotaAnswer answer;
  answer.incarnation = use.incarnation;
  answer.report_sequence = same_incarnation ? record.report_sequence : 0;
  if (same_incarnation && use.sequence <= record.sequence) {
    return answer;
  }
  if (!same_incarnation) {
    record.tenants.clear();
    record.report_sequence = 0;
  }
  record.incarnation = use.incarnation;
  record.sequence = use.sequence;
  record.last_contact = now;
  record.out_of_contact = false;
  const bool first_report = use.whole && record.report_sequence == 0;
  for (const wire::QuotaUsageTotal& spent : use.spent) {
    charge(record, spent, first_report || !same_incarnation, now);
  }
  if (first_report) {
    for (const wire::QuotaHistory& history : use.histories) {
      applyHistory(record, history, now);
    }
    record.history =
        std::max(record.history, std::chrono::milliseconds(use.history_ms) + (started_at_ - now));
  }
  record.report_sequence = use.whole ? use.sequence : record.report_sequence;
  answer.report_sequence = record.report_sequence;
  for (const wire::QuotaCreditRequest& ask : use.asks) {
    answer.decisions.push_back(decide(record, ask, now));
  }
  return answer;
}

QuotaLedger::RouterUsage& QuotaLedger::usageOf(RouterRecord& record, const TenantName& tenant) const {
  const auto known = record.tenants.find(tenant);
  if (known != record.tenants.end()) {
    return known->second;
  }
  UsageWindow recent(tolerance_.window + kMaxHoldDelay, kRouterUsageSlot);
  return record.tenants.emplace(tenant, RouterUsage{std::nullopt, std::move(recent), 0}).first->second;
}

void QuotaLedger::recordUsage(RouterUsage& usage, double amount, TimePoint at, TimePoint now) {
  if (amount >= 0) {
    usage.recent.add(amount, at, now);
  } else {
    usage.recent.refund(-amount, now);
  }
}

void QuotaLedger::charge(RouterRecord& record, const wire::QuotaUsageTotal& spent, bool baseline,
                         TimePoint now) {
  RouterUsage& usage = usageOf(record, spent.tenant);
  const std::int64_t previous = usage.total.value_or(baseline ? spent.total : 0);
  const auto used = static_cast<double>(spent.total - previous);
  usage.total = spent.total;
  recordUsage(usage, used, now, now);
  const auto account = accounts_.find(spent.tenant);
  if (used != 0 && account != accounts_.end()) {
    account->second.bucket.charge(used, now);
    counts_.charged += used;
  }
}

/// Amounts are listed by seconds of the router's clock, latest first; the first of these is still in
/// progress. The usage of a second counts from the end of that second, so that it counts for a whole window.
/// The history doesn't contain where the seconds begin, so that each may have ended up to one second later
/// than its position implies.
void QuotaLedger::applyHistory(RouterRecord& record, const wire::QuotaHistory& history, TimePoint now) {
  const auto account = accounts_.find(history.tenant);
  RouterUsage& usage = usageOf(record, history.tenant);
  TimePoint latest = now + kHistorySlot;
  for (const std::int64_t amount : history.amounts) {
    if (amount > 0) {
      recordUsage(usage, static_cast<double>(amount), std::min(now, latest), now);
    }
    if (amount > 0 && account != accounts_.end()) {
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

void QuotaLedger::recordContact(const NodeName& router, TimePoint last_contact, TimePoint now) {
  const auto known = routers_.find(router);
  if (known != routers_.end() && !known->second.out_of_contact) {
    known->second.last_contact = std::max(known->second.last_contact, last_contact);
  }
  const auto earlier = earlier_routers_.find(router);
  if (earlier != earlier_routers_.end()) {
    earlier->second = std::max(earlier->second, last_contact);
  } else if (now - started_at_ < tolerance_.window) {
    earlier_routers_.emplace(router, last_contact);
  }
}

/// A router out of contact grants again what leaves the window of its own usage, so that its usage in any
/// window stays at what it was at the last contact, and what it used until it noticed the loss.
void QuotaLedger::holdUsageOf(RouterRecord& record, Duration timeout, TimePoint now) {
  const Duration silence = now - record.last_contact;
  if (silence > kMaxLeaderlessTime + timeout) {
    record.out_of_contact = false;
    record.tenants.clear();
    record.report_sequence = 0;
    record.incarnation = 0;
  } else if (silence > timeout && !record.out_of_contact) {
    record.out_of_contact = true;
    for (auto& [tenant, usage] : record.tenants) {
      const double unreported =
          kMaxUnreportedSeconds * usage.recent.sumSince(record.last_contact - kRouterUsageSlot, now);
      usage.held = usage.recent.sumSince(record.last_contact - tolerance_.window, now) + unreported;
    }
  }
}

void QuotaLedger::holdUsage(Duration timeout, TimePoint now) {
  std::map<TenantName, double> held;
  counts_.held = 0;
  counts_.routers_out_of_contact = 0;
  for (auto& [router, record] : routers_) {
    holdUsageOf(record, timeout, now);
    if (!record.out_of_contact) {
      continue;
    }
    ++counts_.routers_out_of_contact;
    for (auto& [tenant, usage] : record.tenants) {
      held[tenant] += std::max(0.0, usage.held - usage.recent.sumSince(now - tolerance_.window, now));
    }
  }
  for (auto& [tenant, account] : accounts_) {
    const auto found = held.find(tenant);
    const double amount = found == held.end() ? 0 : found->second;
    account.bucket.setHeld(amount);
    counts_.held += amount;
  }
}

/// Counts the routers that ran calls before this leader's start and haven't reported them: those that have
/// restarted since, and those out of contact.
void QuotaLedger::updateMissingShares(Duration timeout, TimePoint now) {
  std::erase_if(earlier_routers_, [now](const auto& item) { return now - item.second > kMaxLeaderlessTime; });
  std::size_t lost = 0;
  std::size_t out_of_contact = 0;
  for (const auto& [router, last_contact] : earlier_routers_) {
    const auto known = routers_.find(router);
    const bool reported = known != routers_.end() && known->second.report_sequence > 0;
    lost += reported && known->second.history >= tolerance_.window ? 0 : 1;
    out_of_contact += !reported && now - last_contact > timeout ? 1 : 0;
  }
  const auto all = static_cast<double>(std::max<std::size_t>(1, earlier_routers_.size()));
  for (auto& [tenant, account] : accounts_) {
    if (account.from_first_catalog) {
      account.bucket.setMissingShares(static_cast<double>(lost) / all,
                                      static_cast<double>(out_of_contact) / all);
    }
  }
}

wire::QuotaDecision QuotaLedger::decide(RouterRecord& record, const wire::QuotaCreditRequest& ask,
                                        TimePoint now) {
  wire::QuotaDecision decision;
  decision.number = ask.number;
  const auto account = accounts_.find(ask.tenant);
  const auto amount = static_cast<double>(ask.amount);
  if (account == accounts_.end() || account->second.bucket.grant(amount, now)) {
    decision.granted = true;
    counts_.granted += amount;
    usageOf(record, ask.tenant).recent.add(amount, now, now);
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
