#include "calls/replica_limits.h"

#include <algorithm>
#include <utility>

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// Maximum number of replicas whose limits are kept, as many as need one at the same time in the largest
/// planned fleet.
constexpr std::size_t kRememberedLimits = 4'000;
/// A leader sends an update to each router every 250 ms; after this time without contact it may be gone.
constexpr Duration kLeaderSilence = 700ms;
/// A reply takes about 5 ms. A leader that is busy or gone isn't waited for any longer than this.
constexpr Duration kAnswerLimit = 250ms;
/// Requests are kept for this long, so that a late grant can be returned. A grant that arrives later still is
/// lost to the replica's callers.
constexpr Duration kLateAnswer = 1s;
/// Share of a limit that all routers together use without a leader, on average. It leaves room for the calls
/// that a leader may have granted in the 4 s before.
constexpr double kOwnPartShare = 0.5;
/// Maximum share of a limit for which spare credits are requested.
constexpr double kSpareShare = 0.5;
constexpr Duration kLeastSpareInterval = 1s;
constexpr std::size_t kMostReturned = 1'000;

std::int64_t ageInMilliseconds(TimePoint at, TimePoint now) {
  return std::max<std::int64_t>(0, toMilliseconds(now - at));
}

}  // namespace

ReplicaLimits::Limit& ReplicaLimits::addLimit(const ReplicaId& replica, double per_second, TimePoint now) {
  Limit limit;
  limit.per_second = per_second;
  limit.named = now;
  limit.heard = now;
  limit.own_part_at = now;
  limit.next_spare_ask = now + Duration(static_cast<Duration::rep>(
                                   random_.unit() * static_cast<double>(spareInterval(limit).count())));
  return limits_.insert_or_assign(replica, limit).first->second;
}

ReplicaLimits::Change ReplicaLimits::name(const ReplicaId& replica, double per_second,
                                          std::optional<TimePoint> sent, TimePoint now) {
  const auto known = limits_.find(replica);
  if (known == limits_.end()) {
    addLimit(replica, per_second, now);
    tell(replica, per_second, now);
    keepBounded();
    return Change::Named;
  }
  Limit& limit = known->second;
  limit.heard = now;
  const bool same = per_second == limit.per_second;
  // A higher limit counts as the newer value only if its call was sent after the lower limit was last stated.
  const bool later = sent && *sent > limit.named;
  if (!same && !later && per_second > limit.per_second) {
    return Change::None;
  }
  limit.per_second = per_second;
  limit.named = now;
  if (same) {
    return Change::None;
  }
  tell(replica, per_second, now);
  return Change::Changed;
}

ReplicaLimits::Change ReplicaLimits::end(const ReplicaId& replica, TimePoint sent) {
  const auto limit = limits_.find(replica);
  if (limit == limits_.end() || sent <= limit->second.heard) {
    return Change::None;
  }
  limits_.erase(limit);
  tell(replica, std::nullopt, sent);
  return Change::Ended;
}

/// A limit that this router received itself is kept: it is as recent, and credit requests report its age to
/// the leader.
ReplicaLimits::Change ReplicaLimits::onTold(const ReplicaId& replica, double per_second, TimePoint now) {
  if (limits_.contains(replica)) {
    return Change::None;
  }
  addLimit(replica, per_second, now);
  keepBounded();
  return Change::Named;
}

std::optional<double> ReplicaLimits::limitOf(const ReplicaId& replica) const {
  const auto limit = limits_.find(replica);
  return limit == limits_.end() ? std::nullopt : std::optional(limit->second.per_second);
}

/// Evicts the limit that was stated the longest time ago.
void ReplicaLimits::keepBounded() {
  if (limits_.size() <= kRememberedLimits) {
    return;
  }
  limits_.erase(std::min_element(limits_.begin(), limits_.end(), [](const auto& left, const auto& right) {
    return left.second.named < right.second.named;
  }));
}

void ReplicaLimits::tell(const ReplicaId& replica, std::optional<double> per_second, TimePoint at) {
  news_.insert_or_assign(replica, News{per_second, at});
}

bool ReplicaLimits::leaderSilent(TimePoint now) const {
  return !leader_grants_ || !leader_heard_ || now - *leader_heard_ > kLeaderSilence;
}

TimePoint ReplicaLimits::silenceBegan() const {
  return leader_heard_ ? *leader_heard_ + (leader_grants_ ? kLeaderSilence : Duration::zero()) : TimePoint{};
}

void ReplicaLimits::onLeader(bool grants, std::uint32_t routers, TimePoint now) {
  leader_heard_ = now;
  leader_grants_ = grants;
  routers_ = std::max(1U, routers);
}

/// Scales with the number of routers, so that the total rate of requests doesn't depend on it.
Duration ReplicaLimits::spareInterval(const Limit& limit) const {
  const double asked_per_second = kSpareShare * std::max(limit.per_second, wire::kLeastLimitRate);
  const std::chrono::duration<double> interval(routers_ / asked_per_second);
  return std::max(kLeastSpareInterval, std::chrono::duration_cast<Duration>(interval));
}

bool ReplicaLimits::hasSpare(const Limit& limit, TimePoint now) const {
  return limit.spare_from && now >= *limit.spare_from && now < *limit.spare_from + kCreditLasts;
}

bool ReplicaLimits::hasSpareCredit(const ReplicaId& replica, TimePoint now) const {
  const auto found = limits_.find(replica);
  return found != limits_.end() && hasSpare(found->second, now);
}

