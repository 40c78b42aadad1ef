#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "services/replica_registry.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Relays the reports of the replicas that report to this member to the other members.
///
/// In a small fleet all reports go to all members, and changes are relayed at once. In a large fleet changes
/// go to all members in batches, so that each member could take over leadership at once. Heartbeats without
/// changes go to the leader, which alone decides that a replica is gone, and only rarely to the other
/// members. A new leader receives the full report of every replica that reports to this member. The members'
/// work therefore grows with the number of replicas; only changes cost replicas x members. Used by one
/// thread.
class ReportRelay {
 public:
  struct Batches {
    wire::ReplicaReports to_all;
    wire::ReplicaReports to_leader;  ///< in addition to to_all
  };

  /// Queues a report that a replica sent to this member. changed: it differs from the previous report for
  /// routers.
  void onReport(const wire::ReplicaReport& report, bool changed, bool large_fleet, TimePoint now);
  /// When take() is due; TimePoint::max(): no report is pending.
  TimePoint due() const { return due_; }
  /// Returns and clears the pending batches.
  Batches take(TimePoint now);
  /// Latest full reports of all replicas that report to this member, in messages of bounded size.
  std::vector<wire::ReplicaReports> fullReports(const ReplicaRegistry& registry, TimePoint now);

 private:
  void relayInSmallFleet(const wire::ReplicaReport& report, bool changed, TimePoint now);
  void relayInLargeFleet(const wire::ReplicaReport& report, bool changed, TimePoint now);
  void scheduleFlush(TimePoint time);
  void expireLocalReplicas(TimePoint now);

  Batches batches_;
  TimePoint due_ = TimePoint::max();
  TimePoint last_flush_{};
  std::map<ReplicaId, TimePoint> local_replicas_;
};

}  // namespace ferryrock::services
