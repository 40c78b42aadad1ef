#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "common/time.h"
#include "placement/planner.h"

/// Replaceable policies of the planner. A policy computes a cost, an order or a time from its arguments; it
/// has no access to the ledger and so cannot violate its invariants.
namespace ferryrock::placement {

/// An engine with enough free memory for a replica.
struct EngineCandidate {
  EngineName engine;
  ZoneName zone;
  CheckpointTier tier = CheckpointTier::Remote;
  Duration expected_load{};
  std::uint32_t replicas_in_zone = 0;     ///< of the same model, not freed
  std::uint32_t replicas_on_machine = 0;  ///< of the same model, not freed
  double free_share_after = 0;  ///< free share of the first chosen accelerator's memory with the replica
};

/// Ranks engines with enough free memory. The candidate with the lowest cost is chosen.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  /// Cost in seconds of expected load time or their equivalent.
  virtual double cost(const EngineCandidate& candidate) const = 0;
};

/// Why a load is queued, in descending order of precedence.
enum class LoadReason : std::uint8_t { Demand = 0, Minimum = 1, Rollout = 2, Prewarm = 3 };

/// A load that waits for the weight store or for memory.
struct LoadCandidate {
  ModelName name;  ///< base model or adapter
  LoadReason reason = LoadReason::Demand;
  TimePoint requested_since{};
  std::uint32_t waiting = 0;  ///< waiting requests of all routers
  std::optional<TimePoint> earliest_deadline;
  Duration expected_load{};
  double cold_start_weight = 0.5;
  std::int32_t priority = 0;
};

/// Orders loads that wait for the weight store. The load with the lowest rank begins first.
class LoadOrderPolicy {
 public:
  virtual ~LoadOrderPolicy() = default;
  virtual double rank(const LoadCandidate& candidate, TimePoint now) const = 0;
};

/// Aggregate demand for one name or base model.
struct DemandFigures {
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::uint32_t routers_waiting = 0;  ///< routers with at least one waiting request
  std::optional<TimePoint> earliest_deadline;
};

/// Computes the number of replicas for a demand, before the minimum and maximum are applied.
class ReplicaCountPolicy {
 public:
  virtual ~ReplicaCountPolicy() = default;
  virtual std::uint32_t wanted(const DemandFigures& demand, const wire::ResolvedModel& settings) const = 0;
};

/// An idle model, or one that is about to become idle.
struct IdleModel {
  ModelName model;
  double cold_start_weight = 0.5;
  double accelerators = 1;    ///< of one replica, each weighted by the share of its memory that is held
  Duration expected_load{};   ///< of the next load if the replica were released
  Duration min_keep_alive{};  ///< the operator's bounds
  Duration max_keep_alive{};
  TimePoint idle_since{};
};

/// Time span in which a replica is loaded and kept ahead of the expected next use.
struct Prewarm {
  Duration begin{};  ///< after the model became idle
  Duration end{};    ///< after the model became idle
};

struct KeepAliveDecision {
  Duration keep{};  ///< after the model became idle
  std::optional<Prewarm> prewarm;
};

/// Decides how long an idle model stays loaded; learns from the idle gaps between its uses.
class KeepAlivePolicy {
 public:
  virtual ~KeepAlivePolicy() = default;
  /// Records an idle gap that ended because the model was used.
  virtual void onGap(const ModelName& model, Duration gap, TimePoint idle_since) = 0;
  virtual KeepAliveDecision decide(const IdleModel& model) = 0;
  /// How long replicas beyond the first are kept after they were last needed.
  virtual Duration surplusKeepAlive(const IdleModel& model) const = 0;
  /// Retention value of an idle replica per accelerator that it holds; the replica with the lowest value is
  /// evicted first.
  virtual double retentionValue(const IdleModel& model, TimePoint now) = 0;
  /// Replicas that are kept without demand.
  virtual std::uint32_t minimumReplicas(const wire::ResolvedModel& settings) const {
    return settings.min_replicas;
  }
};

/// Defects that tests inject to verify that they are detected. Production sets none of them.
struct PlannerDefects {
  bool ignore_pending_proposals = false;  ///< proposals in flight are not counted as replicas
  bool never_expire_proposals = false;    ///< proposals without an outcome never expire
};

/// The policies of one planner.
struct PlannerPolicies {
  std::unique_ptr<PlacementPolicy> placement;
  std::unique_ptr<LoadOrderPolicy> load_order;
  std::unique_ptr<ReplicaCountPolicy> replica_count;
  std::unique_ptr<KeepAlivePolicy> keep_alive;
  PlannerDefects defects;
};

/// Policies used in production.
PlannerPolicies defaultPolicies();

/// Creates a planner with the given policies, for experiments and tests. The ledger must outlive it.
std::unique_ptr<Planner> createPlanner(const Ledger& ledger, ModelLookup lookup, PlannerPolicies policies,
                                       TimePoint now);

}  // namespace ferryrock::placement
