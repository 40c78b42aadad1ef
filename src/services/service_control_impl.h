#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "balance/fleet_load_aggregator.h"
#include "quarantine/crash_ledger.h"
#include "services/cell_membership_manager.h"
#include "services/leave_notices.h"
#include "services/limit_ledger.h"
#include "services/model_demand.h"
#include "services/model_placer.h"
#include "services/proof_requests.h"
#include "services/replica_index.h"
#include "services/report_relay.h"
#include "services/router_tables.h"
#include "services/service_control.h"
#include "services/status_receipts.h"
#include "services/stream_origin_store.h"
#include "services/table_feed.h"
#include "services/update_ledger.h"
#include "services/update_queue.h"

namespace ferryrock::services {

/// ServiceControl on top of a ControlNode. The implementation is split by topic: service_control.cc (entry
/// points, messages, timers), service_control_catalog.cc (replacing and reading the catalog),
/// service_control_zones.cc (evacuations), service_control_replicas.cc (reports and leave notices),
/// service_control_crashes.cc (calls that crash replicas), service_control_subscriptions.cc (subscriptions
/// and rate control in large fleets), service_control_updates.cc (updates for routers),
/// service_control_leader.cc (orders, membership).
class ServiceControlImpl : public ServiceControl {
 public:
  ServiceControlImpl(const ServiceControlSettings& settings, consensus::RecoveredState recovered,
                     Random random, TimeSource& time_source);

  Effects receive(const wire::Envelope& envelope, TimePoint now) override;
  Effects tick(TimePoint now) override;
  TimePoint nextDeadline() const override;
  Effects onPersisted(std::uint64_t sequence, TimePoint now) override;
  Effects replaceCatalog(ControlRequestNumber request_number, wire::ServiceCatalog catalog,
                         std::string source, TimePoint now) override;
  Effects readCatalog(ControlRequestNumber request_number, TimePoint now) override;
  Effects evacuateZone(ControlRequestNumber request_number, const ZoneName& zone, bool evacuated,
                       TimePoint now) override;
  std::vector<ZoneName> evacuatedZones() const override;
  Effects onReport(ControlRequestNumber request_number, const wire::ReplicaReport& report,
                   TimePoint now) override;
  Effects onOrderDone(OrderNumber number, OrderOutcome outcome, TimePoint now) override;
  Effects onInspected(OrderNumber number, const std::optional<ReplicaState>& state, TimePoint now) override;
  std::vector<SuspectedCall> suspectedCalls(TimePoint now) const override;
  Effects releaseCall(const wire::CallFingerprint& call, TimePoint now) override;
  void restoreStreamOrigins(const wire::StreamOrigins& stored, TimePoint now) override {
    stream_origins_.restore(stored, now);
  }
  void addSeeds(const std::vector<NodeName>& seeds) override;
  Effects beginStop(TimePoint now) override;
  bool mayStop(TimePoint now) const override;
  std::vector<std::string> routerAddresses(const ZoneName& zone, std::size_t limit,
                                           TimePoint now) const override;
  std::vector<NodeName> peers() const override;
  ServiceControlView view(TimePoint now) const override;
  FleetView fleet(TimePoint now) const override;
  std::vector<RetryBudgetView> retryBudgets(TimePoint now) const override;

 private:
  // Purposes of proposals and quorum reads.
  struct CatalogProposal {
    ControlRequestNumber request_number;
  };
  struct LeavingProposal {
    ReplicaId replica;
  };
  struct MembershipProposal {};
  struct QuarantineProposal {
    wire::CallFingerprint call;
  };
  /// A trial that counts as spent before the router may use it.
  struct TrialProposal {
    wire::CrashRecord record;
    NodeName router;
  };
  struct EvacuationProposal {
    ControlRequestNumber request_number;
  };
  using ProposalPurpose = std::variant<CatalogProposal, LeavingProposal, MembershipProposal,
                                       QuarantineProposal, TrialProposal, EvacuationProposal>;
  struct CatalogRead {
    ControlRequestNumber request_number;
  };
  /// The requested state is in force already: a catalog at least as new, or the zone's state.
  struct StateInForce {
    ControlRequestNumber request_number;
  };
  struct NoticeRead {};
  using ReadPurpose = std::variant<CatalogRead, StateInForce, NoticeRead>;

