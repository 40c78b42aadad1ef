#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/service_types.h"

/// Messages between control members and the routers of calls, see docs/design/platform.md.
namespace ferryrock::wire {

/// Contact data of a router for callers, sent by the leader to the other members.
struct RouterContact {
  NodeName router;
  ZoneName zone;
  std::string address;
  std::uint64_t incarnation = 0;
  bool subscribes = false;  ///< see CallRouterStatus::subscribes
  FERRYROCK_FIELDS(RouterContact, router, zone, address, incarnation, subscribes)
};

/// A router that relays attempts of other routers to replicas.
struct RelayRouter {
  NodeName router;
  ZoneName zone;
  std::string address;  ///< internal address at which it takes such attempts, "host:port"
  FERRYROCK_FIELDS(RelayRouter, router, zone, address)
};

/// Sent periodically by each control process to those that it knows, whether they are members or not. From a
/// process that isn't a member, it is also the request to become one.
struct MemberHello {
  MemberId id;
  NodeName node;        ///< internal address of the sender, "host:port"
  std::string address;  ///< the same address in the transport's format
  std::string http;     ///< address for operators and replicas, "host:port"
  bool has_leader = false;
  /// Digest of the routers last announced by the leader, see contactsDigest().
  std::uint64_t contacts_digest = 0;
  /// Sent by a leader with many routers to a member whose contacts_digest differs.
  std::optional<std::vector<RouterContact>> contacts;
  /// The process is stopping and waits until another member has its vote.
  bool leaving = false;
  FERRYROCK_FIELDS(MemberHello, id, node, address, http, has_leader, contacts_digest, contacts, leaving)

