#pragma once

#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "control/claim_upkeep.h"
#include "control/engine_controller.h"
#include "control/proposal_tracker.h"
#include "control/replicated_state.h"
#include "control/route_entry_builder.h"
#include "control/router_registry.h"
#include "control/table_publisher.h"
#include "placement/planner.h"

namespace ferryrock::control {

/// A command that the leader wants committed.
struct LeaderProposal {
  wire::Command command;
  ProposalOrigin origin;
};

/// What the leader's parts want done.
struct LeaderOutput {
  std::vector<wire::SendEffect> sends;
  std::vector<EngineEffect> engine_effects;
  std::vector<LeaderProposal> proposals;
};

/// Everything that only a leader does, for one term: planning, orders, tables, upkeep of claims. Made once
/// the leader has applied an entry of its own term, destroyed with its leadership, so nothing volatile
/// outlives a term.
class Leadership {
 public:
  Leadership(Term term, MemberId leader, const EngineControllerSettings& settings,
             const ReplicatedState& state, const RouterRegistry& registry, TimePoint now);

  void onApplied(const wire::Command& command, const AppliedChange& change, TimePoint now);
  void onProposalRefused(const wire::Command& command, TimePoint now);
  void onStatus(const RouterRecord& record, const StatusNews& news, TimePoint now);
  void onRouterGone(const NodeName& router, TimePoint now);
  void onDemand(const wire::DemandReport& report, TimePoint now);
  void onEngineAnswer(const EngineAnswer& answer, bool has_lease, TimePoint now);
  void onMachineList(const MachineList& list, bool has_lease, TimePoint now);
  /// Runs what is due and hands over all that came up since the last call. Without a lease no order and no
  /// table leaves.
  LeaderOutput step(bool has_lease, TimePoint now);
  TimePoint nextDeadline() const;

  Term term() const { return term_; }
  const placement::Planner& planner() const { return *planner_; }
  const EngineController& engines() const { return engines_; }

 private:
  void take(ControllerOutput output, TimePoint now);
  void tell(const PlannerNews& news, TimePoint now);
  void refreshEngine(const EngineName& engine, TimePoint now);
  void takeUpRouters(TimePoint now);
  void plan(TimePoint now);
  /// Tells routers what the last plan means for the names that requests wait for.
  void refreshWaitedFor(TimePoint now);
  TimePoint planDeadline() const;

  Term term_;
  const ReplicatedState& state_;
  const RouterRegistry& registry_;
  std::unique_ptr<placement::Planner> planner_;
  EngineController engines_;
  RouteEntryBuilder entries_;
  TablePublisher publisher_;
  ClaimUpkeep claims_;
  bool planning_wanted_ = true;
  TimePoint next_plan_{};
  std::set<ModelName> waited_for_;
  std::set<NodeName> routers_to_take_up_;  ///< heard of before this term, and not since
  TimePoint next_take_up_{};
  TimePoint next_flush_{};
  std::vector<EngineName> engines_to_step_;
  LeaderOutput output_;
};

}  // namespace ferryrock::control
