#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "common/identifiers.h"
#include "common/time.h"
#include "services/replica_registry.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Where a replica can load a model's weights from, the fastest first.
enum class WeightTier { Memory, Disk, Store };

WeightTier tierOf(const wire::ReplicaReport& report, const ModelName& model);
Duration loadTime(const wire::HostedModel& model, WeightTier tier);

/// The shortest time in which some replica that takes calls can load a model.
///
/// One pass over all reports answers what is asked within a second, however many routers ask for however many
/// models: a leader that passed over the replicas for each answer would be busy for longer than an election
/// takes. Used by one thread.
class NearestWeights {
 public:
  explicit NearestWeights(const ReplicaRegistry& registry) : registry_(registry) {}

  /// By reports that are a second old at most.
  Duration shortestLoad(const ServiceName& service, const wire::HostedModel& model, TimePoint now);
  /// Replicas that were looked at so far.
  std::uint64_t replicasPassed() const { return replicas_passed_; }

 private:
  void refresh(TimePoint now);
  void note(const wire::ReplicaReport& report, const ModelName& model, WeightTier tier);

  const ReplicaRegistry& registry_;
  /// Models that no replica has near have no entry.
  std::map<std::pair<ServiceName, ModelName>, WeightTier> nearest_;
  TimePoint refreshed_{};
  std::uint64_t replicas_passed_ = 0;
};

}  // namespace ferryrock::services