  /// A pending response to a catalog replacement or an evacuation that is committed, but not yet on enough
  /// disks.
  struct PendingAcknowledgement {
    ControlRequestNumber request_number;
    TimePoint deadline{};
  };
  /// A leave notice that was forwarded to the leader.
  struct ForwardedNotice {
    ControlRequestNumber request_number;
    TimePoint deadline{};
  };
  /// A write that hasn't been confirmed as synced.
  struct OpenWrite {
    std::uint64_t sequence = 0;
    TimePoint since{};
  };
  /// State of this member's leadership, for one term.
  struct LeaderState {
    LeaderState(Term own_term, const ModelPlacerSettings& placer_settings, ReplicaRegistry& registry,
                const ReplicaIndex& index, const tenancy::QuotaTolerance& quota_tolerance,
                RetryLedger retry_ledger, Duration router_contact_timeout, TimePoint now)
        : term(own_term),
          feed(own_term, registry),
          tables(index),
          placer(placer_settings, registry, demand),
          rollout(router_contact_timeout),
          quotas(quota_tolerance, now),
          retries(std::move(retry_ledger)),
          since(now) {}
    Term term;
    TableFeed feed;                  ///< for routers that get tables of all replicas
    RouterTables tables;             ///< for routers with subscriptions
    bool has_subscriptions = false;  ///< the fleet is too large to send each router all replicas
    ModelDemand demand;
    balance::FleetLoadAggregator loads;
    ModelPlacer placer;
    UpdateLedger updates;
    CatalogRollout rollout;
    StatusReceipts receipts;
    ProofRequests proof_requests;
    tenancy::QuotaLedger quotas;
    RetryLedger retries;
    TimePoint next_quota_contacts{};  ///< next update of `quotas` with the routers out of contact
    LimitLedger limits;
    CatalogVersion quota_version;              ///< version of the catalog whose limits `quotas` applies
    std::map<ZoneName, FeedContext> contexts;  ///< cached, by the zone of the routers
    TimePoint contexts_cleared_at{};           ///< when the cache was last cleared
    TimePoint since;                           ///< start of this leadership
    bool complete = false;                     ///< every replica that is alive has had time to report
    std::uint64_t pushed_changes = 0;          ///< ReplicaRegistry::changes() of the last push
    std::uint64_t pushed_loads = 0;            ///< the placer's loadsBegun() of the last push
    CatalogVersion pushed_version;             ///< catalog version of the last push
    TimePoint next_push{};
    bool push_to_all = false;       ///< pending changes can't wait for the next status of each router
    UpdateQueue urgent_updates;     ///< routers with updates that calls or leave notices wait for
    UpdateQueue regular_updates;    ///< other routers that need an update
    TimePoint next_notice_check{};  ///< next check of leave notices
    TimePoint next_plan{};
    TimePoint last_plan{};  ///< time of the last plan
    bool membership_change_open = false;
    TimePoint next_membership_change{};
    TimePoint last_membership_check{};
  };

  // service_control.cc
  void onMessage(const NodeName& from, const wire::MemberHello& hello, TimePoint now);
  void onMessage(const NodeName& from, const wire::MemberList& list, TimePoint now);
  void onMessage(const NodeName& from, const wire::ReplicaReports& reports, TimePoint now);
  void onMessage(const NodeName& from, const wire::LeaveRequest& request, TimePoint now);
  void onMessage(const NodeName& from, const wire::LeaveReply& reply, TimePoint now);
  void onMessage(const NodeName& from, const wire::CallRouterStatus& status, TimePoint now);
  void onMessage(const NodeName& from, const wire::QuotaUse& use, TimePoint now);
  void onMessage(const NodeName& from, const wire::CrashRecords& records, TimePoint now);
  void onMessage(const NodeName& from, const wire::LimitRequest& request, TimePoint now);
  void onMessage(const NodeName& from, const wire::StreamOrigins& origins, TimePoint now);
  void onMessage(const NodeName& from, const wire::StreamOriginQuery& query, TimePoint now);
  template <class OtherMessage>
  void onMessage(const NodeName& from, const OtherMessage& message, TimePoint now) {
    applyEffects(node_->receive({from, message}, now), now);
  }
  void applyEffects(control::Effects effects, TimePoint now);
  void applyEffect(wire::SendEffect& effect, TimePoint now);
  void applyEffect(consensus::PersistEffect& effect, TimePoint now);
  void applyEffect(const control::ProposalDoneEffect& effect, TimePoint now);
  void applyEffect(const control::ReadDoneEffect& effect, TimePoint now);
  /// Ignores effects on the engines of the settings tree, which hosted services don't use.
  template <class EngineEffect>
  void applyEffect(const EngineEffect&, TimePoint) {}
  void send(const NodeName& to, wire::Message message);
  Duration helloInterval() const;
  void sendHello(TimePoint now);
  bool isMember() const;
  bool hasLeaderContact() const { return node_->leads() || !node_->log().leader().empty(); }
  std::string leaderHttp() const;
  void answer(ControlRequestNumber request_number, ResultCode code, std::string detail = {},
              std::string body = {});
  Effects finish(TimePoint now);
  void updateLeadership(TimePoint now);
  void transferLeadershipIfDiskIsSlow(TimePoint now);
  void endLeadership();
  std::uint64_t propose(ProposalPurpose purpose, wire::Command command, TimePoint now);
  void confirmRead(ReadPurpose purpose, TimePoint now);

