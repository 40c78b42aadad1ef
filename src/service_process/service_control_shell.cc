#include "service_process/service_control_shell.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

#include "quarantine/call_fingerprint.h"
#include "service_process/client_budget_metrics.h"
#include "service_process/member_identity.h"
#include "storage/log_storage.h"
#include "wire/codec.h"
#include "wire/message_kind.h"

namespace ferryrock::service_process {
namespace {

using namespace std::chrono_literals;

/// Send queue limit per peer, in messages. Messages dropped beyond the limit are sent again.
constexpr std::size_t kSendQueueLimit = 64;
/// Receive queue limit per peer, in messages: 16 messages of 8 KiB from each of 300 routers take 39 MB of the
/// process's 256 MB.
constexpr std::size_t kReceiveQueueLimit = 16;
constexpr Duration kStopPollInterval = 50ms;
constexpr Duration kStopLimit = 3s;
/// Interval between log lines on memory and traffic.
constexpr Duration kUsageLogInterval = 5s;
/// Minimum interval between checks for changed peers, as thousands of messages arrive per second.
constexpr Duration kPeerCheckInterval = 20ms;
/// Minimum interval between counts of the known replicas and routers, as each count iterates over the
/// routers.
constexpr Duration kFleetLogInterval = 500ms;
/// Low, because entries with catalogs are large and rare: the log is replaced by a snapshot early.
constexpr std::size_t kSnapshotAfterEntries = 300;
constexpr std::size_t kRetainedEntries = 50;
/// Interval between attempts to write to a disk that is full or faulty.
constexpr Duration kStorageRetry = 250ms;
/// Origins of streams that are reported within this time share one write and sync.
constexpr Duration kOriginStoreInterval = 200ms;
constexpr std::uint64_t kSegmentBytes = std::uint64_t{4} << 20;

services::ServiceControlSettings controlSettings(const ServiceControlProcessSettings& settings,
                                                 const NodeName& self, const MemberIdentity& identity) {
  services::ServiceControlSettings control;
  control.control.log.id = identity.id;
  control.control.log.node = self;
  control.control.log.bootstrap = !identity.founders.empty();
  control.control.log.initial_membership.members = identity.founders;
  control.control.log.snapshot_after_entries = kSnapshotAfterEntries;
  control.control.log.retained_entries = kRetainedEntries;
  control.http = settings.listen_control;
  control.seeds = settings.seedNodes();
  control.tolerated_losses = settings.tolerated_losses;
  for (const std::string& zone : settings.zones) {
    control.zones.emplace_back(zone);
  }
  control.replica_heartbeat = settings.replica_heartbeat;
  control.router_contact_timeout = settings.router_contact_timeout;
  control.order_lease = settings.order_lease;
  control.placement = settings.placement;
  control.publishes_loads = settings.publishes_loads;
  control.quota_tolerance = settings.quota_tolerance;
  control.retries = settings.retries;
  return control;
}

}  // namespace

ServiceControlShell::ServiceControlShell(event::Dispatcher& dispatcher,
                                         ServiceControlProcessSettings settings, const OrderDialect& dialect,
                                         EventLog& log)
    : dispatcher_(dispatcher),
      settings_(std::move(settings)),
      log_(log),
      client_budget_(std::make_shared<http::ClientBudget>(settings_.clientLimits())),
      steps_(dispatcher.timeSource(), log),
      self_(settings_.host + ":" + std::to_string(settings_.internal_port)) {
  timer_ = dispatcher_.createTimer([this] {
    armed_until_ = TimePoint::max();
    const StepWatch::Step step(steps_, "timer");
    carryOut(control_->tick(now()));
  });
  stop_timer_ = dispatcher_.createTimer([this] { continueStop(); });
  usage_timer_ = dispatcher_.createTimer([this] { logResourceUsage(); });
  usage_timer_->enable(kUsageLogInterval);
  http_client_ = http::createClient(dispatcher_);
  OrderCallbacks callbacks;
  callbacks.on_order_completed = [this](services::OrderNumber number, services::OrderOutcome outcome) {
    log_.write(LogLevel::Info, "order.done",
               {{"order", static_cast<std::int64_t>(number.value)},
                {"outcome", static_cast<std::int64_t>(outcome)}});
    carryOut(control_->onOrderDone(number, outcome, now()));
  };
  callbacks.on_inspected = [this](services::OrderNumber number,
                                  const std::optional<services::ReplicaState>& state) {
    carryOut(control_->onInspected(number, state, now()));
  };
  orders_ = std::make_unique<OrderClient>(dispatcher_, *http_client_, dialect, std::move(callbacks));
  const auto identity_files = storage::createPosixFileSystem(settings_.data_folder + "/identity");
  openControl(*identity_files);
  openStreamOrigins();
  transport::TransportSettings transport;
  transport.node = self_;
  transport.listen_address = self_.value;
  transport.high_water_mark = kSendQueueLimit;
  transport.receive_high_water_mark = kReceiveQueueLimit;
  transport_ =
      transport::createZeroMqTransport(dispatcher_, transport, [this](const wire::Envelope& envelope) {
        const StepWatch::Step step(steps_, wire::messageKindName(envelope.message.index()));
        carryOut(control_->receive(envelope, now()));
      });
  updatePeers();
  carryOut(control_->tick(now()));
}

ServiceControlShell::~ServiceControlShell() = default;

void ServiceControlShell::openControl(storage::FileSystem& files) {
  std::vector<SeedMember> seeds;
  const std::vector<NodeName> nodes = settings_.seedNodes();
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    seeds.push_back({nodes[i], settings_.seeds[i]});
  }
  const MemberIdentity identity = loadIdentity(files, self_, seeds, settings_.bootstrap, systemSeed());
  auto storage = storage::createLogStorage(storage::createPosixFileSystem(settings_.data_folder + "/log"),
                                           identity.id, kSegmentBytes);
  consensus::RecoveredState recovered = storage->recover();
  log_.write(LogLevel::Info, "process.recovered",
             {{"member", static_cast<std::int64_t>(identity.id.value)},
              {"founder", !identity.founders.empty()},
              {"term", static_cast<std::int64_t>(recovered.hard_state.term.value)},
              {"entries", static_cast<std::int64_t>(recovered.entries.size())},
              {"snapshot", recovered.snapshot.has_value()}});
  control_ = services::createServiceControl(controlSettings(settings_, self_, identity), std::move(recovered),
                                            Random(systemSeed()), dispatcher_.timeSource());
  writer_ = std::make_unique<control_process::StorageWriter>(
      dispatcher_, std::move(storage),
      [this](std::uint64_t sequence) {
        const StepWatch::Step step(steps_, "write");
        carryOut(control_->onPersisted(sequence, now()));
      },
      [this](const std::string& reason) {
        storage_blocked_ = true;
        log_.write(LogLevel::Error, "storage.blocked", {{"reason", std::string_view(reason)}});
      },
      [this] {
        storage_blocked_ = false;
        log_.write(LogLevel::Info, "storage.recovered", {});
      },
      kStorageRetry);
}

