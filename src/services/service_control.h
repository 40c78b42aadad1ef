#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "control/control_node.h"
#include "services/catalog_spread.h"
#include "services/limit_ledger.h"
#include "services/placement_switches.h"
#include "services/replica_orders.h"
#include "services/replica_registry.h"
#include "services/router_directory.h"
#include "tenancy/quota_ledger.h"

/// One control member of hosted services as logic without input or output.
namespace ferryrock::services {

struct ServiceControlSettings {
  control::ControlSettings control;  ///< control.log.node is the member's internal address
  std::string http;                  ///< where operators and replicas reach this member, "host:port"
  std::vector<NodeName> seeds;       ///< members to ask first
  std::vector<ZoneName> zones;       ///< that may be evacuated; empty: those of known replicas
  /// Members whose disks may be lost at once while nothing that was acknowledged is lost.
  std::uint32_t losses_borne = 1;
  Duration replica_heartbeat = std::chrono::milliseconds(1000);
  /// A router that is silent for longer is out of touch: notices don't wait for it.
  Duration router_out_of_touch = std::chrono::milliseconds(3000);
  /// A new leader orders nothing before an earlier one's orders can have left.
  Duration order_lease = std::chrono::milliseconds(3000);
  PlacementSwitches placement;
  /// Routers are told the load of replicas over all routers.
  bool tells_loads = false;
  tenancy::QuotaTolerance quota_tolerance;
  /// Replicas that don't report for longer are forgotten.
  Duration replica_silence = std::chrono::seconds(6);
};

/// Number of a question that a shell put; it comes back in the answer.
using QuestionNumber = Number<struct QuestionNumberTag>;

/// Effect: the answer to a question; exactly one each.
struct AnswerEffect {
  QuestionNumber question;
  ResultCode code = ResultCode::Ok;
  std::string detail;
  std::string body;    ///< of a read: the catalog in the operator's bytes
  std::string leader;  ///< http address of the leader, empty: unknown
  /// To a replica's report: http address of the member that its next ones are to go to; empty: as before.
  std::string report_next;
};

using Effect = std::variant<wire::SendEffect, consensus::PersistEffect, OrderReplicaEffect,
                            InspectReplicaEffect, ModelUnplacedEffect, AnswerEffect, CatalogSpreadEffect>;
using Effects = std::vector<Effect>;

/// What a member shows of itself.
struct ServiceControlView {
  bool leads = false;
  NodeName leader;
  Term term;
  std::size_t voters = 0;
  CatalogVersion catalog;
  tenancy::QuotaCounts quota;         ///< of this member's leadership
  std::size_t limited_tenants = 0;    ///< credit is asked for before their calls run
  LimitCounts limits;                 ///< of this member's leadership
  std::size_t limited_replicas = 0;   ///< that take so many calls a second from all routers together
  std::size_t evacuated_zones = 0;    ///< whose replicas get no new calls
  std::size_t quarantined_calls = 0;  ///< kept away from replicas, since several ended under them
  std::size_t suspected_calls = 0;    ///< replicas ended under them, too few for a quarantine
};

/// Replicas and routers that a member knows.
struct FleetView {
  std::size_t replicas = 0;
  std::size_t routers = 0;  ///< that callers are sent to
  friend bool operator==(const FleetView&, const FleetView&) = default;
};

/// A call under which replicas ended.
struct SuspectedCall {
  wire::CrashRecord record;
  bool quarantined = false;
};

/// Routers have a committed catalog from the leader at once, and from any other member that they reach within
/// 1.5 s: a lost connection to the leader delays it by no more than that. Used by one thread.
class ServiceControl {
 public:
  virtual ~ServiceControl() = default;

  virtual Effects receive(const wire::Envelope& envelope, TimePoint now) = 0;
  virtual Effects tick(TimePoint now) = 0;
  virtual TimePoint nextDeadline() const = 0;
  virtual Effects onPersisted(std::uint64_t sequence, TimePoint now) = 0;

  /// Answered with Ok once the catalog, or a higher version, is committed on enough disks; with
  /// InvalidCatalog at once; NotLeader names the leader; NoQuorum leaves the outcome open.
  virtual Effects replaceCatalog(QuestionNumber question, wire::ServiceCatalog catalog, std::string source,
                                 TimePoint now) = 0;
  /// Answered from a state that a quorum confirmed after the question; else NotLeader, NoQuorum or NoCatalog.
  virtual Effects readCatalog(QuestionNumber question, TimePoint now) = 0;
  /// Takes the zone's replicas out of use, or gives them back. Answered as replaceCatalog(), and with
  /// UnknownZone. Routers in touch send no new calls there soon after; calls under way go on.
  virtual Effects evacuateZone(QuestionNumber question, const ZoneName& zone, bool evacuated,
                               TimePoint now) = 0;
  /// As far as this member knows.
  virtual std::vector<ZoneName> evacuatedZones() const = 0;
  /// A heartbeat is answered at once. A notice of leaving is answered with Ok once it binds every router in
  /// touch, with NotBoundEverywhere if that takes too long.
  virtual Effects onReport(QuestionNumber question, const wire::ReplicaReport& report, TimePoint now) = 0;

  virtual Effects onOrderDone(OrderNumber number, OrderOutcome outcome, TimePoint now) = 0;
  virtual Effects onInspected(OrderNumber number, const std::optional<ReplicaState>& state,
                              TimePoint now) = 0;
  /// The calls under which two replicas or more ended.
  virtual std::vector<SuspectedCall> suspectedCalls(TimePoint now) const = 0;
  /// An operator lets the call run again: the ends so far count no more, here at once and elsewhere soon.
  virtual Effects releaseCall(const wire::CallFingerprint& call, TimePoint now) = 0;
  /// Fresh addresses to ask, beside those that are known already.
  virtual void addSeeds(const std::vector<NodeName>& seeds) = 0;
  /// Planned stop: another member takes over.
  virtual Effects beginStop(TimePoint now) = 0;

  /// Where callers of a zone may connect.
  virtual std::vector<std::string> routerAddresses(const ZoneName& zone, std::size_t limit,
                                                   TimePoint now) const = 0;
  /// Nodes to keep connections to.
  virtual std::vector<NodeName> peers() const = 0;
  virtual ServiceControlView view(TimePoint now) const = 0;
  /// Counts the routers, unlike view().
  virtual FleetView fleet(TimePoint now) const = 0;
};

std::unique_ptr<ServiceControl> createServiceControl(const ServiceControlSettings& settings,
                                                     consensus::RecoveredState recovered, Random random,
                                                     TimeSource& time_source);

}  // namespace ferryrock::services
