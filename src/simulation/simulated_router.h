#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "router/defects.h"
#include "router/router_node.h"
#include "simulation/engine_connection.h"
#include "simulation/simulated_process.h"
#include "simulation/simulation_context.h"

namespace ferryrock::simulation {

/// What a caller sees of its request; each runs at the caller, in order.
struct CallerCallbacks {
  std::function<void(const router::StreamChunk&)> on_chunk;
  std::function<void(const router::CallerAnswerEffect&)> on_answer;
  std::function<void(const router::CallerFailureEffect&)> on_failure;
  /// The router died; nothing follows.
  std::function<void()> on_cut;
};

/// One request as its caller made it, with what an engine needs to generate the answer.
struct SimulatedRequest {
  router::CallerRequest caller;
  std::string prompt;
  std::uint64_t max_tokens = 16;
};

/// One router of a run: RouterNode bound to virtual time and network, with the table's file on its disk.
class SimulatedRouter : public SimulatedProcess {
 public:
  SimulatedRouter(SimulationContext& context, const router::RouterSettings& settings,
                  const router::Defects& defects, std::uint64_t seed);

  /// Runs in this process. Callers sit beside it, so that nothing is lost between them.
  void request(const SimulatedRequest& request, CallerCallbacks callbacks);
  void callerGone(const RequestId& request);
  void receive(const wire::Envelope& envelope);
  void leavingEngines(const std::vector<router::LeavingEngine>& engines);
  /// Of the current life; null while it doesn't run.
  const router::RouterNode* node() const { return node_.get(); }

 protected:
  void onStart() override;
  void onKilled() override;

 private:
  struct OpenRequest {
    SimulatedRequest request;
    CallerCallbacks callbacks;
    bool caller_gone = false;  ///< a keyed request that runs on
  };

  void carryOut(const router::Effects& effects);
  void handle(const wire::SendEffect& effect);
  void handle(const router::DispatchEffect& effect);
  void handle(const router::ResumeEffect& effect);
  void handle(const router::CancelEffect& effect);
  void handle(const router::PauseEffect& effect);
  void handle(const router::CallerChunkEffect& effect);
  void handle(const router::CallerAnswerEffect& effect);
  void handle(const router::CallerFailureEffect& effect);

  EngineConnectionPtr openConnection(const AttemptId& attempt, const EngineName& engine, bool resumed);
  void closeConnection(const AttemptId& attempt);
  void onConnectionEvent(const AttemptId& attempt, bool resumed, const ConnectionEvent& event);
  /// Delivers to the engine's process; unreached runs here if the process isn't there or the link is cut.
  void toEngine(const EngineConnectionPtr& connection, std::function<void()> at_engine,
                bool report_unreached);
  void afterCall();
  void scheduleWakeup();
  void saveTable();

  SimulationContext& context_;
  router::RouterSettings settings_;
  const router::Defects defects_;
  Random random_;
  std::unique_ptr<router::RouterNode> node_;
  std::string table_file_;  ///< synced; outlives the process
  TreeVersion saved_version_;
  LogIndex saved_revision_;
  std::map<RequestId, OpenRequest> requests_;
  std::map<AttemptId, EngineConnectionPtr> connections_;
  std::map<AttemptId, bool> admitted_;
  TimePoint wakeup_ = TimePoint::max();  ///< local
};

}  // namespace ferryrock::simulation
