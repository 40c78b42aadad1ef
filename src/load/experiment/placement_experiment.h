#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "load/experiment/clairvoyant_bound.h"
#include "load/experiment/experiment_meter.h"
#include "load/experiment/experiment_settings.h"
#include "placement/policies.h"

namespace ferryrock::load::experiment {

/// What a variant is compared as.
enum class VariantKind { Learned, FixedKeepAlive, AlwaysLoaded, FirstCome, Unmerged };

/// Policies that an experiment measures.
struct PolicyVariant {
  VariantKind kind = VariantKind::Learned;
  std::string name;
  double cold_start_weight = 0.5;
  std::function<placement::PlannerPolicies()> create;
};

/// The product's policies at each weight, and the baselines.
std::vector<PolicyVariant> policyVariants(const ExperimentSettings& settings);

struct VariantResult {
  VariantKind kind = VariantKind::Learned;
  std::string name;
  ExperimentFigures figures;
  double cost_to_bound = 0;  ///< Learned: priced cost over that of a clairvoyant that loads with demand
};

struct ExperimentResult {
  std::string name;
  std::uint64_t seed = 1;
  std::uint64_t requests = 0;  ///< of the trace
  ClairvoyantBound bound;
  std::vector<VariantResult> variants;
};

/// Replays the trace for each variant, in at most jobs threads. Progress is called for each finished variant,
/// one at a time. The result depends on the settings alone.
ExperimentResult runExperiment(const ExperimentSettings& settings, unsigned jobs,
                               const std::function<void(const std::string&)>& progress);

/// A fixed keep-alive against which the product's policies are compared: points on its curve, interpolated.
struct FixedComparison {
  std::string name;             ///< of the learned variant
  double idle_at_same_p99 = 0;  ///< of the fixed keep-alive; 0: none measured reaches that p99
  double p99_at_same_idle = 0;  ///< of the fixed keep-alive
};
std::vector<FixedComparison> compareWithFixed(const ExperimentResult& result);

void printTable(const ExperimentResult& result, std::ostream& out);
void writeCsv(const ExperimentResult& result, std::ostream& out);

}  // namespace ferryrock::load::experiment
