#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/model/platform_model.h"
#include "simulation/fault_plan.h"
#include "simulation/simulated_callers.h"
#include "simulation/simulated_control.h"
#include "simulation/simulated_engine.h"
#include "simulation/simulated_operators.h"
#include "simulation/simulated_router.h"
#include "simulation/simulated_weight_store.h"
#include "simulation/simulation_context.h"

namespace ferryrock::simulation {

/// What the injector acts on; the parts belong to the run.
struct FaultTargets {
  std::vector<SimulatedRouter*> routers;
  std::vector<SimulatedEngine*> engines;
  SimulatedWeightStore& store;
  emulator::PlatformModel& platform;
  SimulatedOperators& operators;
  SimulatedCallers& callers;
  /// The members as they are now; a replaced one is no longer among them.
  std::function<std::vector<SimulatedControl*>()> controls;
  /// Starts a process with an empty disk and a new identity in the place of a dead one; returns its
  /// membership row.
  std::function<wire::Member(SimulatedControl& dead)> replace_control;
};

/// Carries out a plan and heals what it did. A disk is lost only while no other member is being replaced and
/// all members run, as a cell of three survives no more.
class FaultInjector {
 public:
  FaultInjector(SimulationContext& context, FaultTargets targets);

  void schedule(const FaultPlan& plan);
  /// Ends every fault at once.
  void healAll();

 private:
  void inject(const PlannedFault& fault);
  void count(FaultKind kind);
  void killControl(SimulatedControl& control, Duration down);
  void loseControlDisk(SimulatedControl& control, const PlannedFault& fault);
  void loseDiskAndRestart(SimulatedControl& control);
  /// A member lags, then the disk of a second one and the leader are lost at once.
  void loseDiskAndLeader(SimulatedControl& control);
  void pause(SimulatedProcess& process, Duration duration);
  void cutBetween(const std::vector<std::string>& left, const std::vector<std::string>& right, bool both_ways,
                  Duration duration);
  void killEngine(SimulatedEngine& engine, Duration down);
  void reclaimMachine(SimulatedEngine& engine, const PlannedFault& fault);
  void changeEngine(SimulatedEngine& engine, Duration duration,
                    const std::function<void(emulator::EngineFaults&)>& begin,
                    const std::function<void(emulator::EngineFaults&)>& end);
  void later(Duration delay, Callback work);
  bool everyControlRuns() const;
  std::vector<std::string> names(bool controls, bool routers, bool engines) const;

  SimulationContext& context_;
  FaultTargets targets_;
  bool disk_lost_ = false;        ///< and not yet replaced
  std::uint64_t generation_ = 0;  ///< raised by healAll(), so that no later end of a fault acts twice
};

}  // namespace ferryrock::simulation
