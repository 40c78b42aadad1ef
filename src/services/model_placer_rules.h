#pragma once

#include <algorithm>
#include <vector>

#include "services/replica_registry.h"

/// Helpers for reports and catalogs, shared by the source files of ModelPlacer.
namespace ferryrock::services {

/// Typical time from ordering an unload until the load that needs the memory begins.
constexpr Duration kUnloadTime = std::chrono::milliseconds(200);

/// A load is late once it has taken kLateFactor times its expected duration plus kLateSlack. The placer then
/// inspects the replica, and the load no longer counts as an expected copy.
constexpr int kLateFactor = 2;
constexpr Duration kLateSlack = std::chrono::seconds(1);

inline bool holds(const ReplicaRecord& record, const ModelName& model) {
  return std::any_of(record.report.held.begin(), record.report.held.end(),
                     [&model](const wire::LoadedModel& held) { return held.model == model; });
}

inline const wire::HostedModel* findModel(const wire::EngineTraits& traits, const ModelName& name) {
  const auto found = std::find_if(traits.models.begin(), traits.models.end(),
                                  [&name](const auto& model) { return model.name == name; });
  return found == traits.models.end() ? nullptr : &*found;
}

inline bool contains(const std::vector<ModelName>& names, const ModelName& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace ferryrock::services
