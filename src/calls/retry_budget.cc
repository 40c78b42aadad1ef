#include "calls/retry_budget.h"

#include <algorithm>

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// A leader without credit is asked again after this time.
constexpr Duration kRefusalPause = 250ms;
/// Statuses that a leader hasn't referred to after this time don't extend a lease any more.
constexpr Duration kStatusRetention = 30s;

}  // namespace

void RetryBudget::drop(std::deque<TimePoint>& times, TimePoint before) {
  while (!times.empty() && times.front() < before) {
    times.pop_front();
  }
}

RetryBudget::Account& RetryBudget::current(const ServiceName& service, TimePoint now) {
  Account& account = accounts_[service];
  drop(account.calls, now - settings_.window);
  drop(account.own_retries, now - settings_.window - balance::kRetryDelayMargin);
  drop(account.credited_retries, now - settings_.window - balance::kRetryDelayMargin);
  dropLapsed(account, now);
  return account;
}

void RetryBudget::dropLapsed(Account& account, TimePoint now) {
  if (!lease_until_ || now > *lease_until_) {
    account.dropped += account.held();
  }
}

void RetryBudget::onCall(const ServiceName& service, TimePoint now) {
  current(service, now).calls.push_back(now);
}

bool RetryBudget::coveredByOwnShare(const Account& account) const {
  const double share = balance::kOwnRetryShare * settings_.share;
  return static_cast<double>(account.own_retries.size()) + 1 <=
         share * static_cast<double>(account.calls.size());
}

std::optional<RetryCharge> RetryBudget::spend(const ServiceName& service, TimePoint now) {
  Account& account = current(service, now);
  if (coveredByOwnShare(account)) {
    account.own_retries.push_back(now);
    return RetryCharge::OwnShare;
  }
  if (account.held() > 0) {
    ++account.used;
    account.credited_retries.push_back(now);
    return RetryCharge::Credit;
  }
  return std::nullopt;
}

/// A credit that the leader knows to be used stays used: it may have granted another one in its place.
void RetryBudget::refund(const ServiceName& service, RetryCharge charge) {
  Account& account = accounts_[service];
  if (charge == RetryCharge::OwnShare && !account.own_retries.empty()) {
    account.own_retries.pop_back();
  } else if (charge == RetryCharge::Credit && account.used > account.reported_used &&
             !account.credited_retries.empty()) {
    --account.used;
    account.credited_retries.pop_back();
  }
}

bool RetryBudget::covers(const ServiceName& service, TimePoint now) {
  const Account& account = current(service, now);
  return coveredByOwnShare(account) || account.held() > 0;
}

bool RetryBudget::mayRetry(const ServiceName& service, TimePoint now) {
  return covers(service, now) || expectsCredit(service, now);
}

bool RetryBudget::expectsCredit(const ServiceName& service, TimePoint now) const {
  const auto account = accounts_.find(service);
  const bool refused = account != accounts_.end() && now < account->second.refused_until;
  return lease_until_ && now <= *lease_until_ && !refused;
}

std::vector<std::uint32_t> RetryBudget::recentUse(const Account& account, TimePoint now) {
  std::vector<std::uint32_t> by_second;
  const auto add = [&by_second, now](TimePoint sent) {
    const auto age = static_cast<std::size_t>(std::chrono::floor<std::chrono::seconds>(now - sent).count());
    by_second.resize(std::max(by_second.size(), age + 1));
    ++by_second[age];
  };
  std::for_each(account.own_retries.begin(), account.own_retries.end(), add);
  std::for_each(account.credited_retries.begin(), account.credited_retries.end(), add);
  return by_second;
}

std::vector<wire::RetryUse> RetryBudget::report(const std::map<ServiceName, std::uint32_t>& waiting,
                                                TimePoint now) {
  std::vector<wire::RetryUse> uses;
  for (auto& [service, ignored] : accounts_) {
    Account& account = current(service, now);
    const auto wanted = waiting.find(service);
    wire::RetryUse use;
    use.service = service;
    use.calls = static_cast<std::uint32_t>(account.calls.size());
    use.received = account.received;
    use.used = account.used;
    use.dropped = account.dropped;
    use.recent = recentUse(account, now);
    use.waiting = wanted == waiting.end() ? 0 : wanted->second;
    account.reported_used = account.used;
    account.wanted = use.waiting > 0;
    if (use.calls > 0 || use.waiting > 0 || !use.recent.empty() || account.held() > 0) {
      uses.push_back(std::move(use));
    }
  }
  return uses;
}

void RetryBudget::onStatusSent(std::uint64_t sequence, TimePoint now) {
  sent_statuses_.push_back({sequence, now});
  while (now - sent_statuses_.front().sent > kStatusRetention) {
    sent_statuses_.pop_front();
  }
  for (auto& [service, account] : accounts_) {
    account.wanted_since =
        account.wanted ? std::optional(account.wanted_since.value_or(sequence)) : std::nullopt;
  }
}

/// The lease begins when the status was sent that the leader refers to, so that a late update can't extend it
/// beyond what the leader assumes.
std::set<ServiceName> RetryBudget::accept(const wire::RetryCredits& credits, TimePoint now) {
  std::set<ServiceName> decided;
  if (credits.incarnation != incarnation_) {
    return decided;
  }
  const auto status =
      std::find_if(sent_statuses_.begin(), sent_statuses_.end(),
                   [&credits](const SentStatus& sent) { return sent.sequence == credits.status_sequence; });
  if (status == sent_statuses_.end()) {
    return decided;
  }
  const TimePoint lease = status->sent + std::chrono::milliseconds(credits.lease_ms);
  for (auto& [service, account] : accounts_) {
    dropLapsed(account, now);
  }
  lease_until_ = std::max(lease_until_.value_or(lease), lease);
  for (const wire::RetryGrant& grant : credits.grants) {
    Account& account = current(grant.service, now);
    applyGrant(account, grant);
    const bool answers = account.wanted_since && credits.status_sequence >= *account.wanted_since;
    if (account.held() > 0) {
      decided.insert(grant.service);
    } else if (answers) {
      account.refused_until = now + kRefusalPause;
      decided.insert(grant.service);
    }
  }
  return decided;
}

/// Totals are sent rather than amounts, so that an update that is lost or duplicated has no effect.
void RetryBudget::applyGrant(Account& account, const wire::RetryGrant& grant) {
  account.received = std::max(account.received, grant.total);
  const std::uint64_t held = account.held();
  account.dropped += held > grant.keep ? held - grant.keep : 0;
}

RetryUsage RetryBudget::usage(const ServiceName& service, TimePoint now) {
  const Account& account = current(service, now);
  return {account.calls.size(), account.own_retries.size(), account.credited_retries.size(), account.held()};
}

}  // namespace ferryrock::calls
