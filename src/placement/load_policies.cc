#include "placement/load_policies.h"

#include <algorithm>
#include <cmath>

#include "placement/keep_alive_policy.h"

namespace ferryrock::placement {
namespace {

/// Cost in seconds of load time of sharing a zone or a machine with a replica of the same model.
constexpr double kSharedZoneSeconds = 2;
constexpr double kSharedMachineSeconds = 4;
/// Cost in seconds of load time of leaving an accelerator completely free beside the replica.
constexpr double kEmptyAcceleratorSeconds = 0.5;
/// Urgency scale in load durations: a slack of this many load durations divides the urgency by e.
constexpr double kUrgencyScale = 3;
/// Rank distance between two load reasons; larger than any cost.
constexpr double kClassDistance = 1e12;
constexpr double kLateClass = 10;

std::uint32_t replicasFor(std::uint64_t requests, std::uint32_t concurrency) {
  const std::uint64_t each = std::max(1U, concurrency);
  return static_cast<std::uint32_t>((requests + each - 1) / each);
}

}  // namespace

double SpreadingPlacement::cost(const EngineCandidate& candidate) const {
  return toSeconds(candidate.expected_load) + kSharedZoneSeconds * candidate.replicas_in_zone +
         kSharedMachineSeconds * candidate.replicas_on_machine +
         kEmptyAcceleratorSeconds * candidate.free_share_after;
}

bool isLate(const LoadCandidate& candidate, TimePoint now) {
  return candidate.earliest_deadline && now + candidate.expected_load > *candidate.earliest_deadline;
}

double WaitingCostOrder::rank(const LoadCandidate& candidate, TimePoint now) const {
  constexpr double kMinLoadSeconds = 0.05;
  const double duration = std::max(toSeconds(candidate.expected_load), kMinLoadSeconds);
  double urgency = 1;
  if (candidate.earliest_deadline) {
    const double slack = toSeconds(*candidate.earliest_deadline - now) - duration;
    urgency = std::exp(-std::max(0.0, slack) / (kUrgencyScale * duration));
  }
  const double age = toSeconds(now - candidate.requested_since);
  const double cost = (candidate.waiting + 1 + age) * (candidate.cold_start_weight + 0.1) *
                      std::max(1.0, 1.0 + candidate.priority);
  const double late = isLate(candidate, now) ? kLateClass : 0;
  return kClassDistance * (static_cast<double>(candidate.reason) + late) - cost * urgency / duration;
}

double FirstComeFirstServedOrder::rank(const LoadCandidate& candidate, TimePoint) const {
  return toSeconds(candidate.requested_since.time_since_epoch());
}

std::uint32_t AggregateReplicaCount::wanted(const DemandFigures& demand,
                                            const wire::ResolvedModel& settings) const {
  return replicasFor(std::uint64_t{demand.waiting} + demand.running, settings.concurrency);
}

std::uint32_t PerRouterReplicaCount::wanted(const DemandFigures& demand,
                                            const wire::ResolvedModel& settings) const {
  return replicasFor(demand.running, settings.concurrency) + demand.routers_waiting;
}

PlannerPolicies defaultPolicies() {
  PlannerPolicies policies;
  policies.placement = std::make_unique<SpreadingPlacement>();
  policies.load_order = std::make_unique<WaitingCostOrder>();
  policies.replica_count = std::make_unique<AggregateReplicaCount>();
  policies.keep_alive = std::make_unique<LearnedKeepAlive>();
  return policies;
}

}  // namespace ferryrock::placement
