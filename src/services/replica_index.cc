#include "services/replica_index.h"

#include <algorithm>
#include <utility>

#include "common/hashing.h"
#include "services/table_feed.h"
#include "wire/codec.h"

namespace ferryrock::services {

ReplicaIndex::Changes ReplicaIndex::follow(ReplicaRegistry& registry) {
  Changes changes;
  for (const ReplicaId& id : registry.takeChangedIds()) {
    const ReplicaRecord* record = registry.find(id);
    const auto known = replicas_.find(id);
    const bool took_calls = known != replicas_.end() && known->second.routed.accepting;
    const bool takes_calls = record != nullptr && registry.acceptsCalls(*record);
    const bool closed_unknown = record == nullptr && registry.closedUnknown().contains(id);
    if ((took_calls && !takes_calls) || closed_unknown) {
      changes.closed.push_back(id);
    }
    const std::vector<ModelKey> former =
        known == replicas_.end() ? std::vector<ModelKey>() : removeFromGroups(known->second);
    if (record == nullptr) {
      replicas_.erase(id);
      continue;
    }
    IndexedReplica& replica = replicas_[id];
    replica.routed = replicaForRouters(*record, takes_calls);
    replica.name_hash = stableHash(id.value);
    replica.content_hash = stableHash(wire::encode(replica.routed));
    replica.keys = takes_calls ? keysOf(replica.routed) : std::vector<ModelKey>();
    for (const ModelKey& key : replica.keys) {
      groups_[key].push_back(&replica);
      if (!std::binary_search(former.begin(), former.end(), key)) {
        changes.grown.insert(key);
      }
    }
  }
  return changes;
}

std::vector<ModelKey> ReplicaIndex::keysOf(const wire::RoutedReplica& replica) {
  std::vector<ModelKey> keys{{replica.service, {}, {}}};
  for (const wire::LoadedModel& held : replica.held) {
    keys.push_back({replica.service, held.model, {}});
    for (const std::string& adapter : held.adapters) {
      keys.push_back({replica.service, held.model, adapter});
    }
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

/// Removes the replica from its groups and returns them, sorted.
std::vector<ModelKey> ReplicaIndex::removeFromGroups(IndexedReplica& replica) {
  for (const ModelKey& key : replica.keys) {
    const auto found = groups_.find(key);
    Group& group = found->second;
    const auto place = std::find(group.begin(), group.end(), &replica);
    *place = group.back();
    group.pop_back();
    if (group.empty()) {
      groups_.erase(found);
    }
  }
  return std::exchange(replica.keys, {});
}

const ReplicaIndex::Group& ReplicaIndex::find(const ModelKey& key) const {
  static const Group kNone;
  const auto found = groups_.find(key);
  return found == groups_.end() ? kNone : found->second;
}

const IndexedReplica* ReplicaIndex::find(const ReplicaId& id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

}  // namespace ferryrock::services
