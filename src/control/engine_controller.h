#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "common/time.h"
#include "control/defects.h"
#include "control/engine_orders.h"
#include "control/replicated_state.h"
#include "control/slot_orders.h"
#include "placement/planner.h"

namespace ferryrock::control {

struct EngineControllerSettings {
  Duration poll_wait = std::chrono::seconds(2);
  Duration unreachable_after = std::chrono::seconds(3);
  Duration machine_gone_margin = std::chrono::seconds(5);  ///< added to the platform's stated lag
  Defects defects;                                         ///< never set by the product
};

using EngineEffect = std::variant<RaiseFenceEffect, OrderEffect, PollEngineEffect>;

/// News for the planner.
struct MachineLeavingNews {
  MachineName machine;
  std::optional<Duration> left;
};
using PlannerNews =
    std::variant<placement::EngineReport, placement::LoadObservation, EngineName, MachineLeavingNews>;

/// What a step of the controller wants done.
struct ControllerOutput {
  std::vector<EngineEffect> effects;
  std::vector<wire::Command> commands;  ///< to commit
  std::vector<PlannerNews> news;        ///< EngineName: the engine can't be reached
  std::vector<EngineName> changed;      ///< what routers are told of these engines' replicas may have changed
};

/// Carries committed slot states to the engines and engines' states back, for one leader's term.
///
/// Per engine: first the fence is raised and the state read back, then one order at a time, each with the
/// next sequence, so that no order overtakes another. Orders follow from the ledger and the engine's state
/// alone and are repeated until the state shows them done, so that lost answers cost nothing. Silence frees
/// nothing.
class EngineController {
 public:
  EngineController(Term term, const EngineControllerSettings& settings, const ReplicatedState& state,
                   TimePoint now);

  /// may_order is true while the leader has a lease; without one nothing is ordered.
  ControllerOutput onAnswer(const EngineAnswer& answer, bool may_order, TimePoint now);
  ControllerOutput onMachineList(const MachineList& list, bool may_order, TimePoint now);
  /// The ledger's slots on this engine, or the engine itself, changed.
  ControllerOutput onLedgerChanged(const EngineName& engine, bool may_order, TimePoint now);
  ControllerOutput tick(bool may_order, TimePoint now);
  TimePoint nextDeadline() const;
  /// Ordered when the engine has nothing more urgent to do; dropped when too many wait.
  void prefetch(const placement::PrefetchEffect& prefetch, TimePoint now);
  /// Ordered until the engine's state proves it; then the adapter's removal is proposed.
  void unloadAdapter(const placement::UnloadAdapterEffect& unload, TimePoint now);

  /// True when the platform's list or the engine itself says that it takes no new work.
  bool isLeaving(const EngineName& engine) const;
  /// The slot as the engine last reported it; nullptr if unknown.
  const HeldSlot* heldSlot(const EngineName& engine, SlotId slot) const;
  /// True while the engine answered lately.
  bool isReachable(const EngineName& engine, TimePoint now) const;
  /// The engine's last state; nullptr before the first.
  const EngineState* engineState(const EngineName& engine) const;

 private:
  struct Engine {
    EngineName name;
    std::string url;
    MachineState machine_state = MachineState::Live;
    std::optional<EngineState> state;
    bool fence_raised = false;           ///< the state was read under a fence of this term
    std::optional<TimePoint> call_sent;  ///< an order or a fence is in flight
    std::optional<TimePoint> poll_sent;
    TimePoint retry_call_at;
    TimePoint retry_poll_at;
    TimePoint last_reached;
    bool reported_unreachable = false;
    std::optional<TimePoint> registration_proposed;
    std::optional<TimePoint> drain_ordered;
    SlotOrders orders;
    std::deque<placement::PrefetchEffect> prefetches;
    TimePoint wake;
  };

  Engine& engineNamed(const EngineName& name, const std::string& url, TimePoint now);
  void step(Engine& engine, bool may_order, TimePoint now, ControllerOutput& output);
  void poll(Engine& engine, TimePoint now, ControllerOutput& output) const;
  void call(Engine& engine, bool may_order, TimePoint now, ControllerOutput& output);
  void raiseFence(Engine& engine, TimePoint now, ControllerOutput& output);
  void sendOrder(Engine& engine, EngineOrder order, TimePoint now, ControllerOutput& output);
  std::optional<EngineOrder> engineWideOrder(Engine& engine, TimePoint now) const;
  std::optional<EngineOrder> nextPrefetch(Engine& engine) const;
  void takeState(Engine& engine, const EngineState& state, ControllerOutput& output, TimePoint now) const;
  void noteSilence(Engine& engine, TimePoint now, ControllerOutput& output) const;
  void registerEngine(Engine& engine, TimePoint now, ControllerOutput& output) const;
  void removeGoneMachine(const Engine& engine, const MachineRecord& record, const MachineList& list,
                         TimePoint now, ControllerOutput& output);
  bool mustDrain(const Engine& engine) const;
  void scheduleWake(Engine& engine, TimePoint now);
  void wakeAt(Engine& engine, TimePoint wake);

  Term term_;
  EngineControllerSettings settings_;
  const ReplicatedState& state_;
  std::uint64_t next_sequence_ = 1;
  std::map<EngineName, Engine> engines_;
  std::set<std::pair<TimePoint, EngineName>> wakes_;
  std::map<MachineName, TimePoint> removals_proposed_;
};

}  // namespace ferryrock::control
