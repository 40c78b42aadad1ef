#include "simulation/fault_injector.h"

#include <algorithm>
#include <utility>

#include "simulation/simulated_control.h"
#include "simulation/simulated_engine.h"
#include "simulation/simulated_router.h"

namespace ferryrock::simulation {
namespace {

constexpr const char* kOperatorName = "operator";

template <class Process>
Process& pick(const std::vector<Process*>& processes, std::uint64_t number) {
  return *processes[number % processes.size()];
}

MachineName machineOf(const SimulatedEngine& engine) {
  return engine.settings().machine;
}

}  // namespace

FaultInjector::FaultInjector(SimulationContext& context, FaultTargets targets)
    : context_(context), targets_(std::move(targets)) {}

void FaultInjector::schedule(const FaultPlan& plan) {
  for (const PlannedFault& fault : plan) {
    context_.events.after(fault.at, [this, fault] { inject(fault); });
  }
}

void FaultInjector::count(FaultKind kind) {
  ++context_.faults[static_cast<std::size_t>(kind)];
}

void FaultInjector::later(Duration delay, Callback work) {
  context_.events.after(delay, [this, generation = generation_, work = std::move(work)] {
    if (generation == generation_) {
      work();
    }
  });
}

std::vector<std::string> FaultInjector::names(bool controls, bool routers, bool engines) const {
  std::vector<std::string> list;
  for (const SimulatedControl* control : targets_.controls()) {
    if (controls) {
      list.push_back(control->name());
    }
  }
  for (const SimulatedRouter* router : targets_.routers) {
    if (routers) {
      list.push_back(router->name());
    }
  }
  for (const SimulatedEngine* engine : targets_.engines) {
    if (engines) {
      list.push_back(engine->name());
    }
  }
  return list;
}

bool FaultInjector::everyControlRuns() const {
  const std::vector<SimulatedControl*> controls = targets_.controls();
  return std::all_of(controls.begin(), controls.end(),
                     [](const SimulatedControl* control) { return control->running(); });
}

void FaultInjector::killControl(SimulatedControl& control, Duration down) {
  control.kill();
  later(down, [&control] { control.start(); });
}

void FaultInjector::pause(SimulatedProcess& process, Duration duration) {
  process.pause();
  later(duration, [&process] { process.resume(); });
}

void FaultInjector::cutBetween(const std::vector<std::string>& left, const std::vector<std::string>& right,
                               bool both_ways, Duration duration) {
  const auto each = [left, right, both_ways](const auto& act) {
    for (const std::string& from : left) {
      for (const std::string& to : right) {
        act(from, to);
        if (both_ways) {
          act(to, from);
        }
      }
    }
  };
  each([this](const std::string& from, const std::string& to) { context_.network.cut(from, to); });
  later(duration, [this, each] {
    each([this](const std::string& from, const std::string& to) { context_.network.heal(from, to); });
  });
}

void FaultInjector::killEngine(SimulatedEngine& engine, Duration down) {
  engine.kill();
  later(down, [&engine] { engine.start(); });
}

void FaultInjector::reclaimMachine(SimulatedEngine& engine, const PlannedFault& fault) {
  constexpr Duration kShortestNotice = std::chrono::seconds(1);
  constexpr std::uint64_t kNoticeSpreadSeconds = 8;
  const Duration notice = kShortestNotice + std::chrono::seconds(fault.parameter % kNoticeSpreadSeconds);
  targets_.platform.leave(context_.events.now(), machineOf(engine), notice);
  context_.events.after(notice, [this, &engine, duration = fault.duration] {
    engine.kill();
    targets_.platform.gone(context_.events.now(), machineOf(engine));
    later(duration, [this, &engine] {
      targets_.platform.comeBack(context_.events.now(), machineOf(engine));
      engine.start();
    });
  });
}

void FaultInjector::changeEngine(SimulatedEngine& engine, Duration duration,
                                 const std::function<void(emulator::EngineFaults&)>& begin,
                                 const std::function<void(emulator::EngineFaults&)>& end) {
  engine.changeFaults(begin);
  later(duration, [&engine, end] { engine.changeFaults(end); });
}

void FaultInjector::loseDiskAndRestart(SimulatedControl& control) {
  // A careless restart under the old identity with the empty disk.
  control.kill();
  control.loseDisk();
  control.start();
}

void FaultInjector::loseDiskAndLeader(SimulatedControl& control) {
  constexpr Duration kLag = std::chrono::seconds(2);
  static constexpr Duration kLeaderDown = std::chrono::seconds(6);
  SimulatedControl* leader = nullptr;
  SimulatedControl* lagging = nullptr;
  for (SimulatedControl* each : targets_.controls()) {
    if (each != &control && each->node()->leads()) {
      leader = each;
    } else if (each != &control) {
      lagging = each;
    }
  }
  if (leader == nullptr || lagging == nullptr) {
    loseDiskAndRestart(control);
    return;
  }
  // Of what the leader commits meanwhile only the member with the lost disk had a second copy.
  cutBetween({lagging->name()}, names(true, false, false), true, kLag);
  later(kLag - std::chrono::milliseconds(1), [this, &control, leader] {
    if (!disk_lost_) {
      return;  // replaced already
    }
    killControl(*leader, kLeaderDown);
    loseDiskAndRestart(control);
  });
}

void FaultInjector::loseControlDisk(SimulatedControl& control, const PlannedFault& fault) {
  if (disk_lost_ || targets_.operators.replacing() || !everyControlRuns()) {
    return;
  }
  disk_lost_ = true;
  count(FaultKind::LoseControlDisk);
  constexpr std::uint64_t kVariants = 3;
  switch (fault.parameter % kVariants) {
    case 0:
      control.kill();
      control.loseDisk();
      break;
    case 1:
      loseDiskAndRestart(control);
      break;
    default:
      loseDiskAndLeader(control);
      break;
  }
  context_.events.after(fault.duration, [this, &control] {
    disk_lost_ = false;
    control.kill();
    const MemberId lost = control.member();
    const wire::Member replacement = targets_.replace_control(control);
    targets_.operators.replaceMember(lost, replacement);
  });
}

void FaultInjector::inject(const PlannedFault& fault) {
  context_.trace.write(context_.events.now(), "faults", describe(fault));
  SimulatedControl& control = pick(targets_.controls(), fault.target);
  SimulatedRouter& router = pick(targets_.routers, fault.target);
  SimulatedEngine& engine = pick(targets_.engines, fault.target);
  const auto change = [&](const std::function<void(emulator::EngineFaults&)>& begin,
                          const std::function<void(emulator::EngineFaults&)>& end) {
    changeEngine(engine, fault.duration, begin, end);
  };
  switch (fault.kind) {
    case FaultKind::KillControl:
      killControl(control, fault.duration);
      break;
    case FaultKind::KillControlInWrite: {
      constexpr std::uint64_t kOperationSpread = 12;
      if (!control.running()) {
        return;
      }
      control.crashInNextWrite(fault.parameter % kOperationSpread);
      later(fault.duration + std::chrono::seconds(1), [&control] {
        control.kill();
        control.start();
      });
      break;
    }
    case FaultKind::KillAllControl:
      for (SimulatedControl* each : targets_.controls()) {
        killControl(*each, fault.duration / 4);
      }
      break;
    case FaultKind::PauseControl:
      pause(control, fault.duration);
      break;
    case FaultKind::CutControl: {
      std::vector<std::string> others = names(true, true, true);
      others.emplace_back(kOperatorName);
      std::erase(others, control.name());
      cutBetween({control.name()}, others, true, fault.duration);
      break;
    }
    case FaultKind::CutOneWay: {
      const std::vector<std::string> all = names(true, true, true);
      cutBetween({all[fault.target % all.size()]}, {all[fault.parameter % all.size()]}, false,
                 fault.duration);
      break;
    }
    case FaultKind::LoseControlDisk:
      loseControlDisk(control, fault);
      return;
    case FaultKind::KillRouter:
      router.kill();
      later(fault.duration, [&router] { router.start(); });
      break;
    case FaultKind::PauseRouter:
      pause(router, fault.duration);
      targets_.callers.excuseRequestsAt(router.name());
      break;
    case FaultKind::CutRouterFromControl:
      cutBetween({router.name()}, names(true, false, false), true, fault.duration);
      break;
    case FaultKind::KillEngine:
      killEngine(engine, fault.duration);
      break;
    case FaultKind::KillEngineInLoad:
      engine.changeFaults([](emulator::EngineFaults& faults) { faults.crash_in_load = true; });
      later(fault.duration + std::chrono::seconds(3), [&engine] {
        engine.changeFaults([](emulator::EngineFaults& faults) { faults.crash_in_load = false; });
        engine.start();
      });
      break;
    case FaultKind::CutEngineFromControl:
      cutBetween({engine.name()}, names(true, false, false), true, fault.duration);
      break;
    case FaultKind::CutEngineFromRouters:
      cutBetween({engine.name()}, names(false, true, false), true, fault.duration);
      break;
    case FaultKind::StallEngine:
      change([](emulator::EngineFaults& faults) { faults.stall = true; },
             [](emulator::EngineFaults& faults) { faults.stall = false; });
      break;
    case FaultKind::CutStreams:
      change([n = fault.parameter % 20](emulator::EngineFaults& faults) { faults.cut_after_chunks = n; },
             [](emulator::EngineFaults& faults) { faults.cut_after_chunks.reset(); });
      break;
    case FaultKind::CrossAnswers:
      change([](emulator::EngineFaults& faults) { faults.crossed_answers = true; },
             [](emulator::EngineFaults& faults) { faults.crossed_answers = false; });
      break;
    case FaultKind::DoubleChunks:
      change([](emulator::EngineFaults& faults) { faults.double_chunks = true; },
             [](emulator::EngineFaults& faults) { faults.double_chunks = false; });
      break;
    case FaultKind::RefuseRequests:
      change([](emulator::EngineFaults& faults) { faults.refuse = true; },
             [](emulator::EngineFaults& faults) { faults.refuse = false; });
      break;
    case FaultKind::SlowWeightStore: {
      constexpr double kSlowFactor = 10;
      targets_.store.setSlowFactor(kSlowFactor);
      later(fault.duration, [this] { targets_.store.setSlowFactor(1); });
      break;
    }
    case FaultKind::StopWeightStore:
      targets_.store.setStopped(true);
      later(fault.duration, [this] { targets_.store.setStopped(false); });
      break;
    case FaultKind::ReclaimMachine:
      reclaimMachine(engine, fault);
      break;
    case FaultKind::LoseZone:
      for (SimulatedEngine* each : targets_.engines) {
        if (each->zone() == engine.zone()) {
          killEngine(*each, fault.duration);
        }
      }
      break;
    case FaultKind::DrainEngine:
      targets_.operators.drain(engine.settings().name, true);
      later(fault.duration, [this, &engine] { targets_.operators.drain(engine.settings().name, false); });
      break;
    case FaultKind::ClockDrift: {
      constexpr double kLargestDrift = 0.02;
      constexpr std::uint64_t kSteps = 1001;
      const double drift = kLargestDrift * (static_cast<double>(fault.parameter % kSteps) / 500.0 - 1.0);
      control.setClockDrift(drift);
      break;
    }
    default:
      return;
  }
  count(fault.kind);
}

void FaultInjector::healAll() {
  ++generation_;
  context_.network.healAll();
  targets_.store.setSlowFactor(1);
  targets_.store.setStopped(false);
  for (SimulatedEngine* engine : targets_.engines) {
    targets_.platform.comeBack(context_.events.now(), machineOf(*engine));
    engine->resume();
    engine->start();
    engine->changeFaults([](emulator::EngineFaults& faults) { faults = {}; });
    targets_.operators.drain(engine->settings().name, false);
  }
  for (SimulatedControl* control : targets_.controls()) {
    // An armed crash would fire later; a restart on the same disk disarms it.
    control->kill();
    control->start();
  }
  for (SimulatedRouter* router : targets_.routers) {
    router->resume();
    router->start();
  }
}

}  // namespace ferryrock::simulation
