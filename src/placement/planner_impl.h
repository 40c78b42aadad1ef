#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "placement/demand_table.h"
#include "placement/engine_index.h"
#include "placement/model_state.h"
#include "placement/policies.h"
#include "placement/proposal_table.h"
#include "placement/slot_table.h"
#include "placement/store_estimator.h"
#include "placement/timer_queue.h"

namespace ferryrock::placement {

/// Implementation of the planner. Events mark base models as dirty; plan() reconciles the actual with the
/// target replicas of dirty models and begins queued loads as the weight store and memory allow.
///
/// Costs, with R replicas of the model, A of its adapters in demand and Q queued loads: an event is
/// O(log n); reconciling a model O(R log n + A R); beginning loads O(Q) comparisons and a placement of
/// O(zones log engines) for each load that may begin.
///
/// planner_impl.cc handles events, planner_reconcile.cc reconciles replicas with their targets,
/// planner_loads.cc begins loads, planner_adapters.cc places adapters, planner_explain.cc implements the
/// queries.
class PlannerImpl : public Planner {
 public:
  PlannerImpl(const Ledger& ledger, ModelLookup lookup, PlannerPolicies policies, TimePoint now);

  void onDemand(const wire::DemandReport& report, TimePoint now) override;
  void onRouterGone(const NodeName& router, TimePoint now) override;
  void onEngineReport(const EngineReport& report, TimePoint now) override;
  void onEngineUnreachable(const EngineName& engine, TimePoint now) override;
  void onMachineLeaving(const MachineName& machine, std::optional<Duration> left, TimePoint now) override;
  void onLoadObserved(const LoadObservation& observation, TimePoint now) override;
  void onSlotChanged(SlotId slot, TimePoint now) override;
  void onSettingsChanged(const std::vector<ModelName>& models, TimePoint now) override;
  void onEngineChanged(const EngineName& engine, TimePoint now) override;
  void onProposalRefused(const wire::Command& command, TimePoint now) override;
  PlannerEffects plan(TimePoint now) override;
  TimePoint nextDeadline() const override;
  std::optional<Duration> expectedLoad(const ModelName& name, TimePoint now) const override;
  Explanation explain(const ModelName& name, TimePoint now) const override;

 private:
  /// Where a load can begin now.
  struct Placement {
    EngineName engine;
    std::vector<std::uint32_t> accelerators;
    CheckpointTier tier = CheckpointTier::Remote;
  };
  enum class LoadOutcome { Begun, StoreBusy, NoRoom };

  // planner_impl.cc
  const wire::ResolvedModel* settingsOf(const ModelName& name) const;
  ModelState& stateOf(const ModelName& base);
  const ModelState* findState(const ModelName& base) const;
  void applyDemandChanges(const std::vector<DemandTable::Change>& changes, TimePoint now);
  void refreshEngineSlots(const EngineName& engine, TimePoint now);
  void markDirty(const ModelName& base) { dirty_.insert(base); }
  void markSlotsOnDirty(const EngineName& engine);
  void memoryChanged();
  void onSlotReady(ModelState& state, const wire::Slot& slot);
  void expireProposals(TimePoint now);
  void processExpirations(TimePoint now);

  // planner_reconcile.cc
  void reconcile(ModelState& state, TimePoint now);
  void updateActivity(ModelState& state, const DemandFigures& demand, TimePoint now);
  void becomeIdle(ModelState& state, TimePoint now);
  ReplicaCounts countReplicas(const ModelState& state) const;
  ReplicaTarget targetOf(ModelState& state, const DemandFigures& demand, TimePoint now);
  std::uint32_t idleReplicas(const ModelState& state, TimePoint now) const;
  void requestLoads(ModelState& state, const ReplicaCounts& counts, const ReplicaTarget& target,
                    const DemandFigures& demand, TimePoint now);
  void releaseSurplus(ModelState& state, const ReplicaCounts& counts, const ReplicaTarget& target,
                      TimePoint now);
  void drainLeaving(ModelState& state, const ReplicaCounts& counts, const ReplicaTarget& target,
                    TimePoint now);
  void advanceRollout(ModelState& state, const ReplicaCounts& counts, const ReplicaTarget& target,
                      TimePoint now);
  bool fitsInsteadOf(const ModelState& state, const SlotView& old) const;
  void updateEvictable(ModelState& state, const ReplicaCounts& counts, const ReplicaTarget& target);
  void scheduleCheck(ModelState& state, TimePoint now);
  std::vector<const SlotView*> inRemovalOrder(const ModelState& state) const;
  bool proposeState(const SlotView& view, wire::SlotState state, TimePoint now);
  StableVersion wantedVersion(const ModelState& state) const;
  bool isUsable(const SlotView& view) const;
  std::uint32_t maximumOf(const ModelState& state) const;