  /// Number of members that the sender's build encodes; 0: not decoded from bytes.
  std::uint32_t encoded_member_count = 0;
  bool supportsContacts() const { return encoded_member_count >= kMembersWithContacts; }
  static constexpr std::uint32_t kMembersWithContacts = 7;
};

/// Response to a MemberHello of a process that isn't a member, and to a router's status: the control
/// processes to contact.
struct MemberList {
  std::vector<NodeName> nodes;
  NodeName leader;  ///< empty: unknown
  /// Interval at which the member requests statuses from the router; 0: the default.
  std::int64_t status_interval_ms = 0;
  bool keeps_stream_origins = false;  ///< the member's build supports StreamOrigins and StreamOriginQuery
  FERRYROCK_FIELDS(MemberList, nodes, leader, status_interval_ms, keeps_stream_origins)
};

/// A report that is unchanged from the previous one.
struct UnchangedReport {
  ReplicaId id;
  std::uint64_t sequence = 0;
  FERRYROCK_FIELDS(UnchangedReport, id, sequence)
};

/// Reports that a control member received from replicas, forwarded to the other members.
struct ReplicaReports {
  std::vector<ReplicaReport> reports;
  std::vector<UnchangedReport> alive;
  FERRYROCK_FIELDS(ReplicaReports, reports, alive)
};

/// Sent by a member that received a replica's leave notice: requests that the leader makes it binding.
struct LeaveRequest {
  std::uint64_t number = 0;  ///< request number, unique at the requesting member
  ReplicaReport report;
  FERRYROCK_FIELDS(LeaveRequest, number, report)
};

/// bound: every router has confirmed that the replica gets no new calls.
struct LeaveReply {
  std::uint64_t number = 0;
  bool bound = false;
  FERRYROCK_FIELDS(LeaveReply, number, bound)
};

/// Calls of one model, or of one of its adapters, at one router.
struct ModelCallCounts {
  ServiceName service;
  ModelName model;
  std::string adapter;        ///< empty: the model alone
  std::uint32_t waiting = 0;  ///< calls for which no replica has the model loaded
  std::uint32_t running = 0;
  std::uint32_t arrivals = 0;  ///< since the last status
  FERRYROCK_FIELDS(ModelCallCounts, service, model, adapter, waiting, running, arrivals)
};

/// A model, or an adapter of it, that calls of a router used recently.
struct ModelInterest {
  ServiceName service;
  ModelName model;
  std::string adapter;  ///< empty: the model alone
  FERRYROCK_FIELDS(ModelInterest, service, model, adapter)
};

/// Load that one router has on one replica, for the aggregate over all routers.
struct LocalReplicaLoad {
  std::uint32_t replica = 0;                 ///< balance::loadKey() of its id
  std::uint32_t streams = 0;                 ///< attempts in flight
  std::uint32_t pending_prefill_tokens = 0;  ///< prompt tokens of attempts without a first event so far
  std::uint32_t sent_tokens = 0;             ///< prompt tokens sent to the replica since the last status
  bool reached = false;                      ///< the replica has sent something since the last status
  FERRYROCK_FIELDS(LocalReplicaLoad, replica, streams, pending_prefill_tokens, sent_tokens, reached)
};

/// The shortest gap between two events of a model's streams since the last status.
struct ObservedEventGap {
  std::uint32_t replica = 0;  ///< balance::loadKey() of its id
  std::uint32_t model = 0;    ///< balance::loadKey() of its name
  std::uint32_t gap_us = 0;
  FERRYROCK_FIELDS(ObservedEventGap, replica, model, gap_us)
};

/// Load that all routers together have on one replica.
struct ReplicaLoad {
  std::uint32_t replica = 0;  ///< balance::loadKey() of its id
  std::uint32_t streams = 0;
  std::uint32_t pending_prefill_tokens = 0;
  std::uint32_t tokens_per_s = 0;  ///< rate of the prompt tokens sent to the replica recently
  /// Event gap relative to that of the fastest replica; 0: unknown.
  std::uint32_t slowness_percent = 0;
  FERRYROCK_FIELDS(ReplicaLoad, replica, streams, pending_prefill_tokens, tokens_per_s, slowness_percent)
};

/// Use of the retry budget of one service by one router process, see calls::RetryBudget.
struct RetryUse {
  ServiceName service;
  std::uint32_t calls = 0;     ///< calls that arrived within the window
  std::uint64_t received = 0;  ///< credits that leaders granted since the process started
  std::uint64_t used = 0;      ///< part of `received` that retries were charged to
  std::uint64_t dropped = 0;   ///< part of `received` that lapsed or was returned unused
  /// Retries sent in each of the latest seconds, latest first, whatever they were charged to.
  std::vector<std::uint32_t> recent;
  std::uint32_t waiting = 0;  ///< retries that wait for a credit
  FERRYROCK_FIELDS(RetryUse, service, calls, received, used, dropped, recent, waiting)
};

/// Credits of one router under the retry budget of one service.
struct RetryGrant {
  ServiceName service;
  std::uint64_t total = 0;  ///< RetryUse::received from now on; never lower than before
  std::uint32_t keep = 0;   ///< credits that the router may keep; it returns further ones
  FERRYROCK_FIELDS(RetryGrant, service, total, keep)
};

/// Leased credits of one router under the retry budgets.
struct RetryCredits {
  std::uint64_t incarnation = 0;      ///< incarnation of the router
  std::uint64_t status_sequence = 0;  ///< the status that the credits answer
  std::int64_t lease_ms = 0;          ///< how long credits may be used, from the time at which it was sent
  std::vector<RetryGrant> grants;
  FERRYROCK_FIELDS(RetryCredits, incarnation, status_sequence, lease_ms, grants)
};

/// Status of a call router: its contact data, what it has in force and the demand of its calls.
struct CallRouterStatus {
  NodeName router;
  ZoneName zone;
  std::string address;            ///< address for callers, "host:port"
  std::uint64_t incarnation = 0;  ///< random number chosen at the router's start
  std::uint64_t sequence = 0;
  bool accepting = false;  ///< callers may be directed to this router
  CatalogVersion catalog;  ///< version in force
  LogIndex revision;       ///< revision of the router's replica table
  std::vector<ModelCallCounts> model_calls;
  std::uint64_t directory = 0;         ///< directoryDigest() of the router's directory
  bool missed_update = false;          ///< an update arrived whose base revision the router doesn't have
  std::vector<ReplicaId> unreachable;  ///< replicas to which connections currently fail
  /// The proof of the router's catalog is about to expire, see ServiceUpdate::proved.
  bool needs_catalog_proof = false;
  /// Digest of the router's shared crash records, see CrashRecords.
  std::uint64_t crash_digest = 0;
  std::vector<LocalReplicaLoad> local_loads;  ///< for the leader; replicas without load aren't listed
  std::vector<ObservedEventGap> event_gaps;   ///< for the leader
  /// The router accepts tables that list only replicas that its calls may need.
  bool subscribes = false;
  std::uint64_t table = 0;               ///< ServiceUpdate::table of the router's table
  std::vector<ModelInterest> interests;  ///< for the leader
  /// Address at which the router relays attempts of others, "host:port"; empty: it doesn't.
  std::string relay_address;
  bool partitioned = false;          ///< the router reaches no replica over its own connections
  std::uint64_t relays = 0;          ///< relaysDigest() of the relays that it knows
  std::vector<RetryUse> retry_uses;  ///< for the leader; services without calls and retries aren't listed
  std::int64_t alive_ms = 0;         ///< time since the process started
  FERRYROCK_FIELDS(CallRouterStatus, router, zone, address, incarnation, sequence, accepting, catalog,
                   revision, model_calls, directory, missed_update, unreachable, needs_catalog_proof,
                   crash_digest, local_loads, event_gaps, subscribes, table, interests, relay_address,
                   partitioned, relays, retry_uses, alive_ms)

