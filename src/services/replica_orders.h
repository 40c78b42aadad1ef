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

/// Orders to the replicas of hosted services and what comes back.
namespace ferryrock::services {

using OrderNumber = Number<struct OrderNumberTag>;

enum class OrderAction : std::uint8_t { Load, Unload };

/// Effect: order a replica to load or unload a model, or an adapter of one that it holds.
struct OrderReplicaEffect {
  OrderNumber number;
  ReplicaId replica;
  std::string address;
  OrderAction action = OrderAction::Load;
  ModelName model;
  std::string adapter;         ///< empty: the model
  std::uint64_t expected = 0;  ///< orders that the replica has taken so far; it refuses another count
  NodeName holder;
  Term fence;
};

/// Effect: ask a replica how many orders it has taken and what it holds.
struct InspectReplicaEffect {
  OrderNumber number;
  ReplicaId replica;
  std::string address;
};

/// Why a model that is wanted got no order.
enum class UnplacedReason : std::uint8_t {
  None,
  StoreFull,       ///< as many loads from the store are under way as it takes
  ReplicaBusy,     ///< a replica with its weights will take it soonest, and is at another order
  NoReplicaReady,  ///< no replica can take the order now and make room
  RoomComing,      ///< a replica makes room for it
};

/// As logs name it.
std::string_view nameOf(UnplacedReason reason);

/// Effect: tell the operator.
struct ModelUnplacedEffect {
  ServiceName service;
  ModelName model;
  UnplacedReason reason = UnplacedReason::None;
  std::uint32_t waiting = 0;  ///< calls
  double urgency = 0;
  std::uint32_t near_replicas = 0;  ///< with its weights in memory or on disk
  std::uint32_t store_loads = 0;    ///< under way
  double store_width = 0;
};

enum class OrderOutcome : std::uint8_t {
  Taken,        ///< it is under way
  AlreadyHeld,  ///< nothing to do, or done at once
  Conflict,     ///< another order is under way, or the count didn't match
  Refused,      ///< a fence too low, a wrong replica, an order that isn't understood
  Unanswered,   ///< it may have been taken, and may be carried out late
};

/// What a replica said when it was inspected; some hundred ms old.
struct ReplicaState {
  std::uint64_t orders_taken = 0;
  bool busy = false;
  std::vector<wire::HeldModel> held;
  std::vector<wire::HeldModel> coming;  ///< adapters on their way to it
  std::uint64_t born = 0;               ///< Unix milliseconds of its start; 0: not told
};

}  // namespace ferryrock::services