  // planner_loads.cc
  double heldAccelerators(const wire::ResolvedModel& settings) const;
  IdleModel idleModel(const ModelState& state) const;
  Duration expectedLoadOf(const ModelState& state) const;
  Duration expectedLoadFrom(CheckpointTier tier, std::uint64_t bytes, TimePoint now) const;
  double storeDelayFactor(TimePoint now) const;
  std::uint32_t remoteInFlight() const;
  void beginLoads(TimePoint now);
  std::vector<ModelName> inLoadOrder(const std::vector<ModelName>& names, TimePoint now) const;
  void tryLoads(const std::vector<ModelName>& order, TimePoint now);
  LoadOutcome beginLoad(const LoadCandidate& candidate, TimePoint now);
  std::optional<Placement> place(const ModelState& state, TimePoint now) const;
  std::optional<Placement> placeShape(const ModelState& state, const ReplicaShape& shape,
                                      TimePoint now) const;
  bool makeRoom(ModelState& state, const LoadCandidate& candidate, TimePoint now);
  bool isRoomBeingMade(const ModelState& state, TimePoint now) const;
  void propose(const ModelState& state, const Placement& placement, TimePoint now);
  void prefetch(TimePoint now);
  /// Orders the engine of a freed slot to keep the checkpoint in host memory, as the most recently used one.
  void keepInMemory(const wire::Slot& freed);

  // planner_adapters.cc
  void reconcileAdapters(ModelState& state, TimePoint now);
  void reconcileAdapter(ModelState& state, const ModelName& adapter, TimePoint now);
  bool fitsAdapter(const wire::Slot& slot, std::uint64_t bytes) const;
  bool makeAdapterRoom(const std::vector<const SlotView*>& slots, TimePoint now);
  bool evictNeighbour(const std::vector<const SlotView*>& slots, TimePoint now);
  std::uint64_t demandedAdapterBytes(const ModelState& state) const;
  ReplicaShape shapeWithAdapters(const ModelState& state) const;
  void moveForAdapters(ModelState& state, const ReplicaCounts& counts, TimePoint now);

  const Ledger& ledger_;
  ModelLookup lookup_;
  PlannerPolicies policies_;
  EngineIndex engines_;
  SlotTable slots_;
  ProposalTable proposals_;
  StoreEstimator store_;
  DemandTable demand_;
  std::map<ModelName, ModelState> models_;
  mutable std::map<ModelName, wire::ResolvedModel> settings_cache_;
  std::map<ModelName, LoadCandidate> load_queue_;  ///< by base model
  std::set<ModelName> dirty_;
  TimerQueue<ModelName> checks_;
  std::set<std::pair<double, SlotId>> evictable_;  ///< idle replicas by retention value
  std::map<SlotId, double> retention_values_;
  std::map<std::pair<SlotId, ModelName>, TimePoint> adapter_last_use_;
  std::map<std::pair<SlotId, ModelName>, TimePoint> adapter_unloads_;  ///< time of the last unload order
  std::uint64_t memory_epoch_ = 1;
  std::vector<ModelName> fresh_loads_;  ///< queued since the last call of beginLoads()
  TimePoint queue_tried_at_;            ///< last time that every queued load was tried
  bool loads_due_ = false;
  ModelName prefetch_cursor_;
  TimePoint next_prefetch_;
  TimePoint planned_at_;  ///< time of the last plan()
  TimePoint now_;         ///< time of the last event
  PlannerEffects effects_;
};

}  // namespace ferryrock::placement
