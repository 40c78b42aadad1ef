#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "emulator/model/engine_settings.h"
#include "emulator/model/weight_store_model.h"
#include "wire/model_types.h"

/// Experiments that compare placement policies on one trace under virtual time.
namespace ferryrock::load::experiment {

/// How the models of a group are used. Uses are sessions of requests; gaps between sessions are log-normal in
/// a time that runs faster by day than by night.
struct UsageShape {
  double sessions_per_day = 10;      ///< of the group's most used model
  double popularity_exponent = 1;    ///< model n has sessions_per_day / n^exponent
  double gap_sigma = 1.5;            ///< of the gaps' logarithm; above 1.5 the tail is heavy
  double requests_per_session = 6;   ///< mean, geometric
  Duration think_time{};             ///< median between requests of a session
  Duration service_time{};           ///< mean, exponential
  double timetable_share = 0;        ///< of the group's models, used at fixed times of day instead
  std::uint32_t timetable_uses = 2;  ///< a day
  double bursts_per_week = 0;        ///< over the group, each for one of its models
  std::uint32_t burst_requests = 0;
  Duration burst_span{};
};

/// Models that are alike.
struct ModelGroup {
  std::string name;
  std::uint32_t models = 1;
  std::uint32_t adapters = 0;  ///< over all models of the group
  double adapter_share = 0;    ///< of sessions that use an adapter of the model
  wire::ResolvedModel settings;
  UsageShape usage;
};

struct ExperimentSettings {
  std::string name;
  std::uint64_t seed = 1;
  Duration length{};
  std::uint32_t zones = 1;
  std::uint32_t machines_per_zone = 1;
  std::uint32_t routers = 1;
  Duration commit_delay{};   ///< from a proposal to its application, and to the order
  Duration report_delay{};   ///< from a change at an engine or a router until the planner knows
  Duration requests_lead{};  ///< requests before this are not measured; caches and histories fill
  emulator::EngineSettings engine;
  emulator::WeightStoreSettings store;
  std::vector<ModelGroup> groups;
  std::vector<double> weights;        ///< cold_start_weight of the product's policies
  std::vector<Duration> keep_alives;  ///< of the fixed keep-alive baseline
  double baseline_weight = 0.8;       ///< of the baselines for load order and merging
};

/// Throws Error: UnreadableFile, InvalidYaml, and what SettingsReader throws for wrong keys.
ExperimentSettings readExperimentSettings(const std::string& file);
ExperimentSettings readExperimentSettingsText(const std::string& text, const std::string& name);

}  // namespace ferryrock::load::experiment
