#include "services/retry_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

/// Credits lapse if their router gets no update for this time, or for several status intervals.
constexpr Duration kMinLease = 3s;
constexpr int kLeaseIntervals = 6;
/// Part of the calls' share within which this leader's routers stay, including what they use of their own
/// shares. The rest covers the own shares of routers that this leader doesn't hear of.
constexpr double kGrantedShare = 1 - balance::kOwnRetryShare;
/// Part of the slack that each router of a build without credits may use, as a multiple of its equal part.
constexpr double kLegacyShare = 0.7;
/// Share of the unused budget that routers hold for retries to come.
constexpr double kReserveShare = 0.5;
/// Share of the budget that is left for retries that are waiting already.
constexpr double kReservedForWaiting = 0.25;
/// Bounds of what one router may use in a window, so that the use of a router that is lost with the leader is
/// bounded.
constexpr double kMaxRouterShare = 0.25;
constexpr double kMaxMeanMultiple = 8;
constexpr double kMinMeanMultiple = 2;
constexpr double kMinPerRouter = 4;
/// Sums over all routers are recomputed after this time.
constexpr Duration kTotalsTtl = 50ms;

}  // namespace

RetryLedger::RetryLedger(const balance::RetryBudgetSettings& budget, EarlierRetryUse earlier, TimePoint now)
    : budget_(budget), earlier_(std::move(earlier)), started_at_(now) {}

/// The former process may have used all its credits and all of its own share just now.
void RetryLedger::startProcess(RouterRecord& record, const wire::CallRouterStatus& status,
                               TimePoint now) const {
  for (auto& [service, use] : record.services) {
    const double own_share = balance::kOwnRetryShare * budget_.share * use.reported.calls;
    const double retries = recentUse(use, now) + outstanding(record, use, now) + own_share;
    std::vector<PastUse> past = std::move(use.past);
    std::erase_if(past, [now](const PastUse& before) { return before.until <= now; });
    if (retries > 0) {
      past.push_back({retries, now + countedFor()});
    }
    use = {};
    use.past = std::move(past);
  }
  record.incarnation = status.incarnation;
  record.lease_until = TimePoint{};
}

void RetryLedger::accept(const wire::CallRouterStatus& status, TimePoint now) {
  const auto [place, added] = routers_.try_emplace(status.router);
  RouterRecord& record = place->second;
  if (added || record.incarnation != status.incarnation) {
    startProcess(record, status, now);
    cached_.clear();
  }
  record.last_status = now;
  record.takes_credits = status.takesRetryCredits();
  record.started_at = now - std::chrono::milliseconds(std::max<std::int64_t>(0, status.alive_ms));
  for (const wire::RetryUse& reported : status.retry_uses) {
    ServiceUse& use = record.services[reported.service];
    // Credits of an earlier leader may be used until the end of that leader's lease.
    const bool held_before = reported.received > use.granted;
    if (held_before) {
      record.lease_until = std::max(record.lease_until, now + kMinLease);
      cached_.erase(reported.service);
    }
    use.reported = reported;
    use.reported_at = now;
    use.granted = std::max(use.granted, reported.received);
  }
}

/// Retries that were sent up to k + 1 seconds before the report count as sent k seconds before it.
double RetryLedger::recentUse(const ServiceUse& use, TimePoint now) const {
  double retries = 0;
  TimePoint sent = use.reported_at;
  for (const std::uint32_t count : use.reported.recent) {
    retries += now - sent <= countedFor() ? count : 0;
    sent -= 1s;
  }
  for (const PastUse& past : use.past) {
    retries += past.until > now ? past.retries : 0;
  }
  return retries;
}

std::uint64_t RetryLedger::creditsHeld(const ServiceUse& use) {
  const std::uint64_t spent = use.reported.used + use.reported.dropped;
  return use.granted > spent ? use.granted - spent : 0;
}

double RetryLedger::outstanding(const RouterRecord& record, const ServiceUse& use, TimePoint now) const {
  return now <= record.lease_until + countedFor() ? static_cast<double>(creditsHeld(use)) : 0;
}

RetryLedger::Totals RetryLedger::sum(const ServiceName& service, TimePoint now) const {
  Totals totals;
  totals.unknown_routers =
      static_cast<double>(std::count_if(earlier_.routers.begin(), earlier_.routers.end(),
                                        [this](const NodeName& router) { return !reportsAll(router); }));
  for (const auto& [router, record] : routers_) {
    totals.legacy_routers += record.takes_credits ? 0 : 1;
    const auto use = record.services.find(service);
    if (use == record.services.end()) {
      continue;
    }
    const double age = toSeconds(now - use->second.reported_at) / toSeconds(budget_.window);
    totals.calls += std::max(0.0, 1 - age) * use->second.reported.calls;
    totals.used += recentUse(use->second, now);
    totals.outstanding += outstanding(record, use->second, now);
  }
  return totals;
}

