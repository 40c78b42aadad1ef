#include "calls/replica_notices.h"

#include <algorithm>
#include <utility>

namespace ferryrock::calls {
namespace {

/// Upper bound of a backoff, so that one wrong header can't exclude a replica forever. Replicas usually
/// request seconds; one that requests hours is out of service and gets one call an hour.
constexpr Duration kMaxBackoff = std::chrono::hours(1);
/// A replica counts as fully open once more than this number of calls in flight would be permitted.
constexpr std::uint32_t kMaxReopeningCalls = 8;
/// A refusal arrives within a round trip, 3 to 8 ms. A replica that has refused nothing for this long since
/// its first call is fully open, even if its responses take long.
constexpr Duration kReopeningTimeout = std::chrono::seconds(1);
/// Maximum number of draining replicas that are kept, the most recent ones. A fleet of the planned size
/// replaces about as many in several days; each takes about 100 bytes.
constexpr std::size_t kMaxRetainedLeaving = 4'000;
/// Ended backoffs are dropped when there are more entries than this.
constexpr std::size_t kMaxRetainedBackoffs = 4'000;

}  // namespace

bool ReplicaNotices::Backoff::isReopening(TimePoint now) const {
  return now >= until && (!reopened || now - *reopened < kReopeningTimeout);
}

ReplicaNotices::Change ReplicaNotices::accept(const ReplicaId& replica, const ReplicaNotice& notice,
                                              TimePoint now) {
  Change change = Change::None;
  if (notice.retry_after) {
    Backoff& backoff = backoffs_.try_emplace(replica, Backoff{}).first->second;
    const TimePoint until = now + std::min(*notice.retry_after, kMaxBackoff);
    change = until > backoff.until ? Change::Backoff : Change::None;
    const TimePoint began = now < backoff.until ? backoff.began : now;
    backoff = {began, std::max(backoff.until, until), next_round_++, 1, 0, std::nullopt};
  }
  if (notice.leaving && leaving_.try_emplace(replica, next_entry_).second) {
    by_age_.emplace_back(next_entry_++, replica);
    change = Change::Leaving;
  }
  enforceBounds(now);
  return change;
}

void ReplicaNotices::reopen(const ReplicaId& replica, TimePoint now) {
  Backoff& backoff = backoffs_.try_emplace(replica, Backoff{}).first->second;
  const TimePoint until = std::max(backoff.until, now);
  backoff = {now, until, next_round_++, 1, 0, std::nullopt};
  enforceBounds(now);
}

void ReplicaNotices::enforceBounds(TimePoint now) {
  while (by_age_.size() > kMaxRetainedLeaving) {
    const auto& [entry, replica] = by_age_.front();
    const auto found = leaving_.find(replica);
    if (found != leaving_.end() && found->second == entry) {
      leaving_.erase(found);
    }
    by_age_.pop_front();
  }
  if (backoffs_.size() > kMaxRetainedBackoffs) {
    std::erase_if(backoffs_, [now](const auto& entry) { return now >= entry.second.until; });
  }
}

void ReplicaNotices::forget(const ReplicaId& replica) {
  backoffs_.erase(replica);
  leaving_.erase(replica);
}

std::optional<TimePoint> ReplicaNotices::closedUntil(const ReplicaId& replica, TimePoint now) const {
  const auto found = backoffs_.find(replica);
  return found == backoffs_.end() || now >= found->second.until ? std::nullopt
                                                                : std::optional(found->second.until);
}

bool ReplicaNotices::admits(const ReplicaId& replica, TimePoint now) const {
  const auto found = backoffs_.find(replica);
  if (found == backoffs_.end()) {
    return true;
  }
  const Backoff& backoff = found->second;
  return now >= backoff.until &&
         (!backoff.isReopening(now) || backoff.pending_attempts < backoff.max_pending_attempts);
}

std::size_t ReplicaNotices::inBackoff(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      backoffs_.begin(), backoffs_.end(), [now](const auto& entry) { return now < entry.second.until; }));
}

std::optional<ReplicaNotices::Reopening> ReplicaNotices::onSent(const ReplicaId& replica, TimePoint now) {
  const auto found = backoffs_.find(replica);
  if (found == backoffs_.end()) {
    return std::nullopt;
  }
  Backoff& backoff = found->second;
  if (!backoff.isReopening(now)) {
    backoffs_.erase(found);
    return std::nullopt;
  }
  const bool first = !backoff.reopened;
  backoff.reopened = backoff.reopened.value_or(now);
  ++backoff.pending_attempts;
  return Reopening{backoff.round, now - backoff.began, first};
}

ReplicaNotices::Backoff* ReplicaNotices::backoffOf(const ReplicaId& replica, std::uint64_t round) {
  const auto found = backoffs_.find(replica);
  return found == backoffs_.end() || found->second.round != round ? nullptr : &found->second;
}

void ReplicaNotices::onAccepted(const ReplicaId& replica, std::uint64_t round) {
  Backoff* backoff = backoffOf(replica, round);
  if (backoff == nullptr) {
    return;
  }
  --backoff->pending_attempts;
  backoff->max_pending_attempts *= 2;
  if (backoff->max_pending_attempts > kMaxReopeningCalls) {
    backoffs_.erase(replica);
  }
}

void ReplicaNotices::onNotAccepted(const ReplicaId& replica, std::uint64_t round) {
  if (Backoff* backoff = backoffOf(replica, round)) {
    --backoff->pending_attempts;
  }
}

}  // namespace ferryrock::calls
