#pragma once

#include <cstdint>
#include <vector>

#include "load/experiment/experiment_settings.h"

namespace ferryrock::load::experiment {

/// A model or adapter of an experiment.
struct TracedModel {
  wire::ResolvedModel settings;
  std::size_t base = 0;      ///< index of the base model; its own for a model
  bool rarely_used = false;  ///< no replicas are held for it without demand
};

struct TracedRequest {
  Duration at{};
  std::size_t model = 0;  ///< index of the model or adapter
  std::uint32_t router = 0;
  Duration service{};
};

/// Who asks for what, and when.
struct UsageTrace {
  std::vector<TracedModel> models;
  std::vector<TracedRequest> requests;  ///< by time
};

/// The same settings, seed included, give the same trace.
UsageTrace generateTrace(const ExperimentSettings& settings);

/// Share of the day's peak at which people work at this time; time 0 is midnight before a Monday.
double activityAt(Duration time);

}  // namespace ferryrock::load::experiment
