#include "calls/replica_limits.h"

#include <algorithm>
#include <utility>

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// Maximum number of replicas whose limits are kept, as many as need one at the same time in the largest
/// planned fleet.
constexpr std::size_t kMaxRetainedLimits = 4'000;
/// A leader sends an update to each router every 250 ms; after this time without contact it may be gone.
constexpr Duration kLeaderTimeout = 700ms;
/// A reply takes about 5 ms. A leader that is busy or gone isn't waited for any longer than this.
constexpr Duration kReplyTimeout = 250ms;
/// Requests are kept for this long, so that a late grant can be returned. A grant that arrives later still is
/// lost to the replica's callers.
constexpr Duration kLateReplyRetention = 1s;
/// Share of a limit that all routers together use without a leader, on average. It leaves room for the calls
/// that a leader may have granted in the 4 s before.
constexpr double kLocalAllowanceShare = 0.5;
/// Maximum share of a limit for which spare credits are requested.
constexpr double kSpareShare = 0.5;
constexpr Duration kMinSpareInterval = 1s;
constexpr std::size_t kMaxReturned = 1'000;

std::int64_t ageInMilliseconds(TimePoint at, TimePoint now) {
  return std::max<std::int64_t>(0, toMilliseconds(now - at));
}

}  // namespace

ReplicaLimits::Limit& ReplicaLimits::addLimit(const ReplicaId& replica, double per_second, TimePoint now) {
  Limit limit;
  limit.per_second = per_second;
  limit.stated_at = now;
  limit.any_stated_at = now;
  limit.allowance_updated_at = now;
  limit.next_spare_request = now + Duration(static_cast<Duration::rep>(
                                       random_.unit() * static_cast<double>(spareInterval(limit).count())));
  return limits_.insert_or_assign(replica, limit).first->second;
}

ReplicaLimits::Change ReplicaLimits::recordLimit(const ReplicaId& replica, double per_second,
                                                 std::optional<TimePoint> sent, TimePoint now) {
  const auto known = limits_.find(replica);
  if (known == limits_.end()) {
    addLimit(replica, per_second, now);
    queueReport(replica, per_second, now);
    enforceBounds();
    return Change::Added;
  }
  Limit& limit = known->second;
  limit.any_stated_at = now;
  const bool same = per_second == limit.per_second;
  // A higher limit counts as the newer value only if its call was sent after the lower limit was last stated.
  const bool later = sent && *sent > limit.stated_at;
  if (!same && !later && per_second > limit.per_second) {
    return Change::None;
  }
  limit.per_second = per_second;
  limit.stated_at = now;
  if (same) {
    return Change::None;
  }
  queueReport(replica, per_second, now);
  return Change::Changed;
}

ReplicaLimits::Change ReplicaLimits::recordNoLimit(const ReplicaId& replica, TimePoint sent) {
  const auto limit = limits_.find(replica);
  if (limit == limits_.end() || sent <= limit->second.any_stated_at) {
    return Change::None;
  }
  limits_.erase(limit);
  queueReport(replica, std::nullopt, sent);
  return Change::Ended;
}

/// A limit that this router received itself is kept: it is as recent, and credit requests report its age to
/// the leader.
ReplicaLimits::Change ReplicaLimits::onLeaderLimit(const ReplicaId& replica, double per_second,
                                                   TimePoint now) {
  if (limits_.contains(replica)) {
    return Change::None;
  }
  addLimit(replica, per_second, now);
  enforceBounds();
  return Change::Added;
}

std::optional<double> ReplicaLimits::limitOf(const ReplicaId& replica) const {
  const auto limit = limits_.find(replica);
  return limit == limits_.end() ? std::nullopt : std::optional(limit->second.per_second);
}

/// Evicts the limit that was stated the longest time ago.
void ReplicaLimits::enforceBounds() {
  if (limits_.size() <= kMaxRetainedLimits) {
    return;
  }
  limits_.erase(std::min_element(limits_.begin(), limits_.end(), [](const auto& left, const auto& right) {
    return left.second.stated_at < right.second.stated_at;
  }));
}

