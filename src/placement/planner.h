#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "catalog/settings_tree.h"
#include "common/time.h"
#include "placement/ledger.h"
#include "wire/commands.h"
#include "wire/messages.h"

namespace ferryrock::placement {

/// Location of a checkpoint, ordered from the fastest to the slowest to load.
enum class CheckpointTier : std::uint8_t { Memory = 0, Disk = 1, Peer = 2, Remote = 3 };

/// The last report of an engine, possibly stale. Held by the leader, not replicated.
struct EngineReport {
  EngineName engine;
  Incarnation incarnation;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::vector<ModelName> in_memory;  ///< checkpoints in host memory
  std::vector<ModelName> on_disk;
};

/// Outcome of a load, from which the weight store's rate and width are estimated.
struct LoadObservation {
  SlotId slot;
  EngineName engine;
  CheckpointTier tier = CheckpointTier::Remote;
  std::uint64_t bytes = 0;
  Duration duration{};
  std::uint32_t concurrent_remote_loads = 0;
  bool succeeded = true;
};

/// A command to propose for commit; orders to engines follow from the committed slot states.
struct ProposeEffect {
  wire::Command command;
};

/// A prefetch order. It needs no slot, because it occupies no accelerator memory.
struct PrefetchEffect {
  EngineName engine;
  ModelName model;
  ModelVersion version;
  CheckpointTier to = CheckpointTier::Disk;
};

/// Orders the engine to unload an adapter. The adapter's bytes stay held until the engine acknowledges the
/// unload and a DecideAdapterCommand with remove is committed; the planner repeats the order while the room
/// is needed.
struct UnloadAdapterEffect {
  SlotId slot;
  ModelName adapter;
};

using PlannerEffect = std::variant<ProposeEffect, PrefetchEffect, UnloadAdapterEffect>;
using PlannerEffects = std::vector<PlannerEffect>;

/// Resolves names against the catalog in force.
using ModelLookup = std::function<std::optional<wire::ResolvedModel>(const ModelName&)>;

/// Explanation of the current replicas of a model; shown by `ferryrock explain`.
struct Explanation {
  ModelName model;
  std::uint32_t wanted = 0;
  std::uint32_t decided = 0;
  std::vector<std::string> reasons;  ///< one sentence each
};

/// Decides the number of replicas, places them, orders loads and releases accelerators.
///
/// The planner proposes DecideSlot, DecideAdapter, and the slot states Draining (a replica is released) and
/// Unloading (a load failed). The control service proposes all transitions that engine reports prove:
/// RegisterEngine, RemoveMachine, Loading, Ready, Unloading once a draining slot runs no request, Freed, and
/// the removal of an adapter. A load begins as soon as its slot is decided, so the planner delays decisions
/// to stay within the weight store's rate and width.
///
/// Runs on the leader only; after a change of leader its state is rebuilt from the ledger and from reports.
/// No message causes a walk over all models or all adapters. Not thread-safe.
class Planner {
 public:
  virtual ~Planner() = default;
  virtual void onDemand(const wire::DemandReport& report, TimePoint now) = 0;
  virtual void onRouterGone(const NodeName& router, TimePoint now) = 0;
  virtual void onEngineReport(const EngineReport& report, TimePoint now) = 0;
  virtual void onEngineUnreachable(const EngineName& engine, TimePoint now) = 0;
  virtual void onMachineLeaving(const MachineName& machine, std::optional<Duration> left, TimePoint now) = 0;
  virtual void onLoadObserved(const LoadObservation& observation, TimePoint now) = 0;
  /// Call after a committed command changed the slot in the ledger.
  virtual void onSlotChanged(SlotId slot, TimePoint now) = 0;
  /// Call with every addressable name after creation, and later with the changed names. The planner learns of
  /// minimum replicas and version changes by this call only.
  virtual void onSettingsChanged(const std::vector<ModelName>& models, TimePoint now) = 0;
  /// Call after the engine was registered or removed in the ledger, or its draining flag changed.
  virtual void onEngineChanged(const EngineName& engine, TimePoint now) = 0;
  /// Call when a proposed command was rejected on application or is known not to have been committed.
  /// Proposals without an outcome expire after kProposalLifetime.
  virtual void onProposalRefused(const wire::Command& command, TimePoint now) = 0;
  /// Returns the effects to carry out; call at nextDeadline() and after any of the above.
  virtual PlannerEffects plan(TimePoint now) = 0;
  virtual TimePoint nextDeadline() const = 0;
  /// Expected time until a replica can serve the name; nullopt if it cannot be loaded now.
  virtual std::optional<Duration> expectedLoad(const ModelName& name, TimePoint now) const = 0;
  virtual Explanation explain(const ModelName& name, TimePoint now) const = 0;
};

/// Creates a planner with the default policies. The ledger must outlive it.
std::unique_ptr<Planner> createPlanner(const Ledger& ledger, ModelLookup lookup, TimePoint now);

}  // namespace ferryrock::placement
