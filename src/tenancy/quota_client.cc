#include "tenancy/quota_client.h"

#include <algorithm>

namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

/// Charges are reported in batches, this long after the first one of a batch.
constexpr Duration kChargeInterval = 50ms;
/// Totals are reported again for this long after their last change, in case a message is lost.
constexpr Duration kToldAgainFor = 1s;
/// A leader sends each router a message every 250 ms and may be gone if it is silent for longer than this.
/// The timeout bounds the usage that is not charged in the meantime: at 4 times the rate, 2.8 s of it.
constexpr Duration kLeaderSilence = 700ms;
/// A response takes about 5 ms. After this timeout the router no longer waits for a leader that is overloaded
/// or gone.
constexpr Duration kAnswerLimit = 250ms;
/// Longest time without a leader for which a router knows the usage that leaves the window; a cell is usually
/// without a leader for 3 s.
constexpr Duration kLongestSilence = 30s;
/// Time from the loss of a leader until the cell has a new one: 3 s.
constexpr double kLeaderlessSeconds = 3;
/// Multiple of its rate at which a tenant may send calls while no leader counts its usage over all routers.
constexpr double kHotTenant = 4;
constexpr Duration kComeBack = 1s;

std::int64_t slotsOf(Duration window) {
  return (window + kHistorySlot - Duration(1)) / kHistorySlot;
}

QuotaReply granted(std::uint64_t account) {
  return {QuotaVerdict::Granted, std::nullopt, account};
}

}  // namespace

std::int64_t QuotaClient::costOf(const wire::TenantQuota& quota, std::optional<std::uint64_t> tokens) {
  if (quota.unit == wire::QuotaUnit::Calls) {
    return 1;
  }
  return static_cast<std::int64_t>(tokens.value_or(quota.plain_cost));
}

bool QuotaClient::leaderSilent(TimePoint now) const {
  return !leader_heard_ || now - *leader_heard_ > kLeaderSilence;
}

QuotaReply QuotaClient::request(std::uint64_t number, const wire::Tenant& tenant, std::int64_t cost,
                                TimePoint now) {
  if (leaderSilent(now)) {
    return decideAlone(tenant.name, *tenant.quota, cost, now);
  }
  if (limited_.contains(tenant.name)) {
    asks_.emplace(number, Ask{tenant.name, *tenant.quota, cost, now, account_});
    asks_due_ = true;
    return {QuotaVerdict::Asked, std::nullopt};
  }
  spend(tenant.name, cost, now);
  return granted(account_);
}

void QuotaClient::spend(const TenantName& tenant, std::int64_t amount, TimePoint now) {
  Spent& spent = spent_[tenant];
  spent.total += amount;
  spent.changed = now;
  charges_due_ = std::min(charges_due_, now + kChargeInterval);
  remember(tenant, amount, now);
}

/// A refund is deducted from the oldest second, so that no leader counts less usage than there was.
void QuotaClient::remember(const TenantName& tenant, std::int64_t amount, TimePoint now) {
  auto& by_second = spent_[tenant].by_second;
  const std::int64_t second = now.time_since_epoch() / kHistorySlot;
  by_second.erase(by_second.begin(),
                  by_second.lower_bound(second - slotsOf(settings_.tolerance.window + kLongestSilence)));
  if (amount > 0) {
    by_second[second] += amount;
    return;
  }
  for (auto& [at, used] : by_second) {
    const std::int64_t taken = std::min(used, -amount);
    used -= taken;
    amount += taken;
  }
}

double QuotaClient::rolledOff(const TenantName& tenant, TimePoint from, TimePoint to) const {
  const auto spent = spent_.find(tenant);
  if (spent == spent_.end()) {
    return 0;
  }
  const auto slotsUpTo = [this](TimePoint time) {
    return (time - settings_.tolerance.window).time_since_epoch() / kHistorySlot;
  };
  std::int64_t sum = 0;
  for (const auto& [second, used] : spent->second.by_second) {
    // A second has left the window once its end has left it.
    sum += second >= slotsUpTo(from) && second < slotsUpTo(to) ? used : 0;
  }
  return static_cast<double>(sum);
}

std::vector<std::int64_t> QuotaClient::recent(const Spent& spent, TimePoint now) const {
  const std::int64_t second = now.time_since_epoch() / kHistorySlot;
  std::vector<std::int64_t> amounts(static_cast<std::size_t>(slotsOf(settings_.tolerance.window)) + 1);
  for (const auto& [at, used] : spent.by_second) {
    const auto age = static_cast<std::size_t>(std::max<std::int64_t>(0, second - at));
    if (age < amounts.size()) {
      amounts[age] += used;
    }
  }
  return amounts;
}

void QuotaClient::chargeAgain(const TenantName& tenant, std::int64_t cost, TimePoint now) {
  spend(tenant, cost, now);
  const auto own_part = own_parts_.find(tenant);
  if (own_part != own_parts_.end()) {
    own_part->second.level -= static_cast<double>(cost);
  }
}

void QuotaClient::giveBack(const TenantName& tenant, std::int64_t cost, std::uint64_t account,
                           TimePoint now) {
  if (account == account_) {
    spend(tenant, -cost, now);
  }
}

