#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "control/control_node.h"
#include "services/catalog_rollout.h"
#include "services/limit_ledger.h"
#include "services/placement_switches.h"
#include "services/replica_orders.h"
#include "services/replica_registry.h"
#include "services/retry_ledger.h"
#include "services/router_directory.h"
#include "services/stream_origin_store.h"
#include "tenancy/quota_ledger.h"

/// A control member of hosted services as pure logic without I/O.
namespace ferryrock::services {

struct ServiceControlSettings {
  control::ControlSettings control;  ///< control.log.node is the member's internal address
  std::string http;                  ///< HTTP address of this member for operators and replicas, "host:port"
  std::vector<NodeName> seeds;       ///< nodes to contact before any member is known
  std::vector<ZoneName> zones;       ///< zones that may be evacuated; empty: the zones of known replicas
  /// Number of members whose disks may be lost at once without loss of acknowledged changes.
  std::uint32_t tolerated_losses = 1;
  Duration replica_heartbeat = std::chrono::milliseconds(1000);
  /// A router without contact for longer than this is out of contact: leave notices don't wait for it.
  Duration router_contact_timeout = std::chrono::milliseconds(3000);
  /// A new leader sends no orders to replicas until this time has passed, as an earlier leader may still send
  /// some.
  Duration order_lease = std::chrono::milliseconds(3000);
  PlacementSwitches placement;
  /// Publish the load of replicas over all routers to the routers.
  bool publishes_loads = false;
  tenancy::QuotaTolerance quota_tolerance;
  balance::RetryBudgetSettings retries;
  /// A replica without a report for longer than this is removed.
  Duration replica_silence = std::chrono::seconds(6);
};

/// Number of a request from the shell, which the response repeats.
using ControlRequestNumber = Number<struct QuestionNumberTag>;

/// Effect: the response to a request; each request gets exactly one.
struct AnswerEffect {
  ControlRequestNumber request_number;
  ResultCode code = ResultCode::Ok;
  std::string detail;
  std::string body;    ///< for readCatalog(): the catalog exactly as the operator submitted it
  std::string leader;  ///< HTTP address of the leader; empty: unknown
  /// For replica reports: HTTP address of the member that gets the next reports; empty: unchanged.
  std::string next_report_address;
};

/// Effect: store the origins on disk for StreamOriginStore::kRetention. Nothing waits for it.
struct StoreStreamOriginsEffect {
  wire::StreamOrigins origins;
};

using Effect =
    std::variant<wire::SendEffect, consensus::PersistEffect, OrderReplicaEffect, InspectReplicaEffect,
                 ModelUnplacedEffect, AnswerEffect, CatalogRolloutEffect, StoreStreamOriginsEffect>;
using Effects = std::vector<Effect>;

/// State of a member for metrics and status pages.
struct ServiceControlView {
  bool leads = false;
  NodeName leader;
  Term term;
  std::size_t voters = 0;
  CatalogVersion catalog;
  tenancy::QuotaCounts quota;         ///< since this member became leader
  std::size_t limited_tenants = 0;    ///< tenants whose calls need credit before they run
  LimitCounts limits;                 ///< since this member became leader
  std::size_t limited_replicas = 0;   ///< replicas with a call rate limit over all routers together
  std::size_t evacuated_zones = 0;    ///< zones whose replicas get no new calls
  std::size_t quarantined_calls = 0;  ///< calls that aren't sent to replicas, since several crashed on them
  std::size_t suspected_calls = 0;    ///< calls on which replicas crashed, too few for a quarantine
  std::uint64_t trials_granted = 0;   ///< trials of quarantined traits
  std::size_t stream_origins = 0;     ///< streams whose origin this member remembers
  StreamOriginCounts origin_queries;
};

/// Number of replicas and routers that a member knows.
struct FleetView {
  std::size_t replicas = 0;
  std::size_t routers = 0;      ///< routers that callers may be sent to
  std::size_t partitioned = 0;  ///< routers that reach no replica over their own connections
  std::size_t unreachable = 0;  ///< replicas left out of placement, since routers don't reach them
  /// Number of replicas by software version, for each service; "unknown" for those whose version isn't known.
  std::map<ServiceName, std::map<std::string, std::size_t>> versions{};
  friend bool operator==(const FleetView&, const FleetView&) = default;
};

/// A call, or a trait of calls, on which replicas crashed.
struct SuspectedCall {
  wire::CrashRecord record;
  bool quarantined = false;
};

/// A control member. Routers receive a committed catalog from the leader at once, and within 1.5 s from any
/// other member that they have contact with, so a lost connection to the leader delays it no longer. Used by
/// one thread.
class ServiceControl {
 public:
  virtual ~ServiceControl() = default;

