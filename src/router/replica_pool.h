#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/random.h"
#include "router/replica_health.h"
#include "router/replica_speed.h"
#include "wire/model_types.h"

namespace ferryrock::router {

/// Load that an engine reported with an answer; it lags.
struct ReportedLoad {
  double of_others = 0;  ///< running and waiting, less the router's own at that time
  TimePoint received{};
  bool known = false;
};

/// One replica with what this router has on it.
struct Replica {
  wire::ReplicaEndpoint endpoint;  ///< its adapters: all that any name's row has listed
  std::set<ModelName> names;       ///< addressed names that it serves
  std::uint32_t outstanding = 0;   ///< attempts of this router
  ReplicaHealth health;
  ReplicaSpeed speed;
  ReportedLoad reported;
  TimePoint first_seen{};
  bool slow_start = false;    ///< it appeared while the router was serving already
  bool listed = false;        ///< it is in the table
  TimePoint full_until{};     ///< the engine said that its queue is full
  TimePoint refused_until{};  ///< the engine said that it drains or doesn't hold the slot
};

/// All replicas that the table lists or that still have attempts, with the router's own counts. Used by one
/// thread.
class ReplicaPool {
 public:
  /// Sets the replicas of one addressed name from its table row.
  void setReplicas(const ModelName& name, const std::vector<wire::ReplicaEndpoint>& endpoints, TimePoint now);
  /// Engines that the platform's list shows as leaving; replaces the former list.
  void setLeaving(std::set<EngineName> engines) { leaving_ = std::move(engines); }
  bool leaving(const EngineName& engine) const { return leaving_.contains(engine); }

  /// Sends new work to leaving replicas all the same; only for a deliberate defect in tests.
  void ignoreLeaving(bool ignore) { ignore_leaving_ = ignore; }

  Replica* find(SlotId slot);
  const Replica* find(SlotId slot) const;
  /// True when the table, the platform's list or the engine itself says that it takes nothing new.
  bool takesNew(const Replica& replica, TimePoint now) const;

  void onDispatched(SlotId slot, TimePoint now);
  void onReleased(SlotId slot);
  void onReportedLoad(const EngineName& engine, std::uint32_t running, std::uint32_t waiting, TimePoint now);

  /// Addressed names that a slot serves; empty for an unknown slot.
  std::vector<ModelName> namesOf(SlotId slot) const;
  std::size_t size() const { return replicas_.size(); }

 private:
  static void takeEndpoint(Replica& replica, const wire::ReplicaEndpoint& endpoint);
  void unlist(SlotId slot, const ModelName& name);
  void dropIfUnused(SlotId slot);

  std::unordered_map<SlotId, Replica> replicas_;
  std::map<ModelName, std::vector<SlotId>> slots_of_;
  std::map<EngineName, std::set<SlotId>> slots_on_;
  std::set<EngineName> leaving_;
  bool served_before_ = false;
  bool ignore_leaving_ = false;
};

/// True when the replica serves this addressed name: an adapter must be loaded on it.
bool servesName(const wire::ReplicaEndpoint& endpoint, const wire::ResolvedModel& settings);

/// Requests on the replica as balancing sees them: the router's own, plus a part of what others were reported
/// to have, which fades with the report's age and is bounded, so that a lagging report never outweighs the
/// own counts.
double estimatedLoad(const Replica& replica, std::uint32_t concurrency, TimePoint now);

/// True when the engine's last report, if it is recent, shows no free place.
bool reportedFull(const Replica& replica, std::uint32_t concurrency, TimePoint now);

/// Share of its capacity, above 0 and at most 1, that a replica gets while it starts slowly.
double slowStartWeight(const Replica& replica, TimePoint now);

}  // namespace ferryrock::router
