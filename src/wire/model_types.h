#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "wire/fields.h"

namespace ferryrock::wire {

/// Fencing token of commands to engines: of two fences, the one with the higher term wins, then the one with
/// the higher sequence.
struct Fence {
  Term term;
  std::uint64_t sequence = 0;
  friend auto operator<=>(const Fence&, const Fence&) = default;  // NOLINT(modernize-use-nullptr)
  auto fields() { return std::tie(term, sequence); }
  auto fields() const { return std::tie(term, sequence); }
};

enum class NodeKind : std::uint8_t { Model = 0, Adapter = 1, Service = 2, Defaults = 3 };

/// One value of the settings tree, as the operator wrote it. The catalog's schema defines its type and
/// validates it.
struct Setting {
  std::string key;
  std::string value;
  FERRYROCK_FIELDS(Setting, key, value)
};

/// One node of the settings tree. A node inherits each setting that it doesn't override from its parent.
struct TreeNode {
  std::string name;  ///< unique in the tree; callers address models, adapters and services by it
  NodeKind kind = NodeKind::Model;
  std::string parent;             ///< empty: the root
  std::vector<Setting> settings;  ///< sorted by key, only the overrides
  std::string source;             ///< "file:line" it was read from; not compared
  auto fields() { return std::tie(name, kind, parent, settings, source); }
  auto fields() const { return std::tie(name, kind, parent, settings, source); }
  friend bool operator==(const TreeNode& left, const TreeNode& right) {
    return left.name == right.name && left.kind == right.kind && left.parent == right.parent &&
           left.settings == right.settings;
  }
};

/// Settings of one addressable name after inheritance, as routers and placement use them. Created by the
/// catalog.
struct ResolvedModel {
  ModelName name;  ///< name used by callers
  ModelName base;  ///< the model whose weights are needed; equals name for a model
  bool is_adapter = false;
  ModelVersion version;
  /// On each accelerator of the replica, for the base model.
  std::uint64_t weight_bytes = 0;
  std::uint64_t adapter_bytes = 0;        ///< on each accelerator, for an adapter
  std::uint64_t cache_reserve_bytes = 0;  ///< KV cache reserve on each accelerator
  std::uint32_t accelerators = 1;         ///< accelerators per replica
  std::uint32_t min_replicas = 0;
  std::uint32_t max_replicas = 1;
  std::uint32_t concurrency = 8;      ///< maximum concurrent requests per replica
  std::int64_t deadline_ms = 30'000;  ///< deadline of a request whose caller sets none
  /// Priority of a request whose caller sets none; higher values are served first.
  std::int32_t priority = 0;
  std::uint32_t max_queue = 1000;  ///< maximum waiting requests per router
  std::uint64_t max_queue_bytes = 64'000'000;
  double max_requests_per_second = 0;  ///< per router; 0: unlimited
  double retry_budget = 0.1;           ///< retries per request, averaged
  /// 1: only cold start time counts, 0: only idle accelerator hours.
  double cold_start_weight = 0.5;
  std::int64_t keep_alive_min_ms = 0;
  std::int64_t keep_alive_max_ms = 3'600'000;
  /// False: every request needs an idempotency key and runs at most once.
  bool repeatable = true;
  /// How long the answer of a claimed request is kept.
  std::int64_t answer_retention_ms = 600'000;
  std::vector<std::string> zones;  ///< allowed zones; empty: all
  /// Model or adapter name in requests to engines; differs from name for a service.
  ModelName served;
  FERRYROCK_FIELDS(ResolvedModel, name, base, is_adapter, version, weight_bytes, adapter_bytes,
                   cache_reserve_bytes, accelerators, min_replicas, max_replicas, concurrency, deadline_ms,
                   priority, max_queue, max_queue_bytes, max_requests_per_second, retry_budget,
                   cold_start_weight, keep_alive_min_ms, keep_alive_max_ms, repeatable, answer_retention_ms,
                   zones, served)
};

enum class SlotState : std::uint8_t {
  Decided = 0,
  Loading = 1,
  Ready = 2,
  Draining = 3,
  Unloading = 4,
  Freed = 5
};

/// Proof that frees a slot. An engine's silence is never one.
enum class FreeProof : std::uint8_t { None = 0, UnloadAcknowledged = 1, NewIncarnation = 2, MachineGone = 3 };

/// A replica: accelerator memory held by one model version on one engine incarnation.
struct Slot {
  SlotId id;
  ModelName model;  ///< base model
  ModelVersion version;
  EngineName engine;
  Incarnation incarnation;
  std::vector<std::uint32_t> accelerators;  ///< indexes on the engine
  std::uint64_t bytes_per_accelerator = 0;  ///< weights and cache reserve, without adapters
  SlotState state = SlotState::Decided;
  std::vector<ModelName> adapters;  ///< adapters decided for this slot
  std::uint64_t adapter_bytes = 0;  ///< sum of the adapters' sizes on each accelerator
  FERRYROCK_FIELDS(Slot, id, model, version, engine, incarnation, accelerators, bytes_per_accelerator, state,
                   adapters, adapter_bytes)
};

/// A ready or draining replica as routers need it.
struct ReplicaEndpoint {
  SlotId slot;
  EngineName engine;
  Incarnation incarnation;
  std::string url;  ///< "http://address:port"
  ZoneName zone;
  bool accepts_new = true;          ///< false while the replica is draining
  std::vector<ModelName> adapters;  ///< adapters loaded now
  FERRYROCK_FIELDS(ReplicaEndpoint, slot, engine, incarnation, url, zone, accepts_new, adapters)
};

/// Routing entry of one addressable name.
struct RouteEntry {
  ResolvedModel settings;
  std::vector<ReplicaEndpoint> replicas;
  /// Time until a replica could serve, if none does now; 0: unknown.
  std::int64_t expected_load_ms = 0;
  /// Control can't load the model now (memory, maximum); requests wait or are refused.
  bool load_refused = false;
  FERRYROCK_FIELDS(RouteEntry, settings, replicas, expected_load_ms, load_refused)
};

}  // namespace ferryrock::wire