void QuotaClient::abandon(std::uint64_t number) {
  const auto ask = asks_.find(number);
  if (ask == asks_.end()) {
    return;
  }
  if (ask->second.sent) {
    ask->second.abandoned = true;
  } else {
    asks_.erase(ask);
  }
}

/// Grants the usage of this router that has left the window since the last contact with the leader: over all
/// routers, this is what the leader would have had to grant again, however full the tenant's window was.
/// Beyond that, calls are granted at random, so that all routers together grant kLeaderlessPart of what the
/// tolerance allows.
QuotaReply QuotaClient::decideAlone(const TenantName& tenant, const wire::TenantQuota& quota,
                                    std::int64_t cost, TimePoint now) {
  const auto [found, first] = own_parts_.try_emplace(tenant, OwnPart{0, leader_heard_.value_or(now)});
  OwnPart& part = found->second;
  part.level += rolledOff(tenant, part.at, now);
  part.at = now;
  const auto amount = static_cast<double>(cost);
  if (part.level > 0 && random_.chance(std::min(1.0, part.level / amount))) {
    part.level -= amount;
    spend(tenant, cost, now);
    return granted(account_);
  }
  const double beyond = kLeaderlessPart * allowedBeyond(settings_.tolerance, quota);
  if (random_.chance(std::min(1.0, beyond / (kHotTenant * quota.per_second * kLeaderlessSeconds)))) {
    spend(tenant, cost, now);
    return granted(account_);
  }
  return {QuotaVerdict::Unavailable, kComeBack};
}

void QuotaClient::onUpdate(const NodeName& leader, const wire::ServiceUpdate& update, TimePoint now) {
  began_ = began_.value_or(now);
  if (leader != leader_) {
    leader_ = leader;
    whole_due_ = true;
    ++account_;
  }
  leader_heard_ = now;
  leader_reads_histories_ = update.readsQuotaHistories();
  own_parts_.clear();
  limited_ = {update.limited_tenants.begin(), update.limited_tenants.end()};
}

std::vector<QuotaResolved> QuotaClient::accept(const wire::QuotaAnswer& answer, TimePoint now) {
  std::vector<QuotaResolved> resolved;
  if (answer.incarnation != settings_.incarnation) {
    return resolved;
  }
  for (const wire::QuotaDecision& decision : answer.decisions) {
    const auto ask = asks_.find(decision.number);
    if (ask == asks_.end()) {
      continue;
    }
    if (ask->second.abandoned && decision.granted) {
      giveBack(ask->second.tenant, ask->second.cost, ask->second.account, now);
    } else if (!ask->second.abandoned) {
      const Duration wait = std::chrono::milliseconds(decision.retry_after_ms);
      if (decision.granted) {
        remember(ask->second.tenant, ask->second.cost, now);
      }
      resolved.push_back({decision.number, decision.granted ? granted(ask->second.account)
                                                            : QuotaReply{QuotaVerdict::Spent, wait}});
    }
    asks_.erase(ask);
  }
  return resolved;
}

std::vector<QuotaResolved> QuotaClient::tick(TimePoint now) {
  std::vector<QuotaResolved> resolved;
  for (auto& [number, ask] : asks_) {
    if (!ask.abandoned && now - ask.since >= kAnswerLimit) {
      resolved.push_back({number, decideAlone(ask.tenant, ask.quota, ask.cost, now)});
      // Credit that the leader may still grant is refunded.
      ask.abandoned = true;
    }
  }
  std::erase_if(asks_, [now](const auto& item) {
    const Ask& ask = item.second;
    return ask.abandoned && (!ask.sent || now - ask.since >= kToldAgainFor);
  });
  return resolved;
}

std::optional<wire::QuotaUse> QuotaClient::message(const NodeName& leader, TimePoint now) {
  const bool due = whole_due_ || asks_due_ || now >= charges_due_;
  if (!due || leader.empty() || leader != leader_) {
    return std::nullopt;
  }
  wire::QuotaUse use;
  use.former_layout = !leader_reads_histories_;
  use.router = settings_.router;
  use.incarnation = settings_.incarnation;
  use.sequence = ++sequence_;
  use.whole = whole_due_;
  use.history_ms = began_ ? toMilliseconds(now - *began_) : 0;
  // Charges up to now are part of the totals that the new leader accepts as its baseline.
  account_ += whole_due_ ? 1 : 0;
  for (const auto& [tenant, spent] : spent_) {
    if (whole_due_ || now - spent.changed <= kToldAgainFor) {
      use.spent.push_back({tenant, spent.total});
    }
    if (whole_due_) {
      use.histories.push_back({tenant, recent(spent, now)});
    }
  }
  for (auto& [number, ask] : asks_) {
    if (!ask.sent) {
      use.asks.push_back({number, ask.tenant, ask.cost});
      ask.sent = true;
      ask.account = account_;
    }
  }
  whole_due_ = false;
  asks_due_ = false;
  charges_due_ = TimePoint::max();
  return use;
}

TimePoint QuotaClient::nextDeadline() const {
  TimePoint deadline = leader_.empty() ? TimePoint::max() : charges_due_;
  for (const auto& [number, ask] : asks_) {
    deadline = std::min(deadline, ask.since + (ask.abandoned ? kToldAgainFor : kAnswerLimit));
  }
  return deadline;
}

}  // namespace ferryrock::tenancy
