#include "services/limit_ledger.h"

#include <algorithm>
#include <cmath>

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

/// Burst size: an account accumulates credit for this many calls, or for this time at its rate if that is
/// more. Calls that arrive together at several routers thus needn't be spaced at the rate of the limit.
constexpr double kMinBurst = 1;
constexpr double kBurstSeconds = 0.25;
/// Upper bound on the wait of a call that is granted credit in advance, and on the wait times announced to
/// refused callers beyond the next available credit.
constexpr Duration kMaxGrantWait = 5s;
/// Routers receive a new rate only if it differs from the published one by this factor, and at most once per
/// interval. Only the ledger needs the exact rate.
constexpr double kPublishFactor = 1.25;
constexpr Duration kMinPublishInterval = 1s;
/// Retention of a limit that has ended, so that late reports of routers that observed it earlier don't revive
/// it.
constexpr Duration kEndedLimitRetention = 60s;
constexpr std::size_t kMaxAccounts = 10'000;
constexpr std::size_t kMaxRequesters = 10'000;

bool differs(double published, double per_second) {
  return per_second > published * kPublishFactor || per_second * kPublishFactor < published;
}

Duration secondsToDuration(double seconds) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

wire::LimitReply LimitLedger::accept(const wire::LimitRequest& request, TimePoint now) {
  wire::LimitReply reply;
  reply.incarnation = request.incarnation;
  if (!acceptSequence(request)) {
    return reply;
  }
  for (const wire::ObservedLimit& heard : request.heard) {
    const TimePoint at = now - std::chrono::milliseconds(std::max<std::int64_t>(0, heard.age_ms));
    if (heard.calls_per_second) {
      observeLimit(heard.replica, *heard.calls_per_second, at, now);
    } else {
      observeNoLimit(heard.replica, at);
    }
  }
  for (const ReplicaId& replica : request.returned) {
    returnCredit(replica, now);
  }
  for (const wire::LimitCreditRequest& ask : request.asks) {
    observeLimit(ask.replica, ask.calls_per_second,
                 now - std::chrono::milliseconds(std::max<std::int64_t>(0, ask.age_ms)), now);
    reply.decisions.push_back(decide(ask, now));
  }
  return reply;
}

/// Rejects duplicate and reordered messages: processing a message twice would charge and return credit twice.
bool LimitLedger::acceptSequence(const wire::LimitRequest& request) {
  if (requesters_.size() >= kMaxRequesters && !requesters_.contains(request.router)) {
    requesters_.clear();
  }
  Requester& known = requesters_[request.router];
  if (known.incarnation == request.incarnation && request.sequence <= known.sequence) {
    return false;
  }
  known = {request.incarnation, request.sequence};
  return true;
}

void LimitLedger::observeLimit(const ReplicaId& replica, double per_second, TimePoint at, TimePoint now) {
  if (!std::isfinite(per_second) || per_second < 0) {
    return;
  }
  const auto [place, fresh] = accounts_.try_emplace(replica);
  Account& account = place->second;
  if (!fresh && account.ended && *account.ended >= at) {
    return;
  }
  if (fresh || account.ended) {
    account.ended.reset();
    account.per_second = per_second;
    account.credit = 0;
    account.refilled_at = now;
    account.observed_at = at;
  } else if (at > account.observed_at) {
    refill(account, now);
    account.per_second = per_second;
    account.observed_at = at;
  }
  const bool changed = account.published && differs(*account.published, account.per_second);
  if (!account.published || (changed && now - account.published_at >= kMinPublishInterval)) {
    account.published = account.per_second;
    account.published_at = now;
    changed_.push_back(replica);
  }
  evictOldest();
}

