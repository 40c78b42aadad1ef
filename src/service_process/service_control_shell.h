#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/event_log.h"
#include "common/metrics.h"
#include "control_process/journal_writer.h"
#include "control_process/storage_writer.h"
#include "event/dispatcher.h"
#include "service_process/order_client.h"
#include "service_process/service_settings.h"
#include "service_process/step_watch.h"
#include "services/service_control.h"
#include "transport/transport.h"

namespace ferryrock::service_process {

/// A running control member of hosted services. An HTTP interface translates the requests of operators,
/// replicas and callers to the member functions below. Everything except the storage writer runs on the
/// dispatcher's thread.
class ServiceControlShell {
 public:
  using AnswerCallback = std::function<void(const services::AnswerEffect&)>;

  /// Recovers the state in the data folder and opens the internal socket. Throws Error if either fails.
  ServiceControlShell(event::Dispatcher& dispatcher, ServiceControlProcessSettings settings,
                      const OrderDialect& dialect, EventLog& log);
  ~ServiceControlShell();

  /// Each callback is called once with the result; see services::ServiceControl.
  void replaceCatalog(wire::ServiceCatalog catalog, std::string source, AnswerCallback callback);
  void readCatalog(AnswerCallback callback);
  void report(const wire::ReplicaReport& report, AnswerCallback callback);
  void evacuateZone(const ZoneName& zone, bool evacuated, AnswerCallback callback);
  std::vector<ZoneName> evacuatedZones() const { return control_->evacuatedZones(); }
  /// Logs a request or report that is malformed and was rejected as a whole.
  void recordMalformedRequest(const std::string& path, const Error& fault);
  std::vector<std::string> routerAddresses(const ZoneName& zone, std::size_t limit);
  std::vector<services::SuspectedCall> suspectedCalls() { return control_->suspectedCalls(now()); }
  void releaseCall(const wire::CallFingerprint& call);

  const ServiceControlProcessSettings& settings() const { return settings_; }
  /// Account of what the process keeps for its clients, for all its servers.
  const std::shared_ptr<http::ClientBudget>& clientBudget() const { return client_budget_; }
  std::string metricsText();
  void applySeeds(const ServiceControlProcessSettings& fresh);
  /// Hands leadership and, if possible, the vote over and answers pending requests, then calls on_stopped
  /// once; after a time limit in any case.
  void beginStop(event::Callback on_stopped);

 private:
  void carryOut(services::Effects effects);
  void carryOut(const wire::SendEffect& effect) { transport_->send(effect.to, effect.message); }
  void carryOut(consensus::PersistEffect& effect) { writer_->submit(std::move(effect)); }
  void carryOut(const services::OrderReplicaEffect& effect);
  void carryOut(const services::InspectReplicaEffect& effect) { orders_->send(effect); }
  void carryOut(const services::ModelUnplacedEffect& effect);
  void carryOut(const services::AnswerEffect& effect);
  void carryOut(const services::CatalogRolloutEffect& effect);
  void carryOut(const services::StoreStreamOriginsEffect& effect);
  services::ControlRequestNumber registerCallback(AnswerCallback callback);
  void openControl(storage::FileSystem& files);
  void openStreamOrigins();
  void storeStreamOrigins();
  void updatePeers();
  void logViewChanges();
  void logFleetChanges();
  void logRetryBudgets(TimePoint time);
  void logVersions(const services::FleetView& fleet);
  void logResourceUsage();
  void armTimer();
  void continueStop();
  TimePoint now() { return dispatcher_.timeSource().monotonicTime(); }

  event::Dispatcher& dispatcher_;
  ServiceControlProcessSettings settings_;
  EventLog& log_;
  std::shared_ptr<http::ClientBudget> client_budget_;
  StepWatch steps_;
  NodeName self_;
  MetricsRegistry metrics_;
  std::unique_ptr<services::ServiceControl> control_;
  std::unique_ptr<control_process::StorageWriter> writer_;
  std::unique_ptr<control_process::JournalWriter> origin_writer_;
  wire::StreamOrigins unstored_origins_;
  TimePoint origin_period_began_{};
  std::unique_ptr<event::Timer> origin_timer_;
  std::unique_ptr<transport::Transport> transport_;
  std::unique_ptr<http::Client> http_client_;
  std::unique_ptr<OrderClient> orders_;
  std::unique_ptr<event::Timer> timer_;
  std::unique_ptr<event::Timer> stop_timer_;
  std::map<services::ControlRequestNumber, AnswerCallback> pending_requests_;
  std::uint64_t next_request_number_ = 1;
  std::vector<NodeName> connected_peers_;
  services::ServiceControlView logged_view_;
  services::FleetView logged_fleet_;
  TimePoint next_fleet_log_{};
  TimePoint next_peer_check_{};
  std::unique_ptr<event::Timer> usage_timer_;
  transport::TransportCounts logged_counts_;
  TimePoint armed_until_ = TimePoint::max();
  bool storage_blocked_ = false;
  std::optional<TimePoint> stop_began_;
  event::Callback on_stopped_;
};

}  // namespace ferryrock::service_process
