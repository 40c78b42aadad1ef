#include "simulation/simulation_run.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "simulation/fault_injector.h"
#include "simulation/oracle.h"
#include "simulation/process_directory.h"
#include "simulation/simulated_control.h"
#include "simulation/simulated_engine.h"
#include "simulation/simulated_router.h"

namespace ferryrock::simulation {
namespace {

constexpr Duration kStartUp = std::chrono::seconds(12);
constexpr Duration kSettling = std::chrono::seconds(30);
constexpr Duration kLastChangeTime = std::chrono::seconds(4);  ///< promised: in force everywhere
constexpr Duration kPlatformInterval = std::chrono::seconds(1);
constexpr std::uint64_t kGigabyte = 1'000'000'000;

wire::TreeNode node(const std::string& name, wire::NodeKind kind, const std::string& parent,
                    std::vector<wire::Setting> settings) {
  std::sort(settings.begin(), settings.end(),
            [](const wire::Setting& left, const wire::Setting& right) { return left.key < right.key; });
  return {name, kind, parent, std::move(settings), ""};
}

/// A small tree: two models that are always loaded, idle ones that don't all fit, adapters, and services of
/// which one may not be repeated.
std::vector<wire::TreeNode> firstTree() {
  using enum wire::NodeKind;
  std::vector<wire::TreeNode> nodes;
  nodes.push_back(node("all", Defaults, "", {{"keep_alive_max", "20s"}, {"deadline", "20s"}}));
  nodes.push_back(
      node("diagnosis", Model, "all",
           {{"weights", "14GB"}, {"cache_reserve", "4GB"}, {"min_replicas", "2"}, {"max_replicas", "4"}}));
  nodes.push_back(
      node("desk", Model, "all",
           {{"weights", "14GB"}, {"cache_reserve", "4GB"}, {"min_replicas", "1"}, {"max_replicas", "2"}}));
  for (int i = 0; i < 8; ++i) {
    nodes.push_back(node("idle-" + std::to_string(i), Model, "all",
                         {{"weights", "30GB"}, {"cache_reserve", "6GB"}, {"max_replicas", "2"}}));
  }
  nodes.push_back(
      node("wide", Model, "all",
           {{"weights", "60GB"}, {"cache_reserve", "10GB"}, {"accelerators", "2"}, {"max_replicas", "1"}}));
  nodes.push_back(node("diagnosis-screw", Adapter, "diagnosis", {{"adapter_size", "200MB"}}));
  nodes.push_back(node("diagnosis-piston", Adapter, "diagnosis", {{"adapter_size", "200MB"}}));
  nodes.push_back(node("parts", Service, "desk", {{"repeatable", "false"}}));
  nodes.push_back(node("summaries", Service, "diagnosis-screw", {{"deadline", "15s"}}));
  return nodes;
}

std::vector<CallerTarget> callerTargets() {
  std::vector<CallerTarget> targets;
  const auto add = [&targets](const std::string& name, const std::string& served, bool repeatable,
                              double weight) {
    targets.push_back({ModelName{name}, ModelName{served}, repeatable, weight});
  };
  add("diagnosis", "diagnosis", true, 6);
  add("desk", "desk", true, 2);
  add("diagnosis-screw", "diagnosis-screw", true, 2);
  add("diagnosis-piston", "diagnosis-piston", true, 1);
  add("summaries", "diagnosis-screw", true, 1);
  add("parts", "desk", false, 4);
  add("wide", "wide", true, 0.3);
  for (int i = 0; i < 8; ++i) {
    const std::string name = "idle-" + std::to_string(i);
    add(name, name, true, 0.3);
  }
  return targets;
}

/// Builds, runs and checks one run.
class Run {
 public:
  explicit Run(const RunSettings& settings);
  RunReport execute();

 private:
  ZoneName zoneOf(std::uint32_t number) const {
    return ZoneName{"zone-" + std::to_string(number % settings_.zones)};
  }
  void buildControls();
  void buildRouters();
  void buildEngines();
  wire::Member replaceControl(SimulatedControl& dead);
  void publishPlatform();
  void settle();
  std::vector<SimulatedControl*> currentControls();