  /// Number of members that the sender's build encodes; 0: not decoded from bytes.
  std::uint32_t encoded_member_count = 0;
  /// Routers of builds without `uses` and `paces` treat a replica's id as its name.
  bool supportsIncarnationIds() const {
    return encoded_member_count == 0 || encoded_member_count >= kMembersWithLoads;
  }
  /// Routers of builds without `retry_uses` divide the retry budgets among themselves.
  bool takesRetryCredits() const {
    return encoded_member_count == 0 || encoded_member_count >= kMembersWithRetryUses;
  }
  static constexpr std::uint32_t kMembersWithLoads = 16;
  static constexpr std::uint32_t kMembersWithRetryUses = 23;
};

/// A replica as routers need it.
struct RoutedReplica {
  ReplicaId id;
  ServiceName service;
  std::string address;
  ZoneName zone;
  std::uint32_t slots = 1;
  bool accepting = true;  ///< false: the replica is leaving and gets no new calls
  std::int64_t slow_start_ms = 0;
  std::vector<LoadedModel> held;
  /// Limit on the calls per second that the replica accepts from all routers together, as received by one of
  /// them; credit must be requested before a call is sent to it. nullopt: no limit is known.
  std::optional<double> calls_per_second;
  bool limit_ended = false;            ///< the limit known to this leader no longer applies
  std::optional<std::string> version;  ///< see ReplicaReport::version
  FERRYROCK_FIELDS(RoutedReplica, id, service, address, zone, slots, accepting, slow_start_ms, held,
                   calls_per_second, limit_ended, version)
};

/// A model that is being loaded or will be soon.
struct ExpectedModelLoad {
  ServiceName service;
  ModelName model;
  std::int64_t ready_in_ms = 0;  ///< estimate at the time of sending
  FERRYROCK_FIELDS(ExpectedModelLoad, service, model, ready_in_ms)
};

/// Identifies a router status that the leader received before a majority of the members confirmed that they
/// still followed it: when the status was sent, no version above the one in this message had been
/// acknowledged.
struct ProvedStatus {
  std::uint64_t incarnation = 0;  ///< incarnation of the router; 0: nothing is proven
  std::uint64_t sequence = 0;
  FERRYROCK_FIELDS(ProvedStatus, incarnation, sequence)
};

/// Sent by the leader: the changes of the replica table since base, or the whole table if base is 0.
/// Revisions carry the leader's term in the upper bits, so that a router never returns to an earlier table.
struct ServiceUpdate {
  LogIndex base;
  LogIndex revision;
  CatalogVersion version;
  /// Set if the router has an older version; without the models of engines, which routers don't need.
  std::optional<ServiceCatalog> catalog;
  std::vector<RoutedReplica> replicas;
  std::vector<ReplicaId> removed;
  bool complete = false;      ///< replicas that the whole table doesn't list are gone
  std::uint32_t routers = 1;  ///< number of routers that callers may be sent to
  std::vector<NodeName> members;
  /// Addresses for callers; set if the router has another directory.
  std::optional<std::vector<std::string>> directory;
  /// Expected models, of those that the router's calls wait for.
  std::vector<ExpectedModelLoad> coming;
  /// A replica's leave notice waits until the router confirms this revision.
  bool confirm = false;
  ProvedStatus proved;
  /// Tenants whose calls must request credit before they run.
  std::vector<TenantName> limited_tenants;
  /// Loads of all replicas that serve calls; sent from time to time.
  std::optional<std::vector<ReplicaLoad>> loads;
  /// Not 0: the router's table lists only replicas that its calls may need, and this number identifies its
  /// content. If base is 0, the update lists the whole table; otherwise the router is expected to have it.
  std::uint64_t table = 0;
  std::int64_t status_interval_ms = 0;  ///< interval of the router's statuses; 0: the default
  bool grants_limit_credit = false;     ///< the leader's build supports LimitRequest
  /// The leader's build confirms full reports of quota usage, see QuotaAnswer::report_sequence.
  bool confirms_quota_reports = false;
  /// Routers through which the receiver may reach replicas that it can't reach itself; set if it knows
  /// others.
  std::optional<std::vector<RelayRouter>> relays;
  std::optional<RetryCredits> retry_credits;  ///< nullopt: the leader's build grants none
  bool keeps_stream_origins = false;          ///< see MemberList::keeps_stream_origins
  FERRYROCK_FIELDS(ServiceUpdate, base, revision, version, catalog, replicas, removed, complete, routers,
                   members, directory, coming, confirm, proved, limited_tenants, loads, table,
                   status_interval_ms, grants_limit_credit, confirms_quota_reports, relays, retry_credits,
                   keeps_stream_origins)

