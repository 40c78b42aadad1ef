#pragma once

#include <memory>
#include <optional>
#include <string>

#include "calls/call_router.h"
#include "common/metrics.h"
#include "event/dispatcher.h"
#include "service_process/call_server.h"
#include "service_process/relay_server.h"
#include "service_process/replica_client.h"
#include "service_process/replica_prober.h"
#include "service_process/service_settings.h"
#include "transport/transport.h"

namespace ferryrock::service_process {

/// A running call router process. All its parts run on one dispatcher.
class CallRouterShell {
 public:
  /// Starts listening. Throws Error if the process can't start with these settings.
  CallRouterShell(event::Dispatcher& dispatcher, CallRouterProcessSettings settings,
                  const CallDialect& dialect, EventLog& log);
  ~CallRouterShell();

  /// Begins to drain: callers are directed to other routers and open calls may end. Calls on_stopped once,
  /// when the router has drained or the time limit has passed.
  void beginStop(event::Callback on_stopped);
  /// Adds the seeds of reloaded settings and connects to them.
  void applySeeds(const CallRouterProcessSettings& fresh);

  const CallRouterProcessSettings& settings() const { return settings_; }
  /// Account of what the process keeps for its clients, for all its servers.
  const std::shared_ptr<http::ClientBudget>& clientBudget() const { return client_budget_; }
  bool ready() const { return router_.ready(); }
  std::string metricsText();
  const calls::CallRouter& router() const { return router_; }
  http::Server& server() { return server_->server(); }

 private:
  void carryOut(const calls::Effects& effects);
  void carryOut(const wire::SendEffect& effect) { transport_->send(effect.to, effect.message); }
  void carryOut(const calls::RenewConnectionEffect& effect);
  void carryOut(const calls::SendAttemptEffect& effect);
  void carryOut(const calls::CancelAttemptEffect& effect) { client_->cancel(effect.attempt); }
  void carryOut(const calls::ProbeReplicaEffect& effect) { prober_->send(effect); }
  void carryOut(const calls::DeliverAnswerEffect& effect);
  void carryOut(const calls::StartStreamEffect& effect);
  void carryOut(const calls::PassEventEffect& effect);
  void resumeReading(calls::AttemptNumber attempt);
  void carryOut(const calls::FinishStreamEffect& effect) { server_->finish(effect.call); }
  void carryOut(const calls::BreakStreamEffect& effect) { server_->breakOff(effect.call); }
  void carryOut(const calls::RefuseCallEffect& effect) { server_->refuse(effect); }
  CallerCallbacks callerCallbacks();
  RelayCallbacks relayCallbacks(const CallDialect& dialect);
  ReplicaCallbacks replicaCallbacks();
  void connectControl();
  void armTimer();
  void continueStop();
  TimePoint now() { return dispatcher_.timeSource().monotonicTime(); }

  event::Dispatcher& dispatcher_;
  CallRouterProcessSettings settings_;
  EventLog& log_;
  std::shared_ptr<http::ClientBudget> client_budget_;
  MetricsRegistry metrics_;
  calls::CallRouter router_;
  std::unique_ptr<transport::Transport> transport_;
  std::unique_ptr<http::Client> http_client_;
  std::unique_ptr<ReplicaClient> client_;
  std::unique_ptr<ReplicaProber> prober_;
  std::unique_ptr<RelayServer> relay_server_;
  std::unique_ptr<CallServer> server_;
  std::unique_ptr<event::Timer> timer_;
  std::unique_ptr<event::Timer> stop_timer_;
  std::size_t connected_members_ = 0;
  TimePoint armed_until_ = TimePoint::max();
  std::optional<TimePoint> stop_began_;
  bool listener_closed_ = false;
  event::Callback on_stopped_;
};

}  // namespace ferryrock::service_process