  // service_control_catalog.cc
  void onStateChanged(ControlRequestNumber request_number, const wire::CommandResult& result, TimePoint now);
  void onCatalogRead(ControlRequestNumber request_number, bool confirmed);
  void deferAcknowledgement(ControlRequestNumber request_number, TimePoint now);
  void checkAcknowledgements(TimePoint now);
  void offerCatalog(const wire::CallRouterStatus& status, TimePoint now);
  bool onEnoughDisks() const;

  // service_control_zones.cc
  bool isKnownZone(const ZoneName& zone) const;
  /// Applies the evacuated zones of the replicated state to the registry. Every member does this, so that a
  /// new leader excludes replicas of evacuated zones from router tables and from placement at once.
  void applyEvacuations();

  // service_control_replicas.cc
  wire::ReplicaReport withCurrentIncarnation(const wire::ReplicaReport& report_or_notice) const;
  bool isConfigured(const ServiceName& service) const;
  ReportOutcome acceptReport(const wire::ReplicaReport& report, TimePoint now);
  std::string nextReportAddress(const ReplicaId& replica, TimePoint now) const;
  void applyLeaveNotices();
  void closeLatestLeavers();
  /// Closes the replicas of the latest `count` committed leave notices.
  void closeLeavers(std::uint64_t count);
  void flushRelay(TimePoint now);
  void sendReportsToNewLeader(TimePoint now);
  void beginNotice(NoticeOrigin origin, const wire::ReplicaReport& report, TimePoint now);
  void answerNotice(const LeaveNotice& notice, bool bound, std::string detail = {});
  std::string describePendingNotice(const LeaveNotice& notice, TimePoint now) const;
  void checkNotices(TimePoint now);
  void closeForNotice(LeaveNotice& notice);
  bool holdsOrOutOfTouch(const RouterRecord& record, LogIndex revision, TimePoint now) const;
  bool routersHold(const LeaveNotice& notice, TimePoint now) const;
  bool isSubscriberInTouch(const NodeName& router, TimePoint now) const;
  void expireForwarded(TimePoint now);

  // service_control_crashes.cc
  /// Sends all shared crash records to a router whose digest of them differs from this member's.
  void syncCrashRecords(const wire::CallRouterStatus& status, TimePoint now);
  void notifyRouters(const std::vector<wire::CrashRecord>& changed_records, TimePoint now);
  /// Merges the quarantined calls of the replicated state into the crash ledger.
  void mergeStoredQuarantines(TimePoint now);
  /// Proposes log entries for quarantines and releases in the crash ledger, since only the log survives a
  /// crash of all members.
  void storeQuarantines(TimePoint now);
  /// Decides on a router's request to test a quarantined trait. The leader alone grants trials.
  void onTrialRequest(const NodeName& router, const wire::CallFingerprint& trait, TimePoint now);
  /// Called when a trial is committed.
  void grantTrial(const TrialProposal& trial, TimePoint now);

  // service_control_subscriptions.cc
  bool isLargeFleet() const;
  bool hasManyReplicas() const;
  /// Interval at which routers report their status to the leader, and to each other member.
  Duration leaderStatusInterval() const;
  Duration memberStatusInterval() const;
  /// A router without contact for longer than this gets no updates.
  Duration contactTimeout() const;
  bool subscribes(const wire::CallRouterStatus& status) const;
  void beginSubscriptions();
  void applyReplicaChanges();
  bool needsPlan(const wire::CallRouterStatus& status) const;
  void addContacts(wire::MemberHello& hello, const NodeName& node,
                   const std::vector<wire::RouterContact>& contacts) const;
  void applyContacts(const NodeName& from, const wire::MemberHello& hello, TimePoint now);

