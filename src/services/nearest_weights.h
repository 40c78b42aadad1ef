#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "common/identifiers.h"
#include "common/time.h"
#include "services/replica_registry.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Sources from which a replica can load a model's weights, fastest first.
enum class WeightTier { Memory, Disk, Store };

WeightTier tierOf(const wire::ReplicaReport& report, const ModelName& model);
Duration loadTime(const wire::HostedModel& model, WeightTier tier);

/// Computes the shortest time in which any replica that takes calls can load a model.
///
/// The tiers of all models are cached from one scan of all reports per second, independent of the number of
/// routers and models queried. Scanning the replicas for each query would keep a leader busy for longer than
/// an election timeout. Not thread-safe.
class NearestWeights {
 public:
  explicit NearestWeights(const ReplicaRegistry& registry) : registry_(registry) {}

  /// Based on reports as of at most one second ago.
  Duration shortestLoad(const ServiceName& service, const wire::HostedModel& model, TimePoint now);
  /// Number of replicas scanned so far.
  std::uint64_t replicasScanned() const { return replicas_scanned_; }

 private:
  void refresh(TimePoint now);
  void recordTier(const wire::ReplicaReport& report, const ModelName& model, WeightTier tier);

  const ReplicaRegistry& registry_;
  /// Best tier by model. Models without weights in memory or on disk anywhere have no entry.
  std::map<std::pair<ServiceName, ModelName>, WeightTier> nearest_tiers_;
  TimePoint refreshed_at_{};
  std::uint64_t replicas_scanned_ = 0;
};

}  // namespace ferryrock::services
