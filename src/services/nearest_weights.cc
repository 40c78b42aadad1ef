#include "services/nearest_weights.h"

#include <algorithm>

#include "services/model_placer_rules.h"

namespace ferryrock::services {
namespace {

/// Minimum time between two scans of the replicas.
constexpr Duration kRefreshInterval = std::chrono::seconds(1);

}  // namespace

WeightTier tierOf(const wire::ReplicaReport& report, const ModelName& model) {
  if (contains(report.in_memory, model)) {
    return WeightTier::Memory;
  }
  return contains(report.on_disk, model) ? WeightTier::Disk : WeightTier::Store;
}

Duration loadTime(const wire::HostedModel& model, WeightTier tier) {
  switch (tier) {
    case WeightTier::Memory:
      return std::chrono::milliseconds(model.memory_load_ms);
    case WeightTier::Disk:
      return std::chrono::milliseconds(model.disk_load_ms);
    case WeightTier::Store:
      break;
  }
  return std::chrono::milliseconds(model.store_load_ms);
}

Duration NearestWeights::shortestLoad(const ServiceName& service, const wire::HostedModel& model,
                                      TimePoint now) {
  if (now - refreshed_at_ >= kRefreshInterval) {
    refresh(now);
  }
  const auto nearest = nearest_tiers_.find({service, model.name});
  return loadTime(model, nearest == nearest_tiers_.end() ? WeightTier::Store : nearest->second);
}

void NearestWeights::refresh(TimePoint now) {
  refreshed_at_ = now;
  nearest_tiers_.clear();
  for (const auto& [id, record] : registry_.replicas()) {
    ++replicas_scanned_;
    if (!registry_.acceptsCalls(record)) {
      continue;
    }
    for (const ModelName& model : record.report.in_memory) {
      recordTier(record.report, model, WeightTier::Memory);
    }
    for (const ModelName& model : record.report.on_disk) {
      recordTier(record.report, model, WeightTier::Disk);
    }
  }
}

void NearestWeights::recordTier(const wire::ReplicaReport& report, const ModelName& model, WeightTier tier) {
  const auto [known, added] = nearest_tiers_.try_emplace({report.service, model}, tier);
  known->second = std::min(known->second, tier);
}

}  // namespace ferryrock::services
