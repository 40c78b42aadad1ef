#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "placement/engine_index.h"
#include "placement/policies.h"

namespace ferryrock::placement {

/// A version that has been ready; the target of a rollback.
struct StableVersion {
  ModelVersion version;
  ReplicaShape shape;
};

/// Planner state of one base model.
struct ModelState {
  ModelName name;
  std::optional<wire::ResolvedModel> settings;  ///< nullopt: not in the settings tree
  bool active = false;                          ///< requests are waiting or running
  std::optional<TimePoint> idle_since;          ///< nullopt: active, or not used since the planner started
  KeepAliveDecision idle_decision;
  std::optional<TimePoint> interest_until;  ///< end of the interest of requests that found no ready replica
  std::vector<TimePoint> last_needed;       ///< element n: last time that more than n replicas were needed
  std::optional<StableVersion> stable;
  std::optional<ModelVersion> rejected_version;  ///< rolled back; not retried until the settings change
  std::uint32_t version_failures = 0;
  std::uint32_t failures = 0;  ///< consecutive failed loads
  std::optional<TimePoint> retry_at;
  std::optional<Duration> average_load;     ///< moving average of its load durations, over all tiers
  std::optional<TimePoint> eviction_until;  ///< how long to wait for the evictions of victims
  std::vector<SlotId> victims;              ///< replicas that are evicted to make room
  std::optional<TimePoint> prefetched_at;
  std::uint64_t blocked_epoch = 0;  ///< memory epoch in which no engine had room; 0: none
  bool adapter_missing = false;     ///< an adapter in demand has no room beside any ready replica
  bool adapter_blocked = false;     ///< additionally, no room can be made there
  std::uint64_t placeable_epoch =
      0;                 ///< memory epoch in which a load from the weight store had room; 0: none
  std::string obstacle;  ///< why the last load could not begin; empty if nothing prevents it
  std::set<SlotId> evictable;
};

/// Numbers of replicas of a model by availability.
struct ReplicaCounts {
  std::uint32_t total = 0;          ///< not freed
  std::uint32_t pending = 0;        ///< proposed and not known to be committed; not part of total
  std::uint32_t starting = 0;       ///< decided or loading on usable engines
  std::uint32_t ready = 0;          ///< ready on usable engines
  std::uint32_t ready_current = 0;  ///< ready replicas of the target version
  std::uint32_t leaving = 0;        ///< on draining engines or leaving machines
  std::uint32_t unreachable = 0;
  std::uint32_t being_removed = 0;  ///< draining or unloading, or with such a change proposed
  std::uint32_t usable() const { return ready + starting; }
};

/// Target numbers of replicas of a model.
struct ReplicaTarget {
  std::uint32_t demanded = 0;  ///< required by waiting and running requests
  std::uint32_t minimum = 0;   ///< required by the operator's settings
  std::uint32_t required = 0;  ///< replicas below this number are loaded
  std::uint32_t retained = 0;  ///< loaded replicas up to this number are kept; at least required
};

}  // namespace ferryrock::placement
