#pragma once

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <variant>
#include <vector>

#include "load/experiment/cell_engines.h"
#include "load/experiment/experiment_meter.h"
#include "load/experiment/router_demand.h"
#include "load/experiment/usage_trace.h"
#include "placement/policies.h"

namespace ferryrock::load::experiment {

/// One cell under virtual time: the product's ledger and planner, stand-in engines and weight store, and
/// routers that queue requests until a replica can take them. Replays one trace, once.
class SimulatedCell {
 public:
  /// The settings and the trace must outlive the cell. The weight replaces each model's cold_start_weight.
  SimulatedCell(const ExperimentSettings& settings, const UsageTrace& trace,
                placement::PlannerPolicies policies, double cold_start_weight);
  ExperimentFigures run();

 private:
  struct RequestEnds {
    SlotId slot;
    std::size_t request = 0;
  };
  struct DeadlineOf {
    std::size_t request = 0;
  };
  struct CommandApplies {
    wire::Command command;
  };
  struct UnloadEnds {
    SlotId slot;
  };
  struct AdapterUnloadEnds {
    SlotId slot;
    ModelName adapter;
  };
  struct EngineReports {
    std::size_t engine = 0;
  };
  struct RouterReports {
    std::uint32_t router = 0;
  };
  using Event = std::variant<RequestEnds, DeadlineOf, CommandApplies, UnloadEnds, AdapterUnloadEnds,
                             EngineReports, RouterReports>;
  struct Scheduled {
    TimePoint at;
    std::uint64_t number = 0;
    Event event;
    bool operator<(const Scheduled& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };
  /// A replica as routers and its engine see it.
  struct Replica {
    std::size_t engine = 0;
    std::size_t base = 0;
    bool ready = false;
    bool ending = false;
    bool unloading = false;
    std::uint32_t running = 0;
    std::set<std::size_t> adapters;  ///< loaded
    double share = 0;                ///< of accelerators
  };

  // simulated_cell.cc: time and events.
  void registerEngines();
  void schedule(TimePoint at, Event event);
  TimePoint nextTime() const;
  void runEventsAt(TimePoint now);
  void planAt(TimePoint now);
  void handle(const RequestEnds& event);
  void handle(const DeadlineOf& event);
  void handle(const CommandApplies& event);
  void handle(const UnloadEnds& event);
  void handle(const AdapterUnloadEnds& event);
  void handle(const EngineReports& event);
  void handle(const RouterReports& event);
  std::size_t indexOf(const ModelName& name) const { return index_.at(name); }

  // simulated_cell_requests.cc: what routers do.
  void arrive(std::size_t request);
  bool dispatch(std::size_t request);
  void dispatchWaiting(std::size_t base);
  bool serves(const Replica& replica, std::size_t model) const;
  bool anyServes(std::size_t model) const;
  void onReplicaReady(const Replica& replica);
  void endColdStarts(std::size_t model);
  void demandChanged(std::uint32_t router);

  // simulated_cell_engines.cc: what control tells engines, and what they answer.
  void propose(wire::Command command);
  void applied(const wire::DecideSlotCommand& command, const wire::CommandResult& result);
  void applied(const wire::SlotStateCommand& command);
  void applied(const wire::DecideAdapterCommand& command);
  void endReplica(SlotId slot);
  void unloadIfEmpty(SlotId slot);
  void onLoadEnd(const EngineLoadEnd& end);
  void onSlotLoaded(const EngineLoadEnd& end);
  void take(const placement::PlannerEffect& effect);

  const ExperimentSettings& settings_;
  const UsageTrace& trace_;
  std::vector<wire::ResolvedModel> resolved_;
  std::map<ModelName, std::size_t> index_;
  placement::Ledger ledger_;
  std::unique_ptr<placement::Planner> planner_;
  CellEngines engines_;
  ExperimentMeter meter_;
  std::priority_queue<Scheduled> events_;
  std::uint64_t next_event_ = 0;
  TimePoint now_;
  std::size_t next_request_ = 0;
  std::map<SlotId, Replica> replicas_;
  std::vector<std::set<SlotId>> replicas_of_;     ///< by base model
  std::vector<std::set<std::size_t>> names_of_;   ///< adapters and the model itself, by base model
  std::vector<std::deque<std::size_t>> waiting_;  ///< requests not dispatched, by name
  std::vector<std::vector<std::size_t>> cold_;    ///< requests that no replica could take yet, by name
  std::vector<RouterDemand> demand_;              ///< by router
  std::vector<bool> report_scheduled_;            ///< by router
};

}  // namespace ferryrock::load::experiment
