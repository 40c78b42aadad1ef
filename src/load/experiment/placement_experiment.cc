#include "load/experiment/placement_experiment.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <thread>

#include "common/quantity.h"
#include "load/experiment/simulated_cell.h"
#include "placement/keep_alive_policy.h"
#include "placement/load_policies.h"

namespace ferryrock::load::experiment {
namespace {

using placement::PlannerPolicies;

constexpr double kSecondsPerHour = 3600;

std::string weightText(double weight) {
  std::string text = std::to_string(weight);
  text.erase(text.find_last_not_of('0') + 1);
  return text.back() == '.' ? text + "0" : text;
}

PolicyVariant learnedVariant(double weight) {
  return {VariantKind::Learned, "learned w=" + weightText(weight), weight, placement::defaultPolicies};
}

PolicyVariant fixedVariant(Duration keep, double weight) {
  return {VariantKind::FixedKeepAlive, "fixed " + formatDuration(keep), weight, [keep] {
            PlannerPolicies policies = placement::defaultPolicies();
            policies.keep_alive = std::make_unique<placement::FixedKeepAlive>(keep);
            return policies;
          }};
}

PlannerPolicies alwaysLoadedPolicies() {
  PlannerPolicies policies = placement::defaultPolicies();
  policies.keep_alive = std::make_unique<placement::AlwaysLoaded>();
  return policies;
}

PlannerPolicies firstComePolicies() {
  PlannerPolicies policies = placement::defaultPolicies();
  policies.load_order = std::make_unique<placement::FirstComeFirstServedOrder>();
  return policies;
}

PlannerPolicies unmergedPolicies() {
  PlannerPolicies policies = placement::defaultPolicies();
  policies.replica_count = std::make_unique<placement::PerRouterReplicaCount>();
  return policies;
}

/// Seconds of idle accelerators that a second of a cold start is worth.
double priceOf(double weight) {
  placement::IdleModel model;
  model.cold_start_weight = weight;
  model.expected_load = std::chrono::seconds(static_cast<int>(placement::kReferenceColdStartSeconds));
  return placement::coldStartPrice(model) / placement::kReferenceColdStartSeconds;
}

VariantResult measure(const ExperimentSettings& settings, const UsageTrace& trace,
                      const PolicyVariant& variant) {
  SimulatedCell cell(settings, trace, variant.create(), variant.cold_start_weight);
  VariantResult result{variant.kind, variant.name, cell.run(), 0};
  if (variant.kind == VariantKind::Learned) {
    const double price = priceOf(variant.cold_start_weight);
    const double cost = result.figures.idle_hours * kSecondsPerHour + price * result.figures.cold_seconds;
    const double bound = clairvoyantCost(settings, trace, price);
    result.cost_to_bound = bound > 0 ? cost / bound : 0;
  }
  return result;
}

}  // namespace

std::vector<PolicyVariant> policyVariants(const ExperimentSettings& settings) {
  std::vector<PolicyVariant> variants;
  for (const double weight : settings.weights) {
    variants.push_back(learnedVariant(weight));
  }
  for (const Duration keep : settings.keep_alives) {
    variants.push_back(fixedVariant(keep, settings.baseline_weight));
  }
  variants.push_back(
      {VariantKind::AlwaysLoaded, "always loaded", settings.baseline_weight, alwaysLoadedPolicies});
  const std::string suffix = " w=" + weightText(settings.baseline_weight);
  variants.push_back(
      {VariantKind::FirstCome, "first come" + suffix, settings.baseline_weight, firstComePolicies});
  variants.push_back(
      {VariantKind::Unmerged, "unmerged demand" + suffix, settings.baseline_weight, unmergedPolicies});
  return variants;
}

ExperimentResult runExperiment(const ExperimentSettings& settings, unsigned jobs,
                               const std::function<void(const std::string&)>& progress) {
  const UsageTrace trace = generateTrace(settings);
  const std::vector<PolicyVariant> variants = policyVariants(settings);
  ExperimentResult result{
      settings.name, settings.seed, trace.requests.size(), clairvoyantBound(settings, trace), {}};
  result.variants.resize(variants.size());
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  std::exception_ptr failure;
  const auto work = [&] {
    for (std::size_t index = next++; index < variants.size(); index = next++) {
      try {
        result.variants[index] = measure(settings, trace, variants[index]);
        const std::lock_guard lock(mutex);
        progress(variants[index].name);
      } catch (...) {
        const std::lock_guard lock(mutex);
        failure = std::current_exception();
      }
    }
  };
  {
    std::vector<std::jthread> threads;
    for (unsigned job = 0; job < std::max(1U, jobs); ++job) {
      threads.emplace_back(work);
    }
  }
  if (failure) {
    std::rethrow_exception(failure);
  }
  return result;
}

}  // namespace ferryrock::load::experiment
