#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/identifiers.h"
#include "wire/fields.h"

/// The service catalog and the reports of replicas. A call is a request of any HTTP service; its host and
/// path determine which services may run it.
namespace ferryrock::wire {

/// How many times one call may run.
enum class CallKind : std::uint8_t {
  Repeatable = 0,  ///< any number of times
  AtMostOnce = 1,  ///< at most once
  Streaming = 2,   ///< the answer is a sequence of events; at most once unless the route is resumable
};

/// A service that a route sends calls to, with its share of them.
struct RouteTarget {
  ServiceName service;
  std::uint32_t weight = 1;
  FERRYROCK_FIELDS(RouteTarget, service, weight)
};

/// Calls of one host whose path begins with path_prefix.
struct CallRoute {
  RouteName name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  CallKind kind = CallKind::AtMostOnce;
  std::int64_t timeout_ms = 0;         ///< maximum time for which a call is handled
  std::int64_t target_latency_ms = 0;  ///< up to the answer, or to the first event of a stream
  std::int64_t target_gap_ms = 0;      ///< between two events of a stream; 0: not stated
  /// Callers disconnect when no data arrives for longer; 0: unknown.
  std::int64_t caller_idle_timeout_ms = 0;
  std::uint32_t priority = 0;      ///< 0 is the most urgent
  std::uint32_t max_attempts = 1;  ///< maximum replicas that one call is sent to
  /// Calls with a common prompt prefix go to the same replica.
  bool affinity = false;
  bool resumable = false;  ///< a broken stream may be resumed at another replica
  std::vector<RouteTarget> targets;
  bool allows_anonymous = false;  ///< calls don't need a key
  FERRYROCK_FIELDS(CallRoute, name, host, path_prefix, kind, timeout_ms, target_latency_ms, target_gap_ms,
                   priority, max_attempts, affinity, resumable, targets, caller_idle_timeout_ms,
                   allows_anonymous)
};

/// A model that the replicas of a service can load.
struct HostedModel {
  ModelName name;
  double weight_mb = 0;
  std::int64_t store_load_ms = 0;   ///< from the weight store
  std::int64_t disk_load_ms = 0;    ///< from the replica's disk
  std::int64_t memory_load_ms = 0;  ///< from the replica's memory
  std::uint32_t adapters = 0;
  double adapter_mb = 0;
  FERRYROCK_FIELDS(HostedModel, name, weight_mb, store_load_ms, disk_load_ms, memory_load_ms, adapters,
                   adapter_mb)
};

/// Properties shared by the replicas of a service that hosts models.
struct EngineTraits {
  std::uint32_t slots = 0;  ///< requests in one batch
  std::uint64_t cache_tokens = 0;
  double weight_capacity_mb = 0;  ///< for weights and adapters together
  std::uint32_t adapter_slots = 0;
  double loads_per_second = 0;  ///< load rate of the weight store over all replicas; 0: unlimited
  std::vector<HostedModel> models;
  FERRYROCK_FIELDS(EngineTraits, slots, cache_tokens, weight_capacity_mb, adapter_slots, loads_per_second,
                   models)
};

struct HostedService {
  ServiceName name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< per replica, from all callers; 0: unlimited
  std::optional<EngineTraits> engine;
  FERRYROCK_FIELDS(HostedService, name, health_path, max_connections, engine)
};

/// What a quota counts.
enum class QuotaUnit : std::uint8_t {
  Calls = 0,
  Tokens = 1,  ///< tokens of the prompt, and the maximum tokens of the answer
};

/// Usage that a tenant may have over all routers.
struct TenantQuota {
  QuotaUnit unit = QuotaUnit::Calls;
  double per_second = 0;           ///< above 0
  double burst = 0;                ///< allowed at once in addition to the rate
  std::uint64_t default_cost = 1;  ///< cost of a call without token counts, if the unit is tokens
  FERRYROCK_FIELDS(TenantQuota, unit, per_second, burst, default_cost)
};

/// A customer, whose calls carry one of its API keys.
struct Tenant {
  TenantName name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  ///< overrides the priority of the route
  std::optional<TenantQuota> quota;       ///< nullopt: no limit
  FERRYROCK_FIELDS(Tenant, name, keys, priority, quota)
};

/// Bounds on what a caller may send.
struct CallLimits {
  std::uint64_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  std::int64_t header_timeout_ms = 0;
  std::int64_t idle_timeout_ms = 0;
  FERRYROCK_FIELDS(CallLimits, max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms)
};

/// All routes and services, replaced as a whole. The highest version is in force.
struct ServiceCatalog {
  CatalogVersion version;
  std::vector<CallRoute> routes;
  std::vector<HostedService> services;
  CallLimits limits;
  std::vector<Tenant> tenants;
  bool has_tenants = false;  ///< calls need a key, even if the list is empty
  FERRYROCK_FIELDS(ServiceCatalog, version, routes, services, limits, tenants, has_tenants)
};

/// A model that is loaded on a replica, with its loaded adapters.
struct LoadedModel {
  ModelName model;
  std::vector<std::string> adapters;
  FERRYROCK_FIELDS(LoadedModel, model, adapters)
};

/// A replica's heartbeat or leave notice.
struct ReplicaReport {
  ReplicaId id;
  ServiceName service;
  std::string address;  ///< "host:port"
  ZoneName zone;
  std::uint32_t slots = 1;
  bool leaving = false;
  /// Time until the replica terminates, even if calls are still running.
  std::optional<std::int64_t> terminates_in_ms;
  std::int64_t slow_start_ms = 0;  ///< remaining time of the slowdown after the replica's start
  /// Incremented with each report, so that a delayed one is recognized.
  std::uint64_t sequence = 0;
  std::vector<LoadedModel> held;
  std::vector<ModelName> in_memory;  ///< weights that the replica can load fast
  std::vector<ModelName> on_disk;
  /// Version of the replica's software; nullopt: not known, as from a build that doesn't read it.
  std::optional<std::string> version;
  FERRYROCK_FIELDS(ReplicaReport, id, service, address, zone, slots, leaving, terminates_in_ms, slow_start_ms,
                   sequence, held, in_memory, on_disk, version)
};

/// Identifies a call that is sent again: equal for the same method, host, path with query, caller and body.
/// 128 bits of a cryptographic digest, so that no caller can forge a call with the fingerprint of another
/// one.
struct CallFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const CallFingerprint&) const = default;  // NOLINT(modernize-use-nullptr)
  FERRYROCK_FIELDS(CallFingerprint, high, low)
};

