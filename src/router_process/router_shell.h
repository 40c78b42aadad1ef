#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/metrics.h"
#include "control/engine_orders.h"
#include "event/dispatcher.h"
#include "http/http.h"
#include "process/platform_poller.h"
#include "router/router_node.h"
#include "router_process/caller_api.h"
#include "router_process/data_folder.h"
#include "router_process/engine_client.h"
#include "router_process/process_metrics.h"
#include "router_process/process_settings.h"
#include "router_process/status_gate.h"
#include "router_process/table_writer.h"
#include "transport/transport.h"

namespace ferryrock::router_process {

/// One running router: all its parts on one dispatcher, but for the thread that saves tables.
class RouterShell {
 public:
  /// Opens the data folder and starts listening. Throws Error for what it can't start with.
  RouterShell(event::Dispatcher& dispatcher, RouterProcessSettings settings);
  ~RouterShell();

  /// Refuses new requests, lets those accepted end, then calls back once; after the drain limit it calls back
  /// whatever still runs.
  void beginStop(event::Callback on_stopped);
  /// Takes the control members' addresses and keys, and the own keys, of fresh settings. Throws Error for
  /// keys that can't be read.
  void replaceControl(const RouterProcessSettings& fresh);

  std::uint16_t httpPort() const { return http_server_->port(); }
  std::string httpUrl() const;
  const router::RouterNode& node() const { return *node_; }
  std::uint64_t incarnation() const { return settings_.node.incarnation; }

 private:
  void createNode();
  void carryOut(const router::Effects& effects);
  void carryOut(const wire::SendEffect& effect) { status_gate_->send(effect); }
  void carryOut(const router::DispatchEffect& effect) { engine_client_->dispatch(effect); }
  void carryOut(const router::ResumeEffect& effect) { engine_client_->resume(effect); }
  void carryOut(const router::CancelEffect& effect) { engine_client_->cancel(effect); }
  void carryOut(const router::PauseEffect& effect) { engine_client_->pause(effect); }
  void carryOut(const router::CallerChunkEffect& effect) { caller_api_->onChunk(effect); }
  void carryOut(const router::CallerAnswerEffect& effect) { caller_api_->onAnswer(effect); }
  void carryOut(const router::CallerFailureEffect& effect) { caller_api_->onFailure(effect); }
  EngineCallbacks engineCallbacks();
  void armTimer();
  void onTimer();
  /// Saves the table at once when its tree version has risen.
  void followTreeVersion();
  /// Saves the table now and then when its replicas have changed.
  void saveTable();
  void onMachineList(const control::MachineList& list);
  void continueStop();
  void closeConnections();
  TimePoint now() { return dispatcher_.timeSource().monotonicTime(); }

  event::Dispatcher& dispatcher_;
  RouterProcessSettings settings_;
  MetricsRegistry metrics_;
  DataFolder folder_;
  std::unique_ptr<router::RouterNode> node_;
  std::unique_ptr<StatusGate> status_gate_;
  std::unique_ptr<transport::Transport> transport_;
  transport::KeyPair own_keys_;
  std::unique_ptr<http::Client> http_client_;
  std::unique_ptr<EngineClient> engine_client_;
  std::unique_ptr<CallerApi> caller_api_;
  std::unique_ptr<process::PlatformPoller> platform_;
  std::unique_ptr<http::Server> http_server_;
  std::unique_ptr<ProcessMetrics> process_metrics_;
  std::unique_ptr<event::Timer> timer_;
  std::unique_ptr<event::Timer> save_timer_;
  std::unique_ptr<event::Timer> stop_timer_;
  std::unique_ptr<TableWriter> table_writer_;
  TimePoint armed_until_ = TimePoint::max();
  TreeVersion queued_version_;  ///< of the last table given to the writer
  std::uint64_t queued_digest_ = 0;
  std::optional<TimePoint> stop_limit_;
  std::optional<TimePoint> close_limit_;
  event::Callback on_stopped_;
};

}  // namespace ferryrock::router_process
