#pragma once

#include "placement/policies.h"

namespace ferryrock::placement {

/// Prefers fast checkpoint tiers, then spreads replicas over zones and machines, then packs tightly.
class SpreadingPlacement : public PlacementPolicy {
 public:
  double cost(const EngineCandidate& candidate) const override;
};

/// Orders loads by waiting cost per second of load time (weighted shortest processing time), with an urgency
/// that grows as the deadline approaches (apparent tardiness cost). A load that cannot end before the
/// earliest deadline of the waiting requests is ordered behind all loads that can.
class WaitingCostOrder : public LoadOrderPolicy {
 public:
  double rank(const LoadCandidate& candidate, TimePoint now) const override;
};

/// Baseline: first come, first served.
class FirstComeFirstServedOrder : public LoadOrderPolicy {
 public:
  double rank(const LoadCandidate& candidate, TimePoint now) const override;
};

/// Computes the number of replicas from the aggregate demand of all routers.
class AggregateReplicaCount : public ReplicaCountPolicy {
 public:
  std::uint32_t wanted(const DemandFigures& demand, const wire::ResolvedModel& settings) const override;
};

/// Baseline: each router with waiting requests requires a replica of its own.
class PerRouterReplicaCount : public ReplicaCountPolicy {
 public:
  std::uint32_t wanted(const DemandFigures& demand, const wire::ResolvedModel& settings) const override;
};

/// True if the load cannot end before the earliest deadline of the waiting requests.
bool isLate(const LoadCandidate& candidate, TimePoint now);

}  // namespace ferryrock::placement
