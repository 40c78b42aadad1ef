#pragma once

#include <optional>

#include "control/engine_controller.h"
#include "control/replicated_state.h"
#include "control/table_publisher.h"
#include "placement/planner.h"

namespace ferryrock::control {

/// Routers' entries from the committed state, the engines' reports and the planner's expectations.
class RouteEntryBuilder : public RouteEntrySource {
 public:
  RouteEntryBuilder(const ReplicatedState& state, const EngineController& engines,
                    const placement::Planner& planner)
      : state_(state), engines_(engines), planner_(planner) {}

  std::optional<wire::RouteEntry> entry(const ModelName& name, TimePoint now) const override;
  TreeVersion treeVersion() const override { return state_.catalog().version(); }

 private:
  /// The slot as an entry with these settings shows it: of the loaded adapters only the entry's own, so that
  /// the news of one adapter doesn't change the entries of all others of the model.
  std::optional<wire::ReplicaEndpoint> endpoint(const wire::Slot& slot,
                                                const wire::ResolvedModel& settings) const;
  bool hasLoaded(const wire::Slot& slot, const ModelName& adapter) const;
  void expect(wire::RouteEntry& entry, TimePoint now) const;

  const ReplicatedState& state_;
  const EngineController& engines_;
  const placement::Planner& planner_;
};

}  // namespace ferryrock::control