/// The origins are copies, so that the process runs without those that it can't read or write.
void ServiceControlShell::openStreamOrigins() {
  origin_timer_ = dispatcher_.createTimer([this] { storeStreamOrigins(); });
  const auto on_failed = [this](const std::string& reason) {
    log_.write(LogLevel::Warning, "origins.not_stored", {{"reason", std::string_view(reason)}});
  };
  try {
    auto journal = std::make_unique<storage::RecordJournal>(
        storage::createPosixFileSystem(settings_.data_folder + "/origins"));
    std::size_t recovered = 0;
    for (const std::string& record : journal->recover()) {
      const auto stored = wire::decode<wire::StreamOrigins>(record);
      recovered += stored.origins.size();
      control_->restoreStreamOrigins(stored, now());
    }
    log_.write(LogLevel::Info, "origins.recovered", {{"streams", static_cast<std::int64_t>(recovered)}});
    origin_period_began_ = now();
    origin_writer_ =
        std::make_unique<control_process::JournalWriter>(dispatcher_, std::move(journal), on_failed);
  } catch (const Error& fault) {
    on_failed(fault.what());
  }
}

void ServiceControlShell::carryOut(const services::StoreStreamOriginsEffect& effect) {
  if (origin_writer_ == nullptr) {
    return;
  }
  std::vector<wire::StreamOrigin>& unstored = unstored_origins_.origins;
  if (unstored.empty()) {
    origin_timer_->enable(kOriginStoreInterval);
  }
  unstored.insert(unstored.end(), effect.origins.origins.begin(), effect.origins.origins.end());
}

void ServiceControlShell::storeStreamOrigins() {
  if (now() - origin_period_began_ >= services::StreamOriginStore::kRetention) {
    origin_period_began_ = now();
    origin_writer_->rotate();
  }
  origin_writer_->append(wire::encode(std::exchange(unstored_origins_, {})));
}

