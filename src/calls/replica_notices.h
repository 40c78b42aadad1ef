#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "calls/call.h"

namespace ferryrock::calls {

/// What replicas said of themselves in answers to this router: that they leave, or that they want no calls
/// from it for a time (backoff). It holds for one life of a replica, and is kept apart from the replica
/// table: an update from a leader, who heard none of it, takes nothing of it back. Each router goes by what
/// was said to it alone. Used by one thread.
///
/// After a backoff the replica gets one call, then twice as many after each that it takes, up to eight at
/// once. The calls that waited would otherwise all meet there at one instant, and be refused again. A replica
/// whose zone was evacuated is opened in the same way: it may have lost what it had in its caches.
class ReplicaNotices {
 public:
  /// What a notice changed.
  enum class Change : std::uint8_t {
    None,
    Leaving,  ///< it hadn't said so before
    Backoff,  ///< its backoff begins, or ends later than before
  };

  /// The later end holds if a replica asks again: each answer binds on its own.
  Change accept(const ReplicaId& replica, const ReplicaNotice& notice, TimePoint now);
  /// It may take calls again after others kept them from it: opened as after a backoff.
  void reopen(const ReplicaId& replica, TimePoint now);
  /// The life is over.
  void forget(const ReplicaId& replica);

  bool isLeaving(const ReplicaId& replica) const { return leaving_.contains(replica); }
  /// End of its backoff; nullopt: it isn't in one.
  std::optional<TimePoint> closedUntil(const ReplicaId& replica, TimePoint now) const;
  /// True if a call may be sent now; false in a backoff, and while it is being opened again and enough calls
  /// are under way there.
  bool admits(const ReplicaId& replica, TimePoint now) const;
  std::size_t inBackoff(TimePoint now) const;
  std::size_t leaving() const { return leaving_.size(); }

  /// A sending by which a replica is opened again.
  struct Reopening {
    std::uint64_t round = 0;  ///< of the backoff that ended; never 0
    Duration closed_for{};    ///< since the replica asked for the backoff
    bool first = false;       ///< since its backoff ended
  };
  /// nullopt: the replica is open.
  std::optional<Reopening> onSent(const ReplicaId& replica, TimePoint now);
  /// Each sending that reopens a replica ends by one of these. Taken: the replica runs the call. Nothing
  /// follows if the replica has asked for time again since.
  void onTaken(const ReplicaId& replica, std::uint64_t round);
  void onNotTaken(const ReplicaId& replica, std::uint64_t round);

 private:
  struct Backoff {
    TimePoint began{};
    TimePoint until{};
    std::uint64_t round = 0;
    std::uint32_t allowed = 1;          ///< calls under way while it is opened again
    std::uint32_t undecided = 0;        ///< sendings of this round, neither taken nor refused yet
    std::optional<TimePoint> reopened;  ///< first sending after the end
    bool opening(TimePoint now) const;
  };

  void keepBounded(TimePoint now);
  Backoff* backoffOf(const ReplicaId& replica, std::uint64_t round);

  std::map<ReplicaId, Backoff> backoffs_;
  std::map<ReplicaId, std::uint64_t> leaving_;              ///< with the number of their entry below
  std::deque<std::pair<std::uint64_t, ReplicaId>> by_age_;  ///< leaving replicas, the first to say so first
  std::uint64_t next_entry_ = 0;
  std::uint64_t next_round_ = 1;
};

}  // namespace ferryrock::calls