void ReplicaLimits::queueReport(const ReplicaId& replica, std::optional<double> per_second, TimePoint at) {
  pending_reports_.insert_or_assign(replica, LimitReport{per_second, at});
}

bool ReplicaLimits::leaderTimedOut(TimePoint now) const {
  return !leader_grants_ || !last_leader_contact_ || now - *last_leader_contact_ > kLeaderTimeout;
}

TimePoint ReplicaLimits::leaderlessSince() const {
  return last_leader_contact_ ? *last_leader_contact_ + (leader_grants_ ? kLeaderTimeout : Duration::zero())
                              : TimePoint{};
}

void ReplicaLimits::onLeader(bool grants, std::uint32_t routers, TimePoint now) {
  last_leader_contact_ = now;
  leader_grants_ = grants;
  routers_ = std::max(1U, routers);
}

/// Scales with the number of routers, so that the total rate of requests doesn't depend on it.
Duration ReplicaLimits::spareInterval(const Limit& limit) const {
  const double requests_per_second = kSpareShare * std::max(limit.per_second, wire::kMinLimitRate);
  const std::chrono::duration<double> interval(routers_ / requests_per_second);
  return std::max(kMinSpareInterval, std::chrono::duration_cast<Duration>(interval));
}

bool ReplicaLimits::hasSpare(const Limit& limit, TimePoint now) const {
  return limit.spare_from && now >= *limit.spare_from && now < *limit.spare_from + kCreditTtl;
}

bool ReplicaLimits::hasSpareCredit(const ReplicaId& replica, TimePoint now) const {
  const auto found = limits_.find(replica);
  return found != limits_.end() && hasSpare(found->second, now);
}

/// Each leaderless period starts with a random fraction of one call. This way all routers together send what
/// their shares allow, without an initial burst, however many routers there are and however small their
/// shares.
void ReplicaLimits::accrueLocalAllowance(Limit& limit, TimePoint now) {
  if (limit.allowance_period != leaderlessSince()) {
    limit.allowance_period = leaderlessSince();
    limit.local_allowance = random_.unit();
    limit.allowance_updated_at = std::max(limit.allowance_updated_at, std::min(now, leaderlessSince()));
  }
  const double rate = kLocalAllowanceShare * limit.per_second / routers_;
  limit.local_allowance =
      std::min(1.0, limit.local_allowance + rate * toSeconds(now - limit.allowance_updated_at));
  limit.allowance_updated_at = now;
}

bool ReplicaLimits::admits(const ReplicaId& replica, TimePoint now) {
  const auto found = limits_.find(replica);
  if (found == limits_.end() || hasSpare(found->second, now)) {
    return true;
  }
  if (!leaderTimedOut(now)) {
    return false;
  }
  accrueLocalAllowance(found->second, now);
  return found->second.local_allowance >= 1;
}

void ReplicaLimits::onSent(const ReplicaId& replica, TimePoint now) {
  const auto found = limits_.find(replica);
  if (found == limits_.end()) {
    return;
  }
  ++counts_.sent;
  if (hasSpare(found->second, now)) {
    found->second.spare_from.reset();
    return;
  }
  ++counts_.sent_locally;
  found->second.local_allowance -= 1;
}

std::optional<std::uint64_t> ReplicaLimits::requestCredit(const ReplicaId& replica, Duration wait,
                                                          TimePoint now) {
  if (leaderTimedOut(now)) {
    return std::nullopt;
  }
  ++counts_.asked;
  requests_.emplace(next_request_, CreditRequest{replica, now, wait});
  return next_request_++;
}

void ReplicaLimits::requestSpareCredit(const ReplicaId& replica, TimePoint now) {
  const auto found = limits_.find(replica);
  if (found == limits_.end() || now < found->second.next_spare_request || leaderTimedOut(now)) {
    return;
  }
  found->second.next_spare_request = now + spareInterval(found->second);
  requests_.emplace(next_request_++, CreditRequest{replica, now, Duration::zero(), true});
}

void ReplicaLimits::abandon(std::uint64_t number) {
  const auto pending = requests_.find(number);
  if (pending == requests_.end()) {
    return;
  }
  if (pending->second.sent) {
    pending->second.abandoned = true;
  } else {
    requests_.erase(pending);
  }
}

