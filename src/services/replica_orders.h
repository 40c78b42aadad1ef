#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "wire/service_types.h"

/// Orders to the replicas of hosted services, and their outcomes.
namespace ferryrock::services {

using OrderNumber = Number<struct OrderNumberTag>;

enum class OrderAction : std::uint8_t { Load, Unload };

/// Effect: order a replica to load or unload a model, or an adapter of a model that it holds.
struct OrderReplicaEffect {
  OrderNumber number;
  ReplicaId replica;
  std::string address;
  OrderAction action = OrderAction::Load;
  ModelName model;
  std::string adapter;         ///< empty: the order is for the model itself
  std::uint64_t expected = 0;  ///< orders that the replica has accepted so far; it rejects any other count
  NodeName holder;
  Term fence;
};

/// Effect: request the count of accepted orders and the contents of a replica.
struct InspectReplicaEffect {
  OrderNumber number;
  ReplicaId replica;
  std::string address;
};

/// Reason why a requested model got no order.
enum class UnplacedReason : std::uint8_t {
  None,
  StoreFull,         ///< the weight store can't take another load now
  ReplicaBusy,       ///< the best replica with local weights is executing another order
  NoReplicaReady,    ///< no replica can accept the order now and free enough memory
  UnloadInProgress,  ///< a replica is unloading another model to make room
};

/// The text used in logs.
std::string_view nameOf(UnplacedReason reason);

/// Effect: log for the operator that a model got no order.
struct ModelUnplacedEffect {
  ServiceName service;
  ModelName model;
  UnplacedReason reason = UnplacedReason::None;
  std::uint32_t waiting = 0;  ///< calls that wait for the model
  double urgency = 0;
  std::uint32_t local_tier_replicas = 0;  ///< replicas with its weights in memory or on disk
  std::uint32_t store_loads = 0;          ///< loads from the weight store in progress
  double store_width = 0;
};

enum class OrderOutcome : std::uint8_t {
  Accepted,     ///< the replica is executing the order
  AlreadyHeld,  ///< the replica had nothing to do or is done already
  Conflict,     ///< the replica is executing another order, or the order count didn't match
  Refused,      ///< the fencing token is outdated, the replica is the wrong one, or the order is invalid
  Unanswered,   ///< no response; the replica may have accepted the order, and may execute it late
};

/// State of a replica as returned by an inspection; a few hundred milliseconds old.
struct ReplicaState {
  std::uint64_t accepted_orders = 0;
  bool busy = false;
  std::vector<wire::LoadedModel> held;
  std::vector<wire::LoadedModel> pending_adapters;  ///< adapters being loaded
  std::uint64_t start_ms = 0;  ///< start time of the replica in Unix milliseconds; 0: not reported
};

}  // namespace ferryrock::services
