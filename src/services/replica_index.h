#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/identifiers.h"
#include "services/model_demand.h"
#include "services/replica_registry.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// A replica in the form that routers receive.
struct IndexedReplica {
  wire::RoutedReplica routed;
  std::uint64_t name_hash = 0;     ///< hash of its id
  std::uint64_t content_hash = 0;  ///< hash of everything that routers receive about the replica
  std::vector<ModelKey> keys;      ///< the groups that contain the replica, sorted
};

/// Index of replicas by service, by model and by adapter. It is updated incrementally from the registry, so
/// that a lookup costs in proportion to the copies of a model and not to the fleet. Not thread-safe.
class ReplicaIndex {
 public:
  using Group = std::vector<const IndexedReplica*>;

  /// Result of one update.
  struct Changes {
    std::set<ModelKey> grown;       ///< groups with at least one added replica
    std::vector<ReplicaId> closed;  ///< replicas that no longer take calls or were removed
  };

  /// Applies the changes of the registry since the last call.
  Changes follow(ReplicaRegistry& registry);

  /// Replicas that take calls: of a service if the model is empty, of a model if the adapter is empty,
  /// otherwise of an adapter. Empty if there are none.
  const Group& find(const ModelKey& key) const;
  /// Also finds replicas that take no calls; nullptr if the id is unknown.
  const IndexedReplica* find(const ReplicaId& id) const;
  std::size_t size() const { return replicas_.size(); }

 private:
  std::vector<ModelKey> removeFromGroups(IndexedReplica& replica);
  static std::vector<ModelKey> keysOf(const wire::RoutedReplica& replica);

  std::unordered_map<ReplicaId, IndexedReplica> replicas_;
  std::map<ModelKey, Group> groups_;
};

}  // namespace ferryrock::services
