#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "services/replica_registry.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// What a member tells the others of the replicas that report to it.
///
/// Of a small fleet all members are told all, changes at once. Of a large one, changes go to all members, in
/// batches, so that each could lead at once; signs of life go to the leader, who alone decides that a replica
/// is gone, and to the others only seldom. A new leader is told every replica that reports here, whole. So
/// the members' work grows with the replicas, and with replicas x members only by what changes.
/// Used by one thread.
class ReportRelay {
 public:
  struct Batches {
    wire::ReplicaReports to_all;
    wire::ReplicaReports to_leader;  ///< beside to_all
  };

  void onReport(const wire::ReplicaReport& report, bool changed, bool large_fleet, TimePoint now);
  /// When take() is due; TimePoint::max(): nothing waits.
  TimePoint due() const { return due_; }
  Batches take(TimePoint now);
  /// Replicas that report here, as they last did, in messages of bounded size.
  std::vector<wire::ReplicaReports> whole(const ReplicaRegistry& registry, TimePoint now);

 private:
  void relayToAll(const wire::ReplicaReport& report, bool changed, TimePoint now);
  void relayInLarge(const wire::ReplicaReport& report, bool changed, TimePoint now);
  void dueAt(TimePoint time);
  void forgetMoved(TimePoint now);

  Batches batches_;
  TimePoint due_ = TimePoint::max();
  TimePoint taken_{};
  std::map<ReplicaId, TimePoint> heard_here_;
};

}  // namespace ferryrock::services
