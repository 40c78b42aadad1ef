#pragma once

#include <set>

#include "calls/call.h"

namespace ferryrock::calls {

/// Decides whether this router is partitioned from the replicas: whether attempts fail because of the
/// router's own links rather than because of the replicas. The router counts as partitioned once several
/// replicas can't be reached and none has shown any progress since; any later progress ends that. Not
/// thread-safe; used by one thread.
class DirectPaths {
 public:
  /// Bytes of a replica have arrived.
  void onProgress(TimePoint now);
  /// A connection to the replica couldn't be opened, or broke and couldn't be opened again.
  void onUnreachable(const ReplicaId& replica) { unreachable_.insert(replica); }

  bool isPartitioned() const { return unreachable_.size() >= kMinUnreachable; }
  /// Number of replicas found unreachable since the last progress.
  std::size_t unreachableCount() const { return unreachable_.size(); }
  TimePoint lastProgress() const { return last_progress_; }

 private:
  static constexpr std::size_t kMinUnreachable = 2;

  std::set<ReplicaId> unreachable_;
  TimePoint last_progress_{};
};

}  // namespace ferryrock::calls
