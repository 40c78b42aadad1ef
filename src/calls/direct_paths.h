#pragma once

#include <map>
#include <set>
#include <string>

#include "calls/call.h"

namespace ferryrock::calls {

/// Decides whether this router is partitioned from the replicas of one service: whether attempts fail because
/// of the router's own links rather than because of the replicas. Considers only attempts and probes over the
/// router's own connections, not those that other routers relay. Not thread-safe; used by one thread.
///
/// The router counts as partitioned once several replicas can't be reached and none has shown any progress
/// since; any later progress ends that. It is in doubt, and treated in the same way, while several attempts
/// to different replicas have been silent for some time and nothing has arrived from any replica.
class DirectPaths {
 public:
  void onSent(AttemptNumber attempt, const ReplicaId& replica, TimePoint now);
  void onReleased(AttemptNumber attempt) { outstanding_.erase(attempt); }
  /// While paused, the attempt's silence isn't that of its replica.
  void onPaused(AttemptNumber attempt);
  void onResumed(AttemptNumber attempt, TimePoint now);
  /// Bytes of the replica have arrived.
  void onProgress(TimePoint now);
  /// A connection to the replica couldn't be opened, or broke and couldn't be opened again.
  void onUnreachable(const std::string& replica_address, TimePoint now);

  bool isPartitioned() const { return unreachable_.size() >= kMinUnreachable; }
  /// True if the router is partitioned or in doubt.
  bool isSuspect(TimePoint now) const { return isPartitioned() || isSilent(now); }
  /// True if an attempt is in flight at another replica: its connection is open.
  bool anyOpenTo(const ReplicaId& other_than) const;
  /// Number of replicas found unreachable since the last progress.
  std::size_t unreachableCount() const { return unreachable_.size(); }
  TimePoint lastProgress() const { return last_progress_; }
  /// When the first of the unreachable replicas was found.
  TimePoint unreachableSince() const { return unreachable_since_; }

 private:
  static constexpr std::size_t kMinUnreachable = 2;

  struct Outstanding {
    ReplicaId replica;
    TimePoint silent_since{};  ///< when it was sent or resumed
    bool paused = false;
  };

  bool isSilent(TimePoint now) const;

  std::map<AttemptNumber, Outstanding> outstanding_;
  std::set<std::string> unreachable_;  ///< addresses of replicas
  TimePoint unreachable_since_{};
  TimePoint last_progress_{};
};

}  // namespace ferryrock::calls