/// `sent` is the time at which the call was sent whose response carries no limit. The response supersedes the
/// limit only if the call was sent after the limit was last observed.
void LimitLedger::observeNoLimit(const ReplicaId& replica, TimePoint sent) {
  const auto account = accounts_.find(replica);
  if (account == accounts_.end() || account->second.ended || sent <= account->second.observed_at) {
    return;
  }
  account->second.ended = sent;
  account->second.published.reset();
  changed_.push_back(replica);
}

void LimitLedger::returnCredit(const ReplicaId& replica, TimePoint now) {
  const auto account = accounts_.find(replica);
  if (account != accounts_.end() && !account->second.ended) {
    refill(account->second, now);
    account->second.credit += 1;
    ++counts_.returned;
  }
}

double LimitLedger::rateOf(const Account& account) {
  return std::max(wire::kMinLimitRate, account.per_second);
}

void LimitLedger::refill(Account& account, TimePoint now) {
  const double rate = rateOf(account);
  const double max_credit = std::max(kMinBurst, kBurstSeconds * rate);
  account.credit = std::min(max_credit, account.credit + rate * toSeconds(now - account.refilled_at));
  account.refilled_at = now;
}

/// Grants credit in the order of the requests, in advance as well if the call can wait for it. Refused
/// callers get retry times that are staggered at the rate at which credit accrues, so that they don't return
/// together.
wire::LimitDecision LimitLedger::decide(const wire::LimitCreditRequest& ask, TimePoint now) {
  wire::LimitDecision decision;
  decision.number = ask.number;
  const auto found = accounts_.find(ask.replica);
  if (found == accounts_.end() || found->second.ended) {
    decision.granted = true;
    decision.unlimited = true;
    return decision;
  }
  Account& account = found->second;
  refill(account, now);
  const Duration wait = secondsToDuration(std::max(0.0, (1 - account.credit) / rateOf(account)));
  const Duration max_wait = std::clamp<Duration>(std::chrono::milliseconds(ask.wait_ms), 0ms, kMaxGrantWait);
  decision.calls_per_second = account.per_second;
  decision.granted = wait <= max_wait;
  if (decision.granted) {
    account.credit -= 1;
    ++counts_.granted;
    counts_.reserved += wait > Duration::zero() ? 1 : 0;
    decision.wait_ms = toMilliseconds(std::chrono::ceil<std::chrono::milliseconds>(wait));
    return decision;
  }
  ++counts_.refused;
  const TimePoint retry_at = std::max(now + wait, account.announced_until);
  account.announced_until = retry_at + secondsToDuration(1 / rateOf(account));
  account.announced_until = std::min(account.announced_until, now + wait + kMaxGrantWait);
  decision.wait_ms = toMilliseconds(std::chrono::ceil<std::chrono::milliseconds>(retry_at - now));
  return decision;
}

std::vector<std::pair<ReplicaId, std::optional<double>>> LimitLedger::takeChanges() {
  std::vector<std::pair<ReplicaId, std::optional<double>>> changes;
  for (const ReplicaId& replica : std::exchange(changed_, {})) {
    const auto account = accounts_.find(replica);
    changes.emplace_back(replica, account == accounts_.end() ? std::nullopt : account->second.published);
  }
  return changes;
}

void LimitLedger::expire(TimePoint now) {
  std::erase_if(accounts_, [now](const auto& item) {
    return item.second.ended && now - *item.second.ended > kEndedLimitRetention;
  });
}

std::size_t LimitLedger::activeCount() const {
  return static_cast<std::size_t>(
      std::count_if(accounts_.begin(), accounts_.end(), [](const auto& item) { return !item.second.ended; }));
}

/// Evicts the account whose limit was observed least recently.
void LimitLedger::evictOldest() {
  if (accounts_.size() <= kMaxAccounts) {
    return;
  }
  const auto oldest = std::min_element(
      accounts_.begin(), accounts_.end(),
      [](const auto& left, const auto& right) { return left.second.observed_at < right.second.observed_at; });
  changed_.push_back(oldest->first);
  accounts_.erase(oldest);
}

}  // namespace ferryrock::services
