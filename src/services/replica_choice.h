#pragma once

#include <vector>

#include "services/replica_index.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Which replicas a router is told of, where telling every router every replica would cost routers x
/// replicas: for each model and adapter that its calls use a few copies, of each service without models a few
/// replicas. Most are of the router's own zone, some of others, so that the loss of a zone leaves it some.
/// Each router draws its own: together they use all replicas evenly, and the same one again draws the same,
/// so that connections are kept.
///
/// Answers a fleet in which a router sees a small part of all calls: what it is told grows with its own calls
/// and not with the fleet.
class ReplicaChoice {
 public:
  explicit ReplicaChoice(const ReplicaIndex& index) : index_(index) {}

  /// In the order of their ids. Names that nobody knows list nothing; of very many names the first count.
  std::vector<const IndexedReplica*> choose(const wire::CallRouterStatus& status,
                                            const std::vector<ServiceName>& plain_services) const;

  /// Of one group.
  static constexpr std::size_t kMostOfOwnZone = 6;
  static constexpr std::size_t kMostOfGroup = 8;
  /// Models and adapters of one router that are looked up.
  static constexpr std::size_t kMostInterests = 128;

 private:
  class Draw;

  const ReplicaIndex& index_;
};

}  // namespace ferryrock::services