services::ControlRequestNumber ServiceControlShell::registerCallback(AnswerCallback callback) {
  const services::ControlRequestNumber number{next_request_number_++};
  pending_requests_.emplace(number, std::move(callback));
  return number;
}

void ServiceControlShell::replaceCatalog(wire::ServiceCatalog catalog, std::string source,
                                         AnswerCallback callback) {
  log_.write(LogLevel::Info, "catalog.offered",
             {{"version", static_cast<std::int64_t>(catalog.version.value)},
              {"held", static_cast<std::int64_t>(logged_view_.catalog.value)}});
  const services::ControlRequestNumber number = registerCallback(std::move(callback));
  const StepWatch::Step step(steps_, "catalog");
  carryOut(control_->replaceCatalog(number, std::move(catalog), std::move(source), now()));
}

void ServiceControlShell::readCatalog(AnswerCallback callback) {
  const services::ControlRequestNumber number = registerCallback(std::move(callback));
  carryOut(control_->readCatalog(number, now()));
}

void ServiceControlShell::evacuateZone(const ZoneName& zone, bool evacuated, AnswerCallback callback) {
  constexpr std::size_t kMaxLoggedLength = 64;
  log_.write(
      LogLevel::Info, evacuated ? "zone.evacuate" : "zone.restore",
      {{"zone", std::string_view(zone.value).substr(0, kMaxLoggedLength)}, {"leads", logged_view_.leads}});
  const services::ControlRequestNumber number = registerCallback(std::move(callback));
  carryOut(control_->evacuateZone(number, zone, evacuated, now()));
}

void ServiceControlShell::report(const wire::ReplicaReport& report, AnswerCallback callback) {
  if (report.leaving) {
    log_.write(LogLevel::Info, "replica.leaving",
               {{"replica", std::string_view(report.id.value)},
                {"sequence", static_cast<std::int64_t>(report.sequence)},
                {"ends_in_ms", report.terminates_in_ms.value_or(-1)}});
  }
  const services::ControlRequestNumber number = registerCallback(std::move(callback));
  const StepWatch::Step step(steps_, "report");
  carryOut(control_->onReport(number, report, now()));
}

void ServiceControlShell::recordMalformedRequest(const std::string& path, const Error& fault) {
  // The path is chosen by the client and truncated; this length is enough to identify the request.
  constexpr std::size_t kMaxLoggedLength = 120;
  log_.write(LogLevel::Warning, "question.unreadable",
             {{"path", std::string_view(path).substr(0, kMaxLoggedLength)},
              {"code", static_cast<std::int64_t>(fault.code())},
              {"field", std::string_view(fault.place())},
              {"detail", std::string_view(fault.detail()).substr(0, kMaxLoggedLength)}});
}

std::vector<std::string> ServiceControlShell::routerAddresses(const ZoneName& zone, std::size_t limit) {
  return control_->routerAddresses(zone, limit, now());
}

void ServiceControlShell::releaseCall(const wire::CallFingerprint& call) {
  log_.write(LogLevel::Info, "crash.released", {{"fingerprint", quarantine::toText(call)}});
  carryOut(control_->releaseCall(call, now()));
}

void ServiceControlShell::carryOut(services::Effects effects) {
  for (services::Effect& effect : effects) {
    std::visit([this](auto& typed) { carryOut(typed); }, effect);
  }
  updatePeers();
  logViewChanges();
  armTimer();
}

void ServiceControlShell::carryOut(const services::OrderReplicaEffect& effect) {
  log_.write(LogLevel::Info, "order.sent",
             {{"order", static_cast<std::int64_t>(effect.number.value)},
              {"replica", std::string_view(effect.replica.value)},
              {"action", effect.action == services::OrderAction::Load ? "load" : "unload"},
              {"model", std::string_view(effect.model.value)},
              {"adapter", std::string_view(effect.adapter)},
              {"expected", static_cast<std::int64_t>(effect.expected)},
              {"fence", static_cast<std::int64_t>(effect.fence.value)}});
  orders_->send(effect);
}

void ServiceControlShell::carryOut(const services::ModelUnplacedEffect& effect) {
  log_.write(LogLevel::Info, "model.not_ordered",
             {{"service", std::string_view(effect.service.value)},
              {"model", std::string_view(effect.model.value)},
              {"reason", nameOf(effect.reason)},
              {"waiting", static_cast<std::int64_t>(effect.waiting)},
              {"urgency", effect.urgency},
              {"near_replicas", static_cast<std::int64_t>(effect.local_tier_replicas)},
              {"store_loads", static_cast<std::int64_t>(effect.store_loads)},
              {"store_width", effect.store_width}});
}

