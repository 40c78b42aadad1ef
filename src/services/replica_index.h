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

/// A replica as routers are told of it.
struct IndexedReplica {
  wire::RoutedReplica routed;
  std::uint64_t name_hash = 0;     ///< of its id
  std::uint64_t content_hash = 0;  ///< of all that routers are told
  std::vector<ModelKey> keys;      ///< the groups that it is in, in order
};

/// Replicas by what calls need: by service, by model and by adapter. Follows the registry by what changed
/// there, so that a question for a model costs by its copies and not by the fleet. Used by one thread.
class ReplicaIndex {
 public:
  using Group = std::vector<const IndexedReplica*>;

  /// What a step changed.
  struct Changes {
    std::set<ModelKey> grown;       ///< groups that got a replica that wasn't in them
    std::vector<ReplicaId> closed;  ///< replicas that take no calls any more, or are gone
  };

  /// Takes what changed in the registry since the last step.
  Changes follow(ReplicaRegistry& registry);

  /// Replicas that take calls: of a service with an empty model, of a model with an empty adapter, of an
  /// adapter. Empty if there is none.
  const Group& find(const ModelKey& key) const;
  /// Also one that takes no calls; nullptr: it isn't known.
  const IndexedReplica* find(const ReplicaId& id) const;
  std::size_t size() const { return replicas_.size(); }

 private:
  std::vector<ModelKey> leaveGroups(IndexedReplica& replica);
  static std::vector<ModelKey> keysOf(const wire::RoutedReplica& replica);

  std::unordered_map<ReplicaId, IndexedReplica> replicas_;
  std::map<ModelKey, Group> groups_;
};

}  // namespace ferryrock::services