  /// Number of members that the sender's build encodes; 0: not decoded from bytes.
  std::uint32_t encoded_member_count = 0;
  /// Leaders of builds without `loads` can read QuotaUse only in its legacy layout.
  bool supportsQuotaHistories() const {
    return encoded_member_count == 0 || encoded_member_count >= kMembersWithLoads;
  }
  static constexpr std::uint32_t kMembersWithLoads = 15;
};

/// Sent by a member that isn't the leader, or can't be sure to be, to a router with an older version. Any
/// member may send it, because a committed catalog is never revoked.
struct CatalogUpdate {
  ServiceCatalog catalog;  ///< without the models of engines, which routers don't need
  FERRYROCK_FIELDS(CatalogUpdate, catalog)
};

/// Usage of a tenant's calls at one router since the router's start, less refunds. As all amounts of quotas,
/// in the unit of the tenant's quota.
struct QuotaUsageTotal {
  TenantName tenant;
  std::int64_t total = 0;
  FERRYROCK_FIELDS(QuotaUsageTotal, tenant, total)
};

/// Usage of a tenant's calls at one router in each of the latest seconds, latest first.
struct QuotaHistory {
  TenantName tenant;
  std::vector<std::int64_t> amounts;
  FERRYROCK_FIELDS(QuotaHistory, tenant, amounts)
};

/// Request for quota credit by a waiting call.
struct QuotaCreditRequest {
  std::uint64_t number = 0;  ///< unique at the router
  TenantName tenant;
  std::int64_t amount = 0;
  FERRYROCK_FIELDS(QuotaCreditRequest, number, tenant, amount)
};

/// Sent by a router to the leader. Usage is sent as totals rather than amounts, so that a message that is
/// lost or duplicated has no effect.
struct QuotaUse {
  NodeName router;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool whole = false;                   ///< all totals are listed: the first message to this leader
  std::vector<QuotaHistory> histories;  ///< set if whole
  std::int64_t history_ms = 0;          ///< time that the histories cover
  std::vector<QuotaUsageTotal> spent;
  std::vector<QuotaCreditRequest> asks;
  FERRYROCK_FIELDS(QuotaUse, router, incarnation, sequence, whole, histories, history_ms, spent, asks)