void ServiceControlShell::carryOut(const services::AnswerEffect& effect) {
  const auto found = pending_requests_.find(effect.request_number);
  if (found == pending_requests_.end()) {
    return;
  }
  const AnswerCallback callback = std::move(found->second);
  pending_requests_.erase(found);
  if (effect.code != ResultCode::Ok) {
    log_.write(LogLevel::Warning, "question.refused",
               {{"code", static_cast<std::int64_t>(effect.code)},
                {"name", resultCodeInfo(effect.code).name},
                {"detail", std::string_view(effect.detail)}});
  }
  callback(effect);
}

void ServiceControlShell::carryOut(const services::CatalogRolloutEffect& effect) {
  if (effect.behind == 0) {
    log_.write(LogLevel::Info, "catalog.everywhere",
               {{"version", static_cast<std::int64_t>(effect.version.value)},
                {"routers", static_cast<std::int64_t>(effect.routers)},
                {"after_ms", toMilliseconds(effect.since)}});
    return;
  }
  log_.write(LogLevel::Warning, "catalog.behind",
             {{"version", static_cast<std::int64_t>(effect.version.value)},
              {"routers", static_cast<std::int64_t>(effect.routers)},
              {"behind", static_cast<std::int64_t>(effect.behind)},
              {"router", std::string_view(effect.router.value)},
              {"holds", static_cast<std::int64_t>(effect.held.value)},
              {"heard_ms_ago", toMilliseconds(effect.last_contact_age)},
              {"after_ms", toMilliseconds(effect.since)}});
}

void ServiceControlShell::updatePeers() {
  const TimePoint time = now();
  if (transport_ == nullptr || time < next_peer_check_) {
    return;
  }
  next_peer_check_ = time + kPeerCheckInterval;
  std::vector<NodeName> nodes = control_->peers();
  if (nodes == connected_peers_) {
    return;
  }
  std::vector<transport::Peer> peers;
  peers.reserve(nodes.size());
  for (const NodeName& node : nodes) {
    peers.push_back({node, node.value, ""});
  }
  transport_->setPeers(std::move(peers));
  connected_peers_ = std::move(nodes);
}

/// Logs one line for each change of the member's view: leader, voters, catalog, evacuated zones.
void ServiceControlShell::logViewChanges() {
  const services::ServiceControlView view = control_->view(now());
  if (view.leader != logged_view_.leader || view.term != logged_view_.term ||
      view.leads != logged_view_.leads) {
    log_.write(LogLevel::Info, "cell.leader",
               {{"leader", std::string_view(view.leader.value)},
                {"term", static_cast<std::int64_t>(view.term.value)},
                {"leads", view.leads}});
  }
  if (view.voters != logged_view_.voters) {
    log_.write(LogLevel::Info, "cell.voters",
               {{"voters", static_cast<std::int64_t>(view.voters)},
                {"before", static_cast<std::int64_t>(logged_view_.voters)}});
  }
  if (view.catalog != logged_view_.catalog) {
    log_.write(LogLevel::Info, "catalog.committed",
               {{"version", static_cast<std::int64_t>(view.catalog.value)}});
  }
  if (view.evacuated_zones != logged_view_.evacuated_zones) {
    log_.write(LogLevel::Info, "zone.evacuated",
               {{"zones", static_cast<std::int64_t>(view.evacuated_zones)},
                {"before", static_cast<std::int64_t>(logged_view_.evacuated_zones)}});
  }
  logged_view_ = view;
  logFleetChanges();
}

/// Logs the number of known replicas and routers if it has changed. Limited in rate, as the numbers change
/// often and in steps of one.
void ServiceControlShell::logFleetChanges() {
  const TimePoint time = now();
  if (time < next_fleet_log_) {
    return;
  }
  next_fleet_log_ = time + kFleetLogInterval;
  const services::FleetView fleet = control_->fleet(time);
  if (fleet != logged_fleet_) {
    log_.write(LogLevel::Info, "fleet.seen",
               {{"replicas", static_cast<std::int64_t>(fleet.replicas)},
                {"routers", static_cast<std::int64_t>(fleet.routers)},
                {"routers_partitioned", static_cast<std::int64_t>(fleet.partitioned)},
                {"unreachable", static_cast<std::int64_t>(fleet.unreachable)}});
  }
  if (fleet.versions != logged_fleet_.versions) {
    logVersions(fleet);
  }
  logged_fleet_ = fleet;
  logRetryBudgets(time);
}

