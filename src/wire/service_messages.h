#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/service_types.h"

/// Messages between control members and the routers of calls, see docs/design/platform.md.
namespace ferryrock::wire {

/// Where callers may connect, as a leader tells the other members.
struct RouterContact {
  NodeName router;
  ZoneName zone;
  std::string address;
  std::uint64_t incarnation = 0;
  bool subscribes = false;  ///< as CallRouterStatus::subscribes
  FERRYROCK_FIELDS(RouterContact, router, zone, address, incarnation, subscribes)
};

/// Sent regularly by each control process to those that it knows, member or not. A process that isn't a
/// member asks in this way to become one.
struct MemberHello {
  MemberId id;
  NodeName node;        ///< its internal address, "host:port"
  std::string address;  ///< the same, as transports take it
  std::string http;     ///< where operators and replicas reach it, "host:port"
  bool has_leader = false;
  std::uint64_t contacts_digest = 0;  ///< of the routers that the leader told last, see contactsDigest()
  /// From the leader of many routers, to a member that holds others.
  std::optional<std::vector<RouterContact>> contacts;
  FERRYROCK_FIELDS(MemberHello, id, node, address, http, has_leader, contacts_digest, contacts)

  std::uint32_t told_members = 0;  ///< that the member's build knows; 0: not read from bytes
  bool readsContacts() const { return told_members >= kMembersWithContacts; }
  static constexpr std::uint32_t kMembersWithContacts = 7;
};

/// Answer to a hello of a process that isn't a member, and to a router's status: whom to ask.
struct MemberList {
  std::vector<NodeName> nodes;
  NodeName leader;  ///< empty: unknown
  /// How often the member wants to hear of the router; 0: as often as by default.
  std::int64_t status_interval_ms = 0;
  FERRYROCK_FIELDS(MemberList, nodes, leader, status_interval_ms)
};

/// A report that says what the one before said.
struct ReplicaAlive {
  ReplicaId id;
  std::uint64_t sequence = 0;
  FERRYROCK_FIELDS(ReplicaAlive, id, sequence)
};

/// Reports that a control member got from replicas, told to the other members.
struct ReplicaReports {
  std::vector<ReplicaReport> reports;
  std::vector<ReplicaAlive> alive;
  FERRYROCK_FIELDS(ReplicaReports, reports, alive)
};

/// A member got a replica's notice that it leaves and asks the leader to make it binding.
struct LeaveRequest {
  std::uint64_t number = 0;  ///< the asking member's
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
struct ModelWant {
  ServiceName service;
  ModelName model;
  std::string adapter;        ///< empty: the model alone
  std::uint32_t waiting = 0;  ///< without a replica that holds it
  std::uint32_t running = 0;
  std::uint32_t arrivals = 0;  ///< since the last status
  FERRYROCK_FIELDS(ModelWant, service, model, adapter, waiting, running, arrivals)
};

/// A model that a router's calls used of late, or an adapter of it.
struct ModelInterest {
  ServiceName service;
  ModelName model;
  std::string adapter;  ///< empty: the model alone
  FERRYROCK_FIELDS(ModelInterest, service, model, adapter)
};

/// What a router has at one replica, for the sums of all routers.
struct ReplicaUse {
  std::uint32_t replica = 0;        ///< balance::loadKey() of its id
  std::uint32_t streams = 0;        ///< attempts under way
  std::uint32_t unread_tokens = 0;  ///< of prompts that show no event yet
  std::uint32_t sent_tokens = 0;    ///< of prompts sent there since the last status
  FERRYROCK_FIELDS(ReplicaUse, replica, streams, unread_tokens, sent_tokens)
};

/// The shortest pause between two events of a model's streams since the last status.
struct ObservedPace {
  std::uint32_t replica = 0;  ///< balance::loadKey() of its id
  std::uint32_t model = 0;    ///< balance::loadKey() of its name
  std::uint32_t pause_us = 0;
  FERRYROCK_FIELDS(ObservedPace, replica, model, pause_us)
};

/// What all routers together have at one replica.
struct ReplicaLoad {
  std::uint32_t replica = 0;  ///< balance::loadKey() of its id
  std::uint32_t streams = 0;
  std::uint32_t unread_tokens = 0;
  std::uint32_t tokens_per_s = 0;      ///< of prompts sent there lately
  std::uint32_t slowness_percent = 0;  ///< its pace against the fastest replica's; 0: not known
  FERRYROCK_FIELDS(ReplicaLoad, replica, streams, unread_tokens, tokens_per_s, slowness_percent)
};

/// A router of calls: where callers reach it, what it has in force and what its calls want.
struct CallRouterStatus {
  NodeName router;
  ZoneName zone;
  std::string address;            ///< where callers connect, "host:port"
  std::uint64_t incarnation = 0;  ///< drawn at its start
  std::uint64_t sequence = 0;
  bool accepting = false;  ///< callers may be sent there
  CatalogVersion catalog;  ///< in force
  LogIndex revision;       ///< of its replica table
  std::vector<ModelWant> wants;
  std::uint64_t directory = 0;           ///< directoryDigest() of the directory that it holds
  bool missed_update = false;            ///< an update came that builds on one that didn't
  std::vector<ReplicaId> unreachable;    ///< replicas to which no connection comes up just now
  bool wants_proof = false;              ///< it can't prove its catalog for long, see ServiceUpdate
  std::uint64_t crash_digest = 0;        ///< of the crash records that it shares, see CrashRecords
  std::vector<ReplicaUse> uses;          ///< for the leader; replicas with nothing on them aren't listed
  std::vector<ObservedPace> paces;       ///< for the leader
  bool subscribes = false;               ///< it takes tables that list only replicas that its calls may need
  std::uint64_t table = 0;               ///< ServiceUpdate::table of the table that it holds
  std::vector<ModelInterest> interests;  ///< for the leader
  FERRYROCK_FIELDS(CallRouterStatus, router, zone, address, incarnation, sequence, accepting, catalog,
                   revision, wants, directory, missed_update, unreachable, wants_proof, crash_digest, uses,
                   paces, subscribes, table, interests)