RetryLedger::Totals& RetryLedger::totals(const ServiceName& service, TimePoint now) {
  const auto [place, added] = cached_.try_emplace(service);
  if (added || now - place->second.at > kTotalsTtl) {
    place->second = {sum(service, now), now};
  }
  return place->second.totals;
}

/// Routers of builds without credits divide the slack among all routers.
double RetryLedger::budgetFor(const Totals& totals) const {
  const double legacy_share =
      kLegacyShare * totals.legacy_routers / std::max(1.0, static_cast<double>(routers_.size()));
  return budget_.slack * (1 - legacy_share) + kGrantedShare * budget_.share * totals.calls;
}

double RetryLedger::maxPerRouter(double budget) const {
  const double mean = 1 / std::max(1.0, static_cast<double>(routers_.size()));
  const double share = std::max(kMinMeanMultiple * mean, std::min(kMaxRouterShare, kMaxMeanMultiple * mean));
  return std::max(kMinPerRouter, budget * std::min(1.0, share));
}

bool RetryLedger::reportsAll(const NodeName& router) const {
  const auto record = routers_.find(router);
  return record != routers_.end() && record->second.started_at <= earlier_.reported_from;
}

/// Each router that doesn't report all of it may have used the most that one is granted.
double RetryLedger::assumedUse(double budget, const Totals& totals, TimePoint now) const {
  if (now - started_at_ > kMinLease + countedFor()) {
    return 0;
  }
  if (!earlier_.lists_all) {
    return budget;
  }
  return std::min(budget, totals.unknown_routers * maxPerRouter(budget));
}

bool RetryLedger::isAwaited(const wire::CallRouterStatus& status) {
  return std::any_of(status.retry_uses.begin(), status.retry_uses.end(),
                     [](const wire::RetryUse& use) { return use.waiting > 0; });
}

wire::RetryCredits RetryLedger::creditsFor(const wire::CallRouterStatus& status, Duration status_interval,
                                           TimePoint now) {
  const Duration lease = std::max(kMinLease, kLeaseIntervals * status_interval);
  wire::RetryCredits credits;
  credits.incarnation = status.incarnation;
  credits.status_sequence = status.sequence;
  credits.lease_ms = toMilliseconds(lease);
  const auto record = routers_.find(status.router);
  if (record == routers_.end() || record->second.incarnation != status.incarnation) {
    return credits;
  }
  for (const wire::RetryUse& use : status.retry_uses) {
    credits.grants.push_back(grant(record->second, use, now));
  }
  record->second.lease_until = std::max(record->second.lease_until, now + lease);
  return credits;
}

/// Retries that wait come first; what is left is spread over the routers for retries to come, which then need
/// no round trip.
wire::RetryGrant RetryLedger::grant(RouterRecord& record, const wire::RetryUse& reported, TimePoint now) {
  ServiceUse& use = record.services[reported.service];
  Totals& all = totals(reported.service, now);
  const double budget = budgetFor(all);
  const double assumed = assumedUse(budget, all, now);
  const double available = budget - all.used - all.outstanding - assumed;
  const double held = outstanding(record, use, now);
  const double room = std::min(available, maxPerRouter(budget) - recentUse(use, now) - held);
  const double unused = std::max(0.0, budget - all.used - assumed);
  const double reserve = std::floor(kReserveShare * unused / static_cast<double>(routers_.size()));
  const double waiting = std::max(0.0, std::min(reported.waiting - held, room));
  const double spare_room = std::min(room, available - kReservedForWaiting * budget) - waiting;
  const double spare = std::max(0.0, std::min(reported.waiting + reserve - held - waiting, spare_room));
  const double granted = std::floor(waiting) + std::floor(spare);
  use.granted += static_cast<std::uint64_t>(granted);
  all.outstanding += granted;
  return {reported.service, use.granted, static_cast<std::uint32_t>(reported.waiting + reserve)};
}

void RetryLedger::expire(TimePoint now) {
  std::erase_if(routers_, [this, now](const auto& item) {
    const RouterRecord& record = item.second;
    return now - record.last_status > countedFor() && now > record.lease_until + countedFor();
  });
}

std::vector<RetryBudgetView> RetryLedger::view(TimePoint now) const {
  std::set<ServiceName> services;
  for (const auto& [router, record] : routers_) {
    for (const auto& [service, use] : record.services) {
      services.insert(service);
    }
  }
  std::vector<RetryBudgetView> views;
  for (const ServiceName& service : services) {
    const Totals all = sum(service, now);
    const double budget = budgetFor(all);
    views.push_back({service, budget, all.used, all.outstanding, assumedUse(budget, all, now)});
  }
  return views;
}

}  // namespace ferryrock::services