  const RunSettings settings_;
  Random random_;
  EventQueue events_;
  Trace trace_;
  SimulatedNetwork network_;
  Oracle oracle_;
  ProcessDirectory directory_;
  RunReport report_;
  SimulationContext context_;
  SimulatedWeightStore store_;
  std::vector<std::unique_ptr<SimulatedControl>> controls_;
  std::vector<std::unique_ptr<SimulatedControl>> replaced_;
  std::vector<std::unique_ptr<SimulatedRouter>> routers_;
  std::vector<std::unique_ptr<SimulatedEngine>> engines_;
  std::unique_ptr<emulator::PlatformModel> platform_;
  std::unique_ptr<SimulatedOperators> operators_;
  std::unique_ptr<SimulatedCallers> callers_;
  std::unique_ptr<FaultInjector> injector_;
  control::ControlSettings control_settings_;
  std::uint64_t next_member_ = 1;
};

emulator::WeightStoreSettings storeSettings() {
  emulator::WeightStoreSettings settings;
  settings.bytes_per_second = 10 * kGigabyte;
  return settings;
}

Run::Run(const RunSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      trace_(settings.trace),
      network_(events_, Random(random_.next()), NetworkSettings{}),
      oracle_(events_, trace_),
      context_{events_, network_, trace_, oracle_, directory_, report_.faults},
      store_(events_, storeSettings()) {
  buildControls();
  buildRouters();
  buildEngines();
  operators_ = std::make_unique<SimulatedOperators>(context_, Random(random_.next()));
  CallerSettings callers;
  callers.targets = callerTargets();
  callers_ = std::make_unique<SimulatedCallers>(context_, Random(random_.next()), callers);
}

void Run::buildControls() {
  wire::Membership membership;
  for (std::uint32_t i = 0; i < settings_.controls; ++i) {
    wire::Member member;
    member.id = MemberId{next_member_++};
    member.node = NodeName{"control-" + std::to_string(i + 1)};
    member.voter = true;
    membership.members.push_back(member);
  }
  control_settings_.log.initial_membership = membership;
  control_settings_.log.snapshot_after_entries = 300;
  control_settings_.log.defects = settings_.defects.log;
  control_settings_.defects = settings_.defects.control;
  control_settings_.log.retained_entries = 50;
  for (std::uint32_t i = 0; i < settings_.controls; ++i) {
    control::ControlSettings one = control_settings_;
    one.log.id = membership.members[i].id;
    one.log.node = membership.members[i].node;
    controls_.push_back(std::make_unique<SimulatedControl>(context_, one, zoneOf(i), random_.next()));
    directory_.add(*controls_.back());
  }
}

void Run::buildRouters() {
  for (std::uint32_t i = 0; i < settings_.routers; ++i) {
    router::RouterSettings one;
    one.node = NodeName{"router-" + std::to_string(i + 1)};
    one.zone = zoneOf(i);
    for (const auto& control : controls_) {
      one.control_members.emplace_back(control->name());
    }
    routers_.push_back(
        std::make_unique<SimulatedRouter>(context_, one, settings_.defects.router, random_.next()));
    directory_.add(*routers_.back());
  }
}

void Run::buildEngines() {
  emulator::PlatformSettings platform;
  for (std::uint32_t i = 0; i < settings_.engines; ++i) {
    emulator::EngineSettings one;
    one.name = EngineName{"engine-" + std::to_string(i + 1)};
    one.machine = MachineName{"machine-" + std::to_string(i + 1)};
    one.zone = zoneOf(i);
    engines_.push_back(std::make_unique<SimulatedEngine>(context_, store_, one, random_.next()));
    engines_.back()->setIgnoresFences(settings_.defects.engines_ignore_fences);
    directory_.add(*engines_.back());
    platform.machines.push_back({one.machine, one.name, "http://" + one.name.value, one.zone});
  }
  platform_ = std::make_unique<emulator::PlatformModel>(platform, events_.now());
}

wire::Member Run::replaceControl(SimulatedControl& dead) {
  control::ControlSettings one = control_settings_;
  one.log.id = MemberId{next_member_++};
  one.log.node = NodeName{dead.name()};
  one.log.bootstrap = false;
  const auto place = std::find_if(controls_.begin(), controls_.end(),
                                  [&dead](const auto& control) { return control.get() == &dead; });
  directory_.remove(dead);
  auto replacement = std::make_unique<SimulatedControl>(context_, one, dead.zone(), random_.next());
  replaced_.push_back(std::exchange(*place, std::move(replacement)));
  directory_.add(**place);
  (*place)->start();
  wire::Member member;
  member.id = one.log.id;
  member.node = one.log.node;
  return member;
}

std::vector<SimulatedControl*> Run::currentControls() {
  std::vector<SimulatedControl*> list;
  for (const auto& control : controls_) {
    list.push_back(control.get());
  }
  return list;
}

void Run::publishPlatform() {
  platform_->tick(events_.now());
  const control::MachineList list = platform_->list(events_.now());
  std::vector<router::LeavingEngine> leaving;
  for (const control::MachineRecord& machine : list.machines) {
    if (machine.state != control::MachineState::Live) {
      leaving.push_back({machine.engine, std::nullopt});
    }
  }
  for (const auto& control : controls_) {
    control->perform([process = control.get(), list] { process->machineList(list); });
  }
  for (const auto& router : routers_) {
    router->perform([process = router.get(), leaving] { process->leavingEngines(leaving); });
  }
  events_.after(kPlatformInterval, [this] { publishPlatform(); });
}

RunReport Run::execute() {
  report_.seed = settings_.seed;
  for (const auto& control : controls_) {
    control->start();
  }
  for (const auto& engine : engines_) {
    engine->start();
  }
  for (const auto& router : routers_) {
    router->start();
  }
  publishPlatform();
  operators_->applyFirst(firstTree());
  const TimePoint end_of_load = events_.now() + kStartUp + settings_.faults_for;
  events_.after(settings_.callers_from, [this, end_of_load] { callers_->run(end_of_load); });
  operators_->run(events_.now() + kStartUp + settings_.faults_for, std::chrono::seconds(5));

  FaultPlanSettings plan_settings;
  plan_settings.begin = kStartUp;
  plan_settings.end = kStartUp + settings_.faults_for;
  report_.plan = settings_.plan ? *settings_.plan : makeFaultPlan(plan_settings, random_);
  FaultTargets targets{{}, {}, store_, *platform_, *operators_, *callers_, nullptr, nullptr};
  targets.replace_control = [this](SimulatedControl& dead) { return replaceControl(dead); };
  for (const auto& router : routers_) {
    targets.routers.push_back(router.get());
  }
  for (const auto& engine : engines_) {
    targets.engines.push_back(engine.get());
  }
  targets.controls = [this] { return currentControls(); };
  injector_ = std::make_unique<FaultInjector>(context_, std::move(targets));
  injector_->schedule(report_.plan);

  const TimePoint end_of_faults = events_.now() + kStartUp + settings_.faults_for;
  constexpr Duration kStep = std::chrono::milliseconds(200);
  while (events_.now() < end_of_faults && !oracle_.failed()) {
    events_.runUntil(events_.now() + kStep);
  }
  if (!oracle_.failed()) {
    settle();
  }
  report_.passed = !oracle_.failed();
  report_.violation = oracle_.violation();
  report_.trace_digest = trace_.digest();
  report_.events = events_.executed();
  report_.requests = oracle_.requests().counts();
  report_.changes_accepted = operators_->accepted();
  report_.changes_in_conflict = operators_->conflicts();
  report_.messages_dropped = network_.dropped();
  report_.messages_doubled = network_.doubled();
  report_.entries_committed = oracle_.committed().lastIndex().value;
  for (const auto& control : controls_) {
    report_.torn_writes += control->disk().tornWrites();
  }
  return report_;
}

void Run::settle() {
  injector_->healAll();
  constexpr Duration kStep = std::chrono::milliseconds(100);
  const TimePoint settled = events_.now() + kSettling;
  while (events_.now() < settled && !oracle_.failed()) {
    events_.runUntil(events_.now() + kStep);
  }
  if (oracle_.failed()) {
    return;
  }
  oracle_.requests().checkNoneOpen(events_.now());
  const TreeVersion before = oracle_.committed().treeVersion();
  operators_->change(false, false);
  const TimePoint begin = events_.now();
  std::optional<TimePoint> accepted;
  while (events_.now() < begin + 2 * kLastChangeTime && !oracle_.failed()) {
    events_.runUntil(events_.now() + kStep);
    const TreeVersion newest = oracle_.committed().treeVersion();
    if (newest == before) {
      continue;
    }
    accepted = accepted.value_or(events_.now());
    const bool everywhere = std::all_of(routers_.begin(), routers_.end(), [newest](const auto& router) {
      return router->running() && router->node()->treeVersion() == newest;
    });
    const bool on_every_member =
        std::all_of(controls_.begin(), controls_.end(), [newest](const auto& control) {
          return control->running() && control->node()->catalog().version() == newest;
        });
    if (everywhere && on_every_member) {
      report_.settled_change = events_.now() - *accepted;
      return;
    }
  }
  oracle_.fail(accepted ? "a change wasn't in force everywhere after all faults had ended"
                        : "no change was accepted after all faults had ended");
}

}  // namespace

RunReport run(const RunSettings& settings) {
  return Run(settings).execute();
}

FaultPlan shrink(const RunSettings& settings, const FaultPlan& failing, std::uint32_t maximum_runs) {
  FaultPlan smallest = failing;
  std::size_t chunk = std::max<std::size_t>(1, smallest.size() / 2);
  std::uint32_t runs = 0;
  while (runs < maximum_runs) {
    bool removed = false;
    for (std::size_t begin = 0; begin < smallest.size() && runs < maximum_runs;) {
      FaultPlan candidate = smallest;
      const std::size_t end = std::min(begin + chunk, candidate.size());
      candidate.erase(candidate.begin() + static_cast<std::ptrdiff_t>(begin),
                      candidate.begin() + static_cast<std::ptrdiff_t>(end));
      RunSettings trial = settings;
      trial.plan = candidate;
      trial.trace = nullptr;
      ++runs;
      if (run(trial).passed) {
        begin += chunk;
      } else {
        smallest = std::move(candidate);
        removed = true;
      }
    }
    if (chunk == 1 && !removed) {
      break;
    }
    chunk = std::max<std::size_t>(1, chunk / 2);
  }
  return smallest;
}

}  // namespace ferryrock::simulation
