#pragma once

#include <vector>

#include "services/replica_index.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Selects the subset of replicas that a router receives. Sending every replica to every router would cost
/// routers x replicas. For each model and adapter that the router's calls use, the subset has a few copies,
/// and for each service without models a few replicas. Most are in the router's own zone and some in others,
/// so that the router still has replicas after the loss of its zone. The selection ranks replicas by a hash
/// of the replica and the router: all routers together use the replicas evenly, and the same router gets the
/// same subset each time and keeps its connections.
///
/// Intended for fleets in which a router sees a small part of all calls: the size of the subset depends on
/// the router's own calls and not on the size of the fleet.
class ReplicaChoice {
 public:
  explicit ReplicaChoice(const ReplicaIndex& index) : index_(index) {}

  /// Sorted by id. Unknown names select nothing; names beyond kMaxInterests are ignored.
  std::vector<const IndexedReplica*> choose(const wire::CallRouterStatus& status,
                                            const std::vector<ServiceName>& plain_services) const;

  /// Limits for one group, that is the replicas of one service, model or adapter.
  static constexpr std::size_t kMaxFromOwnZone = 6;
  static constexpr std::size_t kMaxPerGroup = 8;
  /// Maximum number of models and adapters looked up for one router.
  static constexpr std::size_t kMaxInterests = 128;

 private:
  class Draw;

  const ReplicaIndex& index_;
};

}  // namespace ferryrock::services
