#include "simulation/fault_plan.h"

#include <cstdio>

namespace ferryrock::simulation {
namespace {

/// Kinds that the plan draws from; the others come from operators and callers as they go.
constexpr std::array kPlanned = {FaultKind::KillControl,
                                 FaultKind::KillControlInWrite,
                                 FaultKind::KillAllControl,
                                 FaultKind::PauseControl,
                                 FaultKind::CutControl,
                                 FaultKind::CutOneWay,
                                 FaultKind::LoseControlDisk,
                                 FaultKind::KillRouter,
                                 FaultKind::PauseRouter,
                                 FaultKind::CutRouterFromControl,
                                 FaultKind::KillEngine,
                                 FaultKind::KillEngineInLoad,
                                 FaultKind::CutEngineFromControl,
                                 FaultKind::CutEngineFromRouters,
                                 FaultKind::StallEngine,
                                 FaultKind::CutStreams,
                                 FaultKind::CrossAnswers,
                                 FaultKind::DoubleChunks,
                                 FaultKind::RefuseRequests,
                                 FaultKind::SlowWeightStore,
                                 FaultKind::StopWeightStore,
                                 FaultKind::ReclaimMachine,
                                 FaultKind::LoseZone,
                                 FaultKind::DrainEngine,
                                 FaultKind::ClockDrift};

PlannedFault drawFault(Random& random, Duration at) {
  constexpr double kMeanDurationNanoseconds = 5e9;
  PlannedFault fault;
  fault.kind = kPlanned[random.below(kPlanned.size())];
  fault.at = at;
  fault.duration = Duration(static_cast<Duration::rep>(random.exponential(kMeanDurationNanoseconds)));
  fault.target = random.next();
  fault.parameter = random.next();
  return fault;
}

}  // namespace

FaultPlan makeFaultPlan(const FaultPlanSettings& settings, Random& random) {
  FaultPlan plan;
  Duration at = settings.begin;
  while (at < settings.end) {
    plan.push_back(drawFault(random, at));
    if (random.chance(settings.pair_chance)) {
      plan.push_back(drawFault(random, at));
    }
    const double gap = random.exponential(static_cast<double>(settings.mean_interval.count()));
    at += Duration(static_cast<Duration::rep>(gap));
  }
  return plan;
}

std::string describe(const PlannedFault& fault) {
  constexpr double kNanosecondsPerSecond = 1e9;
  std::array<char, 128> text{};
  std::snprintf(text.data(), text.size(), "%.3fs %s target %llu for %.3fs",
                static_cast<double>(fault.at.count()) / kNanosecondsPerSecond, faultName(fault.kind).data(),
                static_cast<unsigned long long>(fault.target % 1000),
                static_cast<double>(fault.duration.count()) / kNanosecondsPerSecond);
  return text.data();
}

}  // namespace ferryrock::simulation
