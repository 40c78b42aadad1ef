#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "simulation/defects.h"
#include "simulation/fault_plan.h"
#include "simulation/request_oracle.h"

namespace ferryrock::simulation {

/// Size and length of one run.
struct RunSettings {
  std::uint64_t seed = 1;
  Duration faults_for = std::chrono::seconds(75);  ///< after the start-up, before the settling
  Duration callers_from{};  ///< callers send from then on; at the very start no leader answers for keys
  std::uint32_t controls = 3;
  std::uint32_t routers = 3;
  std::uint32_t engines = 6;
  std::uint32_t zones = 3;
  /// Replaces the plan that the seed draws; used to replay and to shrink.
  std::optional<FaultPlan> plan;
  Defects defects;                ///< deliberate, to show that they are found
  std::ostream* trace = nullptr;  ///< every line of the trace, if set
};

struct RunReport {
  std::uint64_t seed = 0;
  bool passed = false;
  std::string violation;
  std::uint64_t trace_digest = 0;
  std::uint64_t events = 0;
  FaultCounts faults{};
  FaultPlan plan;
  RequestCounts requests;
  std::uint64_t changes_accepted = 0;
  std::uint64_t changes_in_conflict = 0;
  std::uint64_t messages_dropped = 0;
  std::uint64_t messages_doubled = 0;
  std::uint64_t torn_writes = 0;
  std::uint64_t entries_committed = 0;
  Duration settled_change{};  ///< time for the last change, made after all faults, to be in force everywhere
};

/// Runs the whole system once under virtual time: start-up, faults under load, healing, settling. Depends on
/// nothing but the settings.
RunReport run(const RunSettings& settings);

/// Removes faults from a failing plan as long as the run still fails; at most so many runs.
FaultPlan shrink(const RunSettings& settings, const FaultPlan& failing, std::uint32_t maximum_runs);

}  // namespace ferryrock::simulation