  // service_control_updates.cc
  void updateRouter(const wire::CallRouterStatus& status, TimePoint now);
  bool needsUpdate(const wire::CallRouterStatus& status, TimePoint now);
  /// Returns the number of replicas that the update lists.
  std::size_t sendUpdate(const wire::CallRouterStatus& status, TimePoint now);
  /// Returns the loads of all replicas if the router is due for them.
  std::optional<std::vector<wire::ReplicaLoad>> loadsFor(const NodeName& router, TimePoint now);
  /// The retry ledger of a leader that begins: what routers used under earlier leaders counts.
  RetryLedger newRetryLedger(TimePoint now) const;
  /// Returns the router's relays if it knows others.
  static std::optional<std::vector<wire::RelayRouter>> relaysFor(const wire::CallRouterStatus& status,
                                                                 const FeedContext& context);
  std::vector<wire::ExpectedModelLoad> expectedLoadsFor(const wire::CallRouterStatus& status, TimePoint now);
  bool awaitsConfirmation(const wire::CallRouterStatus& status) const;
  bool hasPendingChanges() const;
  bool hasQueuedUpdates() const;
  void pushTables(TimePoint now);
  void queueUpdates();
  std::optional<NodeName> takeNextRouter();
  bool isReachable(const RouterRecord& record, TimePoint now) const;

  // service_control_leader.cc
  void runLeaderTasks(TimePoint now);
  void expeditePlan(TimePoint now);
  Duration minPlanInterval() const;
  void planModels(TimePoint now);
  void repairMembership(TimePoint now);
  const FeedContext& feedContext(const ZoneName& zone, TimePoint now);
  std::vector<NodeName> memberNodes() const;
  void reportCatalogRollout(TimePoint now);
  void queueCatalogProofs(TimePoint now);
  void refreshQuotas(TimePoint now);

  ServiceControlSettings settings_;
  NodeName self_;
  bool saw_cell_formed_;  ///< the cell was formed after the start of this process
  std::unique_ptr<control::ControlNode> node_;
  ReplicaRegistry registry_;
  RouterDirectory directory_;
  CellMembershipManager membership_manager_;
  LeaveNotices notices_;
  std::optional<LeaderState> leader_;
  std::set<NodeName> known_nodes_;
  std::map<std::uint64_t, ProposalPurpose> proposals_;
  std::map<std::uint64_t, ReadPurpose> reads_;
  std::set<ReplicaId> leaving_proposed_;
  std::uint64_t applied_leaving_changes_ = 0;  ///< HostedServices::leavingChanges() applied to the registry
  std::vector<PendingAcknowledgement> pending_acknowledgements_;
  CatalogVersion committed_version_;  ///< newest catalog version that is known to be committed
  TimePoint committed_since_{};       ///< when this member learned of it
  std::map<std::uint64_t, ForwardedNotice> forwarded_;
  quarantine::CrashLedger crashes_;
  std::set<wire::CallFingerprint> trials_proposed_;
  std::uint64_t trials_granted_ = 0;
  std::uint64_t merged_quarantine_changes_ =
      0;                                    ///< HostedServices::quarantineChanges() merged into the ledger
  std::uint64_t stored_crash_changes_ = 0;  ///< CrashLedger::changes() processed by storeQuarantines()
  std::set<wire::CallFingerprint> quarantines_proposed_;
  ReplicaIndex index_;
  ReportRelay relay_;
  StreamOriginStore stream_origins_;
  NodeName reported_leader_;  ///< last leader that sendReportsToNewLeader() ran for
  Term reported_term_;        ///< term of that leader
  TimePoint next_hello_;
  TimePoint next_expiry_;
  TimePoint started_at_;               ///< start of this process
  bool stopping_ = false;              ///< beginStop() was called
  bool replaced_ = false;              ///< the leader confirmed that this process isn't a member any more
  std::deque<OpenWrite> open_writes_;  ///< oldest first
  TimePoint next_leadership_transfer_{};
  std::uint64_t next_id_ = 1;
  Effects effects_;
};

}  // namespace ferryrock::services