/// Logs the number of replicas of each software version, for each service.
void ServiceControlShell::logVersions(const services::FleetView& fleet) {
  for (const auto& [service, versions] : fleet.versions) {
    std::string text;
    for (const auto& [version, replicas] : versions) {
      text += (text.empty() ? "" : ", ") + version + ": " + std::to_string(replicas);
    }
    log_.write(
        LogLevel::Info, "fleet.versions",
        {{"service", std::string_view(service.value)}, {"replicas_by_version", std::string_view(text)}});
  }
}

/// Logs what the leader knows of each retry budget that routers use, with the limits of logFleetChanges().
void ServiceControlShell::logRetryBudgets(TimePoint time) {
  for (const services::RetryBudgetView& view : control_->retryBudgets(time)) {
    if (view.used > 0) {
      log_.write(LogLevel::Info, "retry.budgets",
                 {{"service", std::string_view(view.service.value)},
                  {"budget", view.budget},
                  {"used", view.used},
                  {"outstanding", view.outstanding},
                  {"assumed", view.assumed}});
    }
  }
}

/// Logs the memory in use, and the traffic by kind of message since the previous call.
void ServiceControlShell::logResourceUsage() {
  usage_timer_->enable(kUsageLogInterval);
  const transport::TransportCounts counts = transport_->counts();
  const struct mallinfo2 heap = mallinfo2();
  log_.write(LogLevel::Info, "process.held",
             {{"heap_bytes", static_cast<std::int64_t>(heap.uordblks)},
              {"heap_free_bytes", static_cast<std::int64_t>(heap.fordblks)},
              {"mapped_bytes", static_cast<std::int64_t>(heap.hblkhd)},
              {"questions", static_cast<std::int64_t>(pending_requests_.size())},
              {"dropped", static_cast<std::int64_t>(counts.dropped - logged_counts_.dropped)},
              {"leads", logged_view_.leads}});
  for (std::size_t kind = 0; kind < wire::kMessageKinds; ++kind) {
    const transport::MessageTraffic& sent = counts.sent_by_kind.at(kind);
    const transport::MessageTraffic& received = counts.received_by_kind.at(kind);
    const transport::MessageTraffic& sent_before = logged_counts_.sent_by_kind.at(kind);
    const transport::MessageTraffic& received_before = logged_counts_.received_by_kind.at(kind);
    if (sent.messages == sent_before.messages && received.messages == received_before.messages) {
      continue;
    }
    log_.write(LogLevel::Info, "process.traffic",
               {{"kind", wire::messageKindName(kind)},
                {"sent", static_cast<std::int64_t>(sent.messages - sent_before.messages)},
                {"sent_bytes", static_cast<std::int64_t>(sent.bytes - sent_before.bytes)},
                {"received", static_cast<std::int64_t>(received.messages - received_before.messages)},
                {"received_bytes", static_cast<std::int64_t>(received.bytes - received_before.bytes)}});
  }
  logged_counts_ = counts;
}

void ServiceControlShell::armTimer() {
  const TimePoint deadline = control_->nextDeadline();
  if (deadline >= armed_until_) {
    return;
  }
  armed_until_ = deadline;
  const TimePoint time = now();
  timer_->enable(deadline > time ? deadline - time : Duration::zero());
}

void ServiceControlShell::applySeeds(const ServiceControlProcessSettings& fresh) {
  control_->addSeeds(fresh.seedNodes());
  next_peer_check_ = {};
  updatePeers();
  log_.write(LogLevel::Info, "process.reloaded", {{"seeds", static_cast<std::int64_t>(fresh.seeds.size())}});
}

void ServiceControlShell::beginStop(event::Callback on_stopped) {
  if (stop_began_) {
    return;
  }
  stop_began_ = now();
  on_stopped_ = std::move(on_stopped);
  log_.write(
      LogLevel::Info, "process.stopping",
      {{"leads", logged_view_.leads}, {"questions", static_cast<std::int64_t>(pending_requests_.size())}});
  carryOut(control_->beginStop(now()));
  continueStop();
}

