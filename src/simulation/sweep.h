#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <vector>

#include "simulation/simulation_run.h"

namespace ferryrock::simulation {

struct SweepSettings {
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 100;
  std::uint32_t threads = 1;
  RunSettings run;  ///< its seed is replaced
};

struct SweepReport {
  std::uint64_t runs = 0;
  std::uint64_t passed = 0;
  RunReport sum;  ///< counts of all runs added up; settled_change is the longest
  std::vector<RunReport> failures;
};

/// Runs every seed of the range, on several threads; the report doesn't depend on their number.
SweepReport sweep(const SweepSettings& settings, const std::function<void(const RunReport&)>& on_failure);

/// The lowest failing seed of the range, if any; later seeds aren't run once one has failed.
std::optional<RunReport> firstFailure(const RunSettings& settings, std::uint64_t first_seed,
                                      std::uint64_t last_seed, std::uint32_t threads);

/// The counts as a table of text.
void printCounts(std::ostream& output, const RunReport& counts);

}  // namespace ferryrock::simulation
