#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::balance {

/// Load that this router itself has placed on a replica.
struct LocalLoad {
  std::uint32_t streams = 0;
  std::uint64_t pending_prefill_tokens = 0;
};

/// Load of all routers on a replica, as estimated by one router.
struct FleetLoad {
  double streams = 0;
  double pending_prefill_tokens = 0;  ///< of prompts that were sent and have produced no event yet
  double tokens_per_s = 0;            ///< rate of prompt tokens that were sent to the replica recently
  double slowness = 1;  ///< ratio of its event gap to that of the fastest replica that shares a model with it
};

/// One router's view of the load of the replicas. It takes the latest aggregates from the leader and replaces
/// the router's own share in them by its current local load. The aggregates are a few hundred milliseconds
/// old. Without fresh aggregates, the router counts only its own load, as if there were no other routers. Not
/// thread-safe; used by one thread.
class FleetLoadView {
 public:
  /// Records the loads that this router last reported to the leader. They are its share in the aggregates
  /// that the leader publishes.
  void onReported(const std::vector<wire::LocalReplicaLoad>& local_loads);
  void accept(const std::vector<wire::ReplicaLoad>& loads, TimePoint now);

  /// Returns false if the aggregates are too old to be used, or if none was received.
  bool isFresh(TimePoint now) const;
  /// Returns the time since the aggregates were received; nullopt if none was.
  std::optional<Duration> age(TimePoint now) const;
  FleetLoad estimateLoad(std::uint32_t replica, const LocalLoad& own) const;
  /// Returns the replica's slowness, above 1 if it is known to be slower than another replica, else 1.
  double slowness(std::uint32_t replica) const;

 private:
  /// Kept across leader changes: a new leader doesn't know that a replica is slow if the replica gets no
  /// streams.
  struct Speed {
    double slowness = 1;
    TimePoint updated_at{};
  };

  std::map<std::uint32_t, wire::ReplicaLoad> loads_;
  std::map<std::uint32_t, Speed> speeds_;
  std::map<std::uint32_t, wire::LocalReplicaLoad> reported_;
  std::optional<TimePoint> accepted_;
};

}  // namespace ferryrock::balance