void ServiceControlShell::continueStop() {
  const bool handed_over = control_->mayStop(now()) && pending_requests_.empty();
  if (handed_over || now() - *stop_began_ >= kStopLimit) {
    if (on_stopped_) {
      std::exchange(on_stopped_, nullptr)();
    }
    return;
  }
  stop_timer_->enable(kStopPollInterval);
}

std::string ServiceControlShell::metricsText() {
  setClientBudgetMetrics(metrics_, *client_budget_);
  const services::ServiceControlView view = control_->view(now());
  const services::FleetView fleet = control_->fleet(now());
  const auto set = [this](const char* name, const char* help, double value) {
    metrics_.gauge(name, help).set(value);
  };
  set("ferryrock_cell_leads", "1 while this member leads the cell", view.leads ? 1 : 0);
  set("ferryrock_cell_term", "Election term", static_cast<double>(view.term.value));
  set("ferryrock_storage_blocked", "1 while the disk takes no writes, so that this member takes no part",
      storage_blocked_ ? 1 : 0);
  set("ferryrock_cell_voters", "Voters of the cell", static_cast<double>(view.voters));
  set("ferryrock_replicas_known", "Replicas that reported of late", static_cast<double>(fleet.replicas));
  set("ferryrock_routers_offered", "Routers that callers are sent to", static_cast<double>(fleet.routers));
  set("ferryrock_routers_partitioned", "Routers that reach no replica over their own connections",
      static_cast<double>(fleet.partitioned));
  set("ferryrock_replicas_unreachable", "Replicas left out of placement, since routers don't reach them",
      static_cast<double>(fleet.unreachable));
  set("ferryrock_stream_origins", "Streams whose origin this member remembers",
      static_cast<double>(view.stream_origins));
  set("ferryrock_stream_origins_found", "Queries for an origin that this member knew",
      static_cast<double>(view.origin_queries.found));
  set("ferryrock_stream_origins_unknown", "Queries for an origin that this member didn't know",
      static_cast<double>(view.origin_queries.unknown));
  set("ferryrock_catalog_version", "Version of the catalog committed",
      static_cast<double>(view.catalog.value));
  set("ferryrock_quota_charged", "Quota that routers told as used, since this member leads",
      view.quota.charged);
  set("ferryrock_quota_granted", "Quota granted to calls that asked, since this member leads",
      view.quota.granted);
  set("ferryrock_quota_refused", "Calls that asked and were refused, since this member leads",
      static_cast<double>(view.quota.refused));
  set("ferryrock_quota_held", "Quota kept for routers out of contact, which may use it again",
      view.quota.held);
  set("ferryrock_quota_routers_out_of_contact", "Routers out of contact whose use of quotas is kept",
      static_cast<double>(view.quota.routers_out_of_contact));
  set("ferryrock_quarantine_trials_granted", "Trials of quarantined traits granted, since this process began",
      static_cast<double>(view.trials_granted));
  set("ferryrock_calls_quarantined",
      "Calls and traits kept away from replicas, since several ended under them",
      static_cast<double>(view.quarantined_calls));
  set("ferryrock_calls_suspected", "Calls under which replicas ended, too few for a quarantine",
      static_cast<double>(view.suspected_calls));
  set("ferryrock_tenants_limited", "Tenants whose calls ask for credit before they run",
      static_cast<double>(view.limited_tenants));
  set("ferryrock_replicas_limited", "Replicas that take so many calls a second from all routers together",
      static_cast<double>(view.limited_replicas));
  set("ferryrock_limit_granted", "Calls granted under replicas' limits, since this member leads",
      static_cast<double>(view.limits.granted));
  set("ferryrock_limit_reserved", "Of those, calls granted for a later time",
      static_cast<double>(view.limits.reserved));
  set("ferryrock_limit_refused", "Calls for which a replica has no room under its limit in time",
      static_cast<double>(view.limits.refused));
  set("ferryrock_limit_returned", "Granted calls that weren't sent",
      static_cast<double>(view.limits.returned));
  set("ferryrock_zones_evacuated", "Zones whose replicas get no new calls and no models",
      static_cast<double>(view.evacuated_zones));
  set("ferryrock_transport_sent_bytes", "Bytes sent to other processes of the system",
      static_cast<double>(transport_->counts().sent_bytes));
  set("ferryrock_transport_dropped", "Messages dropped: their peer is unknown or its queue is full",
      static_cast<double>(transport_->counts().dropped));
  set("ferryrock_heap_bytes", "Bytes of the heap in use", static_cast<double>(mallinfo2().uordblks));
  return metrics_.serialize();
}

}  // namespace ferryrock::service_process