  bool legacy_layout = false;  ///< encoded by, or for, a build without histories
  auto legacyFields() { return std::tie(router, incarnation, sequence, whole, spent, asks); }
  auto legacyFields() const { return std::tie(router, incarnation, sequence, whole, spent, asks); }
};

/// The leader's decision on a QuotaCreditRequest. Granted credit is already charged.
struct QuotaDecision {
  std::uint64_t number = 0;
  bool granted = false;
  std::int64_t retry_after_ms = 0;  ///< time until there may be credit again
  FERRYROCK_FIELDS(QuotaDecision, number, granted, retry_after_ms)
};

struct QuotaAnswer {
  std::uint64_t incarnation = 0;  ///< incarnation of the requesting router
  std::vector<QuotaDecision> decisions;
  /// QuotaUse::sequence of the last whole message that the leader has applied; 0: it has none of this
  /// incarnation.
  std::uint64_t report_sequence = 0;
  FERRYROCK_FIELDS(QuotaAnswer, incarnation, decisions, report_sequence)
};

/// Minimum rate, in calls per second, at which calls are sent to a replica with a lower limit or a limit of
/// 0: without any call, no router would learn that the limit has been raised.
inline constexpr double kMinLimitRate = 0.1;

/// Limit on the calls per second from all routers together that a replica announced in an answer to a router.
struct ObservedLimit {
  ReplicaId replica;
  std::optional<double> calls_per_second;  ///< nullopt: the answer had no limit
  /// Time since the answer arrived; for an answer without a limit, time since the answered call was sent.
  std::int64_t age_ms = 0;
  FERRYROCK_FIELDS(ObservedLimit, replica, calls_per_second, age_ms)
};

/// Request for credit under a replica's limit, either for a waiting call or for use by any call (wait_ms =
/// 0).
struct LimitCreditRequest {
  std::uint64_t number = 0;  ///< unique at the router
  ReplicaId replica;
  std::int64_t wait_ms = 0;     ///< longest time that the call can wait
  double calls_per_second = 0;  ///< the limit known to the router
  std::int64_t age_ms = 0;      ///< time since the router last received this limit
  FERRYROCK_FIELDS(LimitCreditRequest, number, replica, wait_ms, calls_per_second, age_ms)
};

/// Sent by a router to a leader whose updates have grants_limit_credit set.
struct LimitRequest {
  NodeName router;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<ObservedLimit> heard;
  std::vector<LimitCreditRequest> asks;
  /// One entry for each granted call that was certainly not sent.
  std::vector<ReplicaId> returned;
  FERRYROCK_FIELDS(LimitRequest, router, incarnation, sequence, heard, asks, returned)
};

/// The leader's decision on a LimitCreditRequest.
struct LimitDecision {
  std::uint64_t number = 0;
  bool granted = false;
  bool unlimited = false;  ///< the replica no longer has a limit
  /// Time until the credit may be used; if refused, until there may be credit.
  std::int64_t wait_ms = 0;
  double calls_per_second = 0;  ///< the limit known to the leader
  FERRYROCK_FIELDS(LimitDecision, number, granted, unlimited, wait_ms, calls_per_second)
};

struct LimitReply {
  std::uint64_t incarnation = 0;  ///< incarnation of the requesting router
  std::vector<LimitDecision> decisions;
  FERRYROCK_FIELDS(LimitReply, incarnation, decisions)
};

/// Sent by a router to all members as soon as it learns of a crash, or of an answer that refutes earlier
/// ones, and between a router and a member whose digests differ. Sent by the leader to all routers as soon as
/// a second replica has crashed under a call.
struct CrashRecords {
  std::vector<CrashRecord> records;
  bool shares_all = false;  ///< all shared records of the sender are listed
  /// From a router: quarantined traits for which it has a call that could test them.
  std::vector<CallFingerprint> trial_requests{};
  /// From the leader: traits that the router may test with one call each.
  std::vector<CallFingerprint> trial_grants{};
  FERRYROCK_FIELDS(CrashRecords, records, shares_all, trial_requests, trial_grants)
};

/// What a stream began at. It never changes: once a caller has an event of the stream, the rest may come only
/// from replicas of the same service and software version.
struct StreamOrigin {
  RequestId stream;  ///< ID of the call that brought the first event
  ServiceName service;
  std::optional<std::string> version;  ///< see ReplicaReport::version
  ReplicaId replica;
  FERRYROCK_FIELDS(StreamOrigin, stream, service, version, replica)
};

/// Sent by a router to control members for each resumable stream that begins, and again while it runs.
struct StreamOrigins {
  std::vector<StreamOrigin> origins;
  FERRYROCK_FIELDS(StreamOrigins, origins)
};

/// Sent by a router to control members: what did the stream begin at?
struct StreamOriginQuery {
  RequestId stream;
  FERRYROCK_FIELDS(StreamOriginQuery, stream)
};

struct StreamOriginReply {
  RequestId stream;
  std::optional<StreamOrigin> origin;  ///< nullopt: the member doesn't know the stream
  FERRYROCK_FIELDS(StreamOriginReply, stream, origin)
};

/// Hash of the addresses in their order; 0 for none.
std::uint64_t directoryDigest(const std::vector<std::string>& addresses);
/// Hash of the contacts in their order; 0 for none.
std::uint64_t contactsDigest(const std::vector<RouterContact>& contacts);
/// Hash of the relays in their order; 0 for none.
std::uint64_t relaysDigest(const std::vector<RelayRouter>& relays);

}  // namespace ferryrock::wire