  virtual Effects receive(const wire::Envelope& envelope, TimePoint now) = 0;
  virtual Effects tick(TimePoint now) = 0;
  virtual TimePoint nextDeadline() const = 0;
  virtual Effects onPersisted(std::uint64_t sequence, TimePoint now) = 0;

  /// Replaces the catalog. The response is Ok once the catalog, or a higher version, is committed on enough
  /// disks; InvalidCatalog at once; NotLeader with the leader's address; or NoQuorum, which leaves the
  /// outcome unknown.
  virtual Effects replaceCatalog(ControlRequestNumber request_number, wire::ServiceCatalog catalog,
                                 std::string source, TimePoint now) = 0;
  /// Linearizable read of the catalog, from a state that a quorum confirmed after the request. Otherwise the
  /// response is NotLeader, NoQuorum or NoCatalog.
  virtual Effects readCatalog(ControlRequestNumber request_number, TimePoint now) = 0;
  /// Takes the zone's replicas out of use, or returns them to use. Responses as for replaceCatalog(), and
  /// UnknownZone. Routers in contact stop sending new calls there soon after; calls in flight continue.
  virtual Effects evacuateZone(ControlRequestNumber request_number, const ZoneName& zone, bool evacuated,
                               TimePoint now) = 0;
  /// Evacuated zones according to this member's replicated state, which may lag behind the leader's.
  virtual std::vector<ZoneName> evacuatedZones() const = 0;
  /// Applies a replica's report. A heartbeat gets its response at once. A leave notice gets Ok once it binds
  /// every router in contact, or NotBoundEverywhere at its deadline.
  virtual Effects onReport(ControlRequestNumber request_number, const wire::ReplicaReport& report,
                           TimePoint now) = 0;

  virtual Effects onOrderDone(OrderNumber number, OrderOutcome outcome, TimePoint now) = 0;
  virtual Effects onInspected(OrderNumber number, const std::optional<ReplicaState>& state,
                              TimePoint now) = 0;
  /// Calls on which two or more replicas crashed.
  virtual std::vector<SuspectedCall> suspectedCalls(TimePoint now) const = 0;
  /// Releases a call from quarantine on an operator's request: the crashes so far no longer count, at this
  /// member at once and at the other nodes soon after.
  virtual Effects releaseCall(const wire::CallFingerprint& call, TimePoint now) = 0;
  /// Adds origins of streams that an earlier run of this process stored.
  virtual void restoreStreamOrigins(const wire::StreamOrigins& stored, TimePoint now) = 0;
  /// Adds nodes to contact to those that are known already.
  virtual void addSeeds(const std::vector<NodeName>& seeds) = 0;
  /// Begins a planned stop: a leader transfers its leadership to another member, and the leader replaces this
  /// member as a voter if another process can take over its vote.
  virtual Effects beginStop(TimePoint now) = 0;
  /// True once this process may end after beginStop() without weakening the cell: it neither leads nor has a
  /// vote that another process could take over.
  virtual bool mayStop(TimePoint now) const = 0;

  /// Router addresses for callers of a zone, at most `limit`.
  virtual std::vector<std::string> routerAddresses(const ZoneName& zone, std::size_t limit,
                                                   TimePoint now) const = 0;
  /// Nodes that this member keeps connections to.
  virtual std::vector<NodeName> peers() const = 0;
  virtual ServiceControlView view(TimePoint now) const = 0;
  /// Separate from view(), since it scans the routers.
  virtual FleetView fleet(TimePoint now) const = 0;
  /// Use of the retry budgets over all routers; empty unless this member leads. Scans the routers.
  virtual std::vector<RetryBudgetView> retryBudgets(TimePoint now) const = 0;
};

std::unique_ptr<ServiceControl> createServiceControl(const ServiceControlSettings& settings,
                                                     consensus::RecoveredState recovered, Random random,
                                                     TimeSource& time_source);

}  // namespace ferryrock::services