/// What may crash a replica: one call, or a trait that different calls share.
enum class SuspectKind : std::uint8_t { Call, PromptPart, Adapter };

/// A replica that crashed while it ran a call, or calls with the same trait.
struct ReplicaCrash {
  ReplicaId replica;
  /// A call of the suspect was answered since, so that the crash doesn't count against it.
  bool refuted = false;
  /// Calls with this trait had been answered shortly before, so that a trait without answers explains the
  /// crash better.
  bool secondary = false;
  FERRYROCK_FIELDS(ReplicaCrash, replica, refuted, secondary)
};

/// Crashes recorded for one suspect. Records of the same suspect are merged by union.
struct CrashRecord {
  CallFingerprint call;             ///< identifies the suspect, whatever its kind
  std::vector<ReplicaCrash> ended;  ///< ordered by replica id
  std::int64_t age_ms = 0;          ///< time since the last crash
  SuspectKind kind = SuspectKind::Call;
  std::string name{};        ///< of a trait, for operators: the prompt part's ID, or "MODEL/ADAPTER"
  std::uint32_t trials = 0;  ///< calls granted so far that test whether a quarantined trait still crashes
  FERRYROCK_FIELDS(CrashRecord, call, ended, age_ms, kind, name, trials)
};

}  // namespace ferryrock::wire