  std::uint32_t told_members = 0;  ///< that the router's build knows; 0: not read from bytes
  /// Routers of builds before `uses` and `paces` take the id of a replica for its name.
  bool knowsLives() const { return told_members == 0 || told_members >= kMembersWithLoads; }
  static constexpr std::uint32_t kMembersWithLoads = 16;
};

/// A replica as routers need it.
struct RoutedReplica {
  ReplicaId id;
  ServiceName service;
  std::string address;
  ZoneName zone;
  std::uint32_t slots = 1;
  bool accepting = true;  ///< false: it leaves and gets no new calls
  std::int64_t slow_start_ms = 0;
  std::vector<HeldModel> held;
  /// That it takes from all routers together, as one of them heard; credit is asked for before a call is sent
  /// there. nullopt: no limit is known.
  std::optional<double> calls_per_second;
  bool limit_ended = false;  ///< this leader knew of a limit, and it has ended
  FERRYROCK_FIELDS(RoutedReplica, id, service, address, zone, slots, accepting, slow_start_ms, held,
                   calls_per_second, limit_ended)
};

/// A model that is being loaded, or soon will be.
struct ComingModel {
  ServiceName service;
  ModelName model;
  std::int64_t ready_in_ms = 0;  ///< as expected when the message was sent
  FERRYROCK_FIELDS(ComingModel, service, model, ready_in_ms)
};

/// A status of a router that a leader got before a majority of the members still followed it: no version
/// above the one that comes with this had been acknowledged when the status left.
struct ProvedStatus {
  std::uint64_t incarnation = 0;  ///< of the router; 0: nothing is proved
  std::uint64_t sequence = 0;
  FERRYROCK_FIELDS(ProvedStatus, incarnation, sequence)
};

/// From the leader. Changes of the replica table after base, or the whole table if base is 0. Revisions carry
/// the leader's term in the upper bits, so that a router never goes back.
struct ServiceUpdate {
  LogIndex base;
  LogIndex revision;
  CatalogVersion version;
  /// Given when the router holds an older version; without the models of engines, which routers don't need.
  std::optional<ServiceCatalog> catalog;
  std::vector<RoutedReplica> replicas;
  std::vector<ReplicaId> removed;
  bool complete = false;      ///< replicas that a whole table doesn't list are gone
  std::uint32_t routers = 1;  ///< that share retry budgets
  std::vector<NodeName> members;
  /// Where callers may connect; given when the router holds another directory.
  std::optional<std::vector<std::string>> directory;
  std::vector<ComingModel> coming;  ///< of the models that the router's calls wait for
  bool confirm = false;             ///< a notice waits until the router tells that it holds the revision
  ProvedStatus proved;
  std::vector<TenantName> limited_tenants;  ///< credit is asked for before their calls run
  /// All replicas that serve something; told now and then.
  std::optional<std::vector<ReplicaLoad>> loads;
  /// Not 0: the router's table lists only replicas that its calls may need, and this tells its content. It is
  /// listed whole if base is 0; else the router is taken to hold it.
  std::uint64_t table = 0;
  std::int64_t status_interval_ms = 0;  ///< how often the leader wants to hear; 0: as often as by default
  bool grants_limits = false;           ///< the leader's build answers a LimitRequest
  FERRYROCK_FIELDS(ServiceUpdate, base, revision, version, catalog, replicas, removed, complete, routers,
                   members, directory, coming, confirm, proved, limited_tenants, loads, table,
                   status_interval_ms, grants_limits)

