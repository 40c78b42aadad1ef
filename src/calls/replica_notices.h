#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "calls/call.h"

namespace ferryrock::calls {

/// What replicas stated about themselves in responses to this router: that they are draining, or that they
/// request a backoff. It holds for one incarnation of a replica. It is kept apart from the replica table, so
/// that an update from a leader, which doesn't have this information, can't override it. Each router
/// considers only the notices that it received itself. Not thread-safe; used by one thread.
///
/// After a backoff the replica gets one call, then twice as many after each call that it accepts, up to eight
/// at once. Otherwise all waiting calls would reach it at the same time and be refused again. A replica whose
/// zone was evacuated is reopened in the same way, since it may have lost the contents of its caches.
class ReplicaNotices {
 public:
  /// Effect of a notice on the recorded state.
  enum class Change : std::uint8_t {
    None,
    Leaving,  ///< the replica had not announced its draining before
    Backoff,  ///< a backoff starts, or ends later than before
  };

  /// Applies a notice. If a replica requests a backoff again, the later end applies.
  Change accept(const ReplicaId& replica, const ReplicaNotice& notice, TimePoint now);
  /// Reopens a replica step by step as after a backoff, because it had been closed for other reasons.
  void reopen(const ReplicaId& replica, TimePoint now);
  /// Drops the state of an incarnation that has ended.
  void forget(const ReplicaId& replica);

  bool isLeaving(const ReplicaId& replica) const { return leaving_.contains(replica); }
  /// End of the replica's backoff; nullopt: it isn't in a backoff.
  std::optional<TimePoint> closedUntil(const ReplicaId& replica, TimePoint now) const;
  /// True if a call may be sent now. False during a backoff, and while the replica is being reopened and the
  /// permitted number of calls is in flight there.
  bool admits(const ReplicaId& replica, TimePoint now) const;
  std::size_t inBackoff(TimePoint now) const;
  std::size_t leaving() const { return leaving_.size(); }

  /// An attempt that is sent while its replica is being reopened.
  struct Reopening {
    std::uint64_t round = 0;  ///< round of the backoff that ended; never 0
    Duration closed_for{};    ///< time since the start of the backoff
    bool first = false;       ///< first attempt since the end of the backoff
  };
  /// Records an attempt. Returns nullopt if the replica is fully open.
  std::optional<Reopening> onSent(const ReplicaId& replica, TimePoint now);
  /// Each attempt that was sent while reopening ends with one of these calls. Accepted: the replica runs the
  /// call. Neither has an effect if the replica has requested another backoff since.
  void onAccepted(const ReplicaId& replica, std::uint64_t round);
  void onNotAccepted(const ReplicaId& replica, std::uint64_t round);

 private:
  struct Backoff {
    TimePoint began{};
    TimePoint until{};
    std::uint64_t round = 0;
    std::uint32_t max_pending_attempts =
        1;  ///< number of calls that may be in flight while the replica is being reopened
    std::uint32_t pending_attempts = 0;  ///< attempts of this round that are neither accepted nor refused yet
    std::optional<TimePoint> reopened;   ///< time of the first attempt after the end of the backoff
    bool isReopening(TimePoint now) const;
  };

  void enforceBounds(TimePoint now);
  Backoff* backoffOf(const ReplicaId& replica, std::uint64_t round);

  std::map<ReplicaId, Backoff> backoffs_;
  std::map<ReplicaId, std::uint64_t> leaving_;  ///< value: number of the entry in by_age_
  std::deque<std::pair<std::uint64_t, ReplicaId>>
      by_age_;  ///< draining replicas in the order of their announcements
  std::uint64_t next_entry_ = 0;
  std::uint64_t next_round_ = 1;
};

}  // namespace ferryrock::calls