/// Each leaderless period starts with a random fraction of one call. This way all routers together send what
/// their shares allow, without an initial burst, however many routers there are and however small their
/// shares.
void ReplicaLimits::growOwnPart(Limit& limit, TimePoint now) {
  if (limit.own_part_of != silenceBegan()) {
    limit.own_part_of = silenceBegan();
    limit.own_part = random_.unit();
    limit.own_part_at = std::max(limit.own_part_at, std::min(now, silenceBegan()));
  }
  const double rate = kOwnPartShare * limit.per_second / routers_;
  limit.own_part = std::min(1.0, limit.own_part + rate * toSeconds(now - limit.own_part_at));
  limit.own_part_at = now;
}

bool ReplicaLimits::admits(const ReplicaId& replica, TimePoint now) {
  const auto found = limits_.find(replica);
  if (found == limits_.end() || hasSpare(found->second, now)) {
    return true;
  }
  if (!leaderSilent(now)) {
    return false;
  }
  growOwnPart(found->second, now);
  return found->second.own_part >= 1;
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
  ++counts_.alone;
  found->second.own_part -= 1;
}

std::optional<std::uint64_t> ReplicaLimits::ask(const ReplicaId& replica, Duration wait, TimePoint now) {
  if (leaderSilent(now)) {
    return std::nullopt;
  }
  ++counts_.asked;
  asks_.emplace(next_ask_, Ask{replica, now, wait});
  return next_ask_++;
}

void ReplicaLimits::askSpare(const ReplicaId& replica, TimePoint now) {
  const auto found = limits_.find(replica);
  if (found == limits_.end() || now < found->second.next_spare_ask || leaderSilent(now)) {
    return;
  }
  found->second.next_spare_ask = now + spareInterval(found->second);
  asks_.emplace(next_ask_++, Ask{replica, now, Duration::zero(), true});
}

void ReplicaLimits::abandon(std::uint64_t number) {
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

void ReplicaLimits::giveBack(const ReplicaId& replica) {
  if (limits_.contains(replica) && returned_.size() < kMostReturned) {
    ++counts_.returned;
    returned_.push_back(replica);
  }
}

std::vector<LimitResolved> ReplicaLimits::accept(const wire::LimitReply& reply, TimePoint now) {
  std::vector<LimitResolved> resolved;
  if (reply.incarnation != settings_.incarnation) {
    return resolved;
  }
  for (const wire::LimitDecision& decision : reply.decisions) {
    const auto found = asks_.find(decision.number);
    if (found == asks_.end()) {
      continue;
    }
    const Ask ask = found->second;
    asks_.erase(found);
    if (const auto one = resolve(decision.number, ask, decision, now)) {
      resolved.push_back(*one);
    }
  }
  return resolved;
}

std::optional<LimitResolved> ReplicaLimits::resolve(std::uint64_t number, const Ask& ask,
                                                    const wire::LimitDecision& decision, TimePoint now) {
  const TimePoint at = now + std::chrono::milliseconds(std::max<std::int64_t>(0, decision.wait_ms));
  const auto limit = limits_.find(ask.replica);
  const bool heard_since = limit != limits_.end() && limit->second.heard > ask.since;
  if (decision.unlimited && limit != limits_.end() && !heard_since) {
    limits_.erase(limit);
  }
  const bool credit = decision.granted && !decision.unlimited;
  if (ask.abandoned) {
    if (credit) {
      giveBack(ask.replica);
    }
    return std::nullopt;
  }
  if (ask.spare) {
    if (credit && limit != limits_.end()) {
      limit->second.spare_from = at;
    }
    return std::nullopt;
  }
  ++(decision.granted ? counts_.granted : counts_.refused);
  return LimitResolved{
      number, decision.granted ? LimitResolved::Verdict::Granted : LimitResolved::Verdict::Refused, at};
}

std::vector<LimitResolved> ReplicaLimits::tick(TimePoint now) {
  std::vector<LimitResolved> resolved;
  for (auto& [number, ask] : asks_) {
    if (!ask.abandoned && now - ask.since >= kAnswerLimit) {
      ask.abandoned = true;
      if (!ask.spare) {
        ++counts_.unanswered;
        resolved.push_back({number, LimitResolved::Verdict::Unanswered, now});
      }
    }
  }
  std::erase_if(asks_, [now](const auto& item) {
    const Ask& ask = item.second;
    return ask.abandoned && (!ask.sent || now - ask.since >= kLateAnswer);
  });
  return resolved;
}

std::optional<wire::LimitRequest> ReplicaLimits::message(TimePoint now) {
  const bool unsent =
      std::any_of(asks_.begin(), asks_.end(), [](const auto& item) { return !item.second.sent; });
  if ((news_.empty() && returned_.empty() && !unsent) || leaderSilent(now)) {
    return std::nullopt;
  }
  wire::LimitRequest request;
  request.router = settings_.router;
  request.incarnation = settings_.incarnation;
  request.sequence = ++sequence_;
  for (const auto& [replica, news] : std::exchange(news_, {})) {
    request.heard.push_back({replica, news.per_second, ageInMilliseconds(news.at, now)});
  }
  request.returned = std::exchange(returned_, {});
  for (auto& [number, ask] : asks_) {
    const auto limit = limits_.find(ask.replica);
    if (!ask.sent && limit != limits_.end()) {
      request.asks.push_back({number, ask.replica, toMilliseconds(ask.wait), limit->second.per_second,
                              ageInMilliseconds(limit->second.named, now)});
    }
    ask.sent = true;
  }
  return request;
}

TimePoint ReplicaLimits::nextDeadline() const {
  TimePoint deadline = TimePoint::max();
  for (const auto& [number, ask] : asks_) {
    deadline = std::min(deadline, ask.since + (ask.abandoned ? kLateAnswer : kAnswerLimit));
  }
  return deadline;
}

}  // namespace ferryrock::calls