void ReplicaLimits::returnCredit(const ReplicaId& replica) {
  if (limits_.contains(replica) && returned_.size() < kMaxReturned) {
    ++counts_.returned;
    returned_.push_back(replica);
  }
}

std::vector<LimitRequestOutcome> ReplicaLimits::accept(const wire::LimitReply& reply, TimePoint now) {
  std::vector<LimitRequestOutcome> resolved;
  if (reply.incarnation != settings_.incarnation) {
    return resolved;
  }
  for (const wire::LimitDecision& decision : reply.decisions) {
    const auto found = requests_.find(decision.number);
    if (found == requests_.end()) {
      continue;
    }
    const CreditRequest pending = found->second;
    requests_.erase(found);
    if (const auto one = resolve(decision.number, pending, decision, now)) {
      resolved.push_back(*one);
    }
  }
  return resolved;
}

std::optional<LimitRequestOutcome> ReplicaLimits::resolve(std::uint64_t number, const CreditRequest& pending,
                                                          const wire::LimitDecision& decision,
                                                          TimePoint now) {
  const TimePoint at = now + std::chrono::milliseconds(std::max<std::int64_t>(0, decision.wait_ms));
  const auto limit = limits_.find(pending.replica);
  const bool stated_since = limit != limits_.end() && limit->second.any_stated_at > pending.since;
  if (decision.unlimited && limit != limits_.end() && !stated_since) {
    limits_.erase(limit);
  }
  const bool credit = decision.granted && !decision.unlimited;
  if (pending.abandoned) {
    if (credit) {
      returnCredit(pending.replica);
    }
    return std::nullopt;
  }
  if (pending.spare) {
    if (credit && limit != limits_.end()) {
      limit->second.spare_from = at;
    }
    return std::nullopt;
  }
  ++(decision.granted ? counts_.granted : counts_.refused);
  return LimitRequestOutcome{
      number,
      decision.granted ? LimitRequestOutcome::Verdict::Granted : LimitRequestOutcome::Verdict::Refused, at};
}

std::vector<LimitRequestOutcome> ReplicaLimits::tick(TimePoint now) {
  std::vector<LimitRequestOutcome> resolved;
  for (auto& [number, pending] : requests_) {
    if (!pending.abandoned && now - pending.since >= kReplyTimeout) {
      pending.abandoned = true;
      if (!pending.spare) {
        ++counts_.unanswered;
        resolved.push_back({number, LimitRequestOutcome::Verdict::Unanswered, now});
      }
    }
  }
  std::erase_if(requests_, [now](const auto& item) {
    const CreditRequest& pending = item.second;
    return pending.abandoned && (!pending.sent || now - pending.since >= kLateReplyRetention);
  });
  return resolved;
}

std::optional<wire::LimitRequest> ReplicaLimits::message(TimePoint now) {
  const bool unsent =
      std::any_of(requests_.begin(), requests_.end(), [](const auto& item) { return !item.second.sent; });
  if ((pending_reports_.empty() && returned_.empty() && !unsent) || leaderTimedOut(now)) {
    return std::nullopt;
  }
  wire::LimitRequest request;
  request.router = settings_.router;
  request.incarnation = settings_.incarnation;
  request.sequence = ++sequence_;
  for (const auto& [replica, report] : std::exchange(pending_reports_, {})) {
    request.heard.push_back({replica, report.per_second, ageInMilliseconds(report.at, now)});
  }
  request.returned = std::exchange(returned_, {});
  for (auto& [number, pending] : requests_) {
    const auto limit = limits_.find(pending.replica);
    if (!pending.sent && limit != limits_.end()) {
      request.asks.push_back({number, pending.replica, toMilliseconds(pending.wait), limit->second.per_second,
                              ageInMilliseconds(limit->second.stated_at, now)});
    }
    pending.sent = true;
  }
  return request;
}

TimePoint ReplicaLimits::nextDeadline() const {
  TimePoint deadline = TimePoint::max();
  for (const auto& [number, pending] : requests_) {
    deadline = std::min(deadline, pending.since + (pending.abandoned ? kLateReplyRetention : kReplyTimeout));
  }
  return deadline;
}

}  // namespace ferryrock::calls
