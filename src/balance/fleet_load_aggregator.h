#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "balance/event_gap_table.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::balance {

/// Aggregates the loads that routers report for their own calls. Owned by the leader; after a change of
/// leader, the aggregates are complete as soon as each router has sent its next status. Not thread-safe; used
/// by one thread.
class FleetLoadAggregator {
 public:
  void accept(const wire::CallRouterStatus& status, TimePoint now);
  /// Drops routers that have stopped reporting, and applies the decay of rates and event gaps.
  void expire(TimePoint now);
  /// Returns the load of each replica that serves calls or is known to be slow, ordered by key.
  std::vector<wire::ReplicaLoad> loads(TimePoint now);
  /// Returns the slowness of the replicas that share a model with another replica, by key.
  const std::map<std::uint32_t, double>& slowness(TimePoint now);

 private:
  struct RouterReport {
    std::vector<wire::LocalReplicaLoad> local_loads;
    TimePoint received_at{};
  };
  struct Sum {
    std::int64_t streams = 0;
    std::int64_t pending_prefill_tokens = 0;
    double decaying_tokens = 0;  ///< prompt tokens sent there, decaying over kRateDecaySeconds
  };

  void add(const std::vector<wire::LocalReplicaLoad>& local_loads, std::int64_t sign);
  void decay(TimePoint now);

  std::map<NodeName, RouterReport> routers_;
  std::map<std::uint32_t, Sum> sums_;
  EventGapTable gap_table_;
  TimePoint decayed_at_{};
  std::map<std::uint32_t, double> slowness_;
  TimePoint slowness_computed_at_{};
  std::vector<wire::ReplicaLoad> loads_;
  TimePoint loads_computed_at_{};
};

}  // namespace ferryrock::balance