  std::uint32_t told_members = 0;  ///< that the leader's build knows; 0: not read from bytes
  /// Leaders of builds before `loads` read QuotaUse in its former layout alone.
  bool readsQuotaHistories() const { return told_members == 0 || told_members >= kMembersWithLoads; }
  static constexpr std::uint32_t kMembersWithLoads = 15;
};

/// From a member that doesn't lead, or can't be sure that it does, to a router that holds an older version.
/// What is committed is never taken back, so that any member may tell it.
struct CatalogUpdate {
  ServiceCatalog catalog;  ///< without the models of engines, which routers don't need
  FERRYROCK_FIELDS(CatalogUpdate, catalog)
};

/// What calls of a tenant have used at one router since its start, less what was given back. In the unit of
/// the tenant's quota, as all amounts here.
struct QuotaSpent {
  TenantName tenant;
  std::int64_t total = 0;
  FERRYROCK_FIELDS(QuotaSpent, tenant, total)
};

/// What calls of a tenant used at one router in the seconds up to now, the latest first.
struct QuotaHistory {
  TenantName tenant;
  std::vector<std::int64_t> amounts;
  FERRYROCK_FIELDS(QuotaHistory, tenant, amounts)
};

/// A call waits for credit.
struct QuotaAsk {
  std::uint64_t number = 0;  ///< the router's
  TenantName tenant;
  std::int64_t amount = 0;
  FERRYROCK_FIELDS(QuotaAsk, number, tenant, amount)
};

/// From a router to the leader. Totals rather than amounts, so that a message that is lost or comes twice
/// changes nothing.
struct QuotaUse {
  NodeName router;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool whole = false;                   ///< every total is listed: the first message to this leader
  std::vector<QuotaHistory> histories;  ///< in a whole message
  std::int64_t history_ms = 0;          ///< how far back these reach
  std::vector<QuotaSpent> spent;
  std::vector<QuotaAsk> asks;
  FERRYROCK_FIELDS(QuotaUse, router, incarnation, sequence, whole, histories, history_ms, spent, asks)

  bool former_layout = false;  ///< from, or for, a build that knows no histories
  auto formerFields() { return std::tie(router, incarnation, sequence, whole, spent, asks); }
  auto formerFields() const { return std::tie(router, incarnation, sequence, whole, spent, asks); }
};

/// The leader's decision on a QuotaAsk. What is granted is charged already.
struct QuotaDecision {
  std::uint64_t number = 0;
  bool granted = false;
  std::int64_t retry_after_ms = 0;  ///< until there may be credit again
  FERRYROCK_FIELDS(QuotaDecision, number, granted, retry_after_ms)
};

struct QuotaAnswer {
  std::uint64_t incarnation = 0;  ///< of the router that asked
  std::vector<QuotaDecision> decisions;
  FERRYROCK_FIELDS(QuotaAnswer, incarnation, decisions)
};

/// Calls a second that a replica gets which takes fewer, or none: without any call nobody would hear that it
/// takes more again.
inline constexpr double kLeastLimitRate = 0.1;

/// What a replica said, in an answer to a router, of the calls a second that it takes from all routers
/// together.
struct HeardLimit {
  ReplicaId replica;
  std::optional<double> calls_per_second;  ///< nullopt: it named no limit
  /// Since the answer came; where it named none, since the answered call left.
  std::int64_t age_ms = 0;
  FERRYROCK_FIELDS(HeardLimit, replica, calls_per_second, age_ms)
};

/// A call waits for credit under a replica's limit, or any call may use it (a wait of 0).
struct LimitAsk {
  std::uint64_t number = 0;  ///< the router's
  ReplicaId replica;
  std::int64_t wait_ms = 0;     ///< that the call can wait
  double calls_per_second = 0;  ///< as the router knows the limit, and
  std::int64_t age_ms = 0;      ///< since it heard of it last
  FERRYROCK_FIELDS(LimitAsk, number, replica, wait_ms, calls_per_second, age_ms)
};

/// From a router to a leader whose updates say that it grants limits.
struct LimitRequest {
  NodeName router;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<HeardLimit> heard;
  std::vector<LimitAsk> asks;
  std::vector<ReplicaId> returned;  ///< one for each granted call that certainly wasn't sent
  FERRYROCK_FIELDS(LimitRequest, router, incarnation, sequence, heard, asks, returned)
};

/// The leader's decision on a LimitAsk.
struct LimitDecision {
  std::uint64_t number = 0;
  bool granted = false;
  bool unlimited = false;       ///< the replica has no limit any more
  std::int64_t wait_ms = 0;     ///< until the credit may be used; if refused, until there may be one
  double calls_per_second = 0;  ///< the limit as the leader knows it
  FERRYROCK_FIELDS(LimitDecision, number, granted, unlimited, wait_ms, calls_per_second)
};

struct LimitReply {
  std::uint64_t incarnation = 0;  ///< of the router that asked
  std::vector<LimitDecision> decisions;
  FERRYROCK_FIELDS(LimitReply, incarnation, decisions)
};

/// From a router to all members, as soon as it learns of an end or of an answer that refutes some; and
/// between a router and a member whose digests differ. From the leader to all routers, as soon as a second
/// replica has ended under a call.
struct CrashRecords {
  std::vector<CrashRecord> records;
  bool shares_all = false;  ///< all that the sender shares is listed
  FERRYROCK_FIELDS(CrashRecords, records, shares_all)
};

/// Hash of the addresses in their order; 0 for none.
std::uint64_t directoryDigest(const std::vector<std::string>& addresses);
/// Hash of the contacts in their order; 0 for none.
std::uint64_t contactsDigest(const std::vector<RouterContact>& contacts);

}  // namespace ferryrock::wire
