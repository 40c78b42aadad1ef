#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "simulation/fault_kind.h"

namespace ferryrock::simulation {

/// One fault of a run. The target and the parameter are numbers that the injector maps to what exists then.
struct PlannedFault {
  FaultKind kind = FaultKind::KillControl;
  Duration at{};        ///< after the start
  Duration duration{};  ///< until it is healed
  std::uint64_t target = 0;
  std::uint64_t parameter = 0;
};

/// Faults in the order of their times.
using FaultPlan = std::vector<PlannedFault>;

struct FaultPlanSettings {
  Duration begin = std::chrono::seconds(15);
  Duration end = std::chrono::seconds(90);
  Duration mean_interval = std::chrono::seconds(4);
  double pair_chance = 0.25;  ///< a fault comes together with another one
};

FaultPlan makeFaultPlan(const FaultPlanSettings& settings, Random& random);
/// "12.5s KillControl target 1 for 3.2s".
std::string describe(const PlannedFault& fault);

}  // namespace ferryrock::simulation
