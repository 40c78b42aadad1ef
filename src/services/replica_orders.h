#pragma once

#include <cstdint>
#include <optional>
#include <string>
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
};

}  // namespace ferryrock::services
