#include "load/experiment/simulated_cell.h"

#include <algorithm>

#include "common/error.h"

namespace ferryrock::load::experiment {
namespace {

/// Plans at one instant that propose something, more than which is a fault of the planner.
constexpr int kMaxPlansAtOnce = 10'000;
constexpr Duration kTick = std::chrono::milliseconds(1);

}  // namespace

SimulatedCell::SimulatedCell(const ExperimentSettings& settings, const UsageTrace& trace,
                             placement::PlannerPolicies policies, double cold_start_weight)
    : settings_(settings),
      trace_(trace),
      engines_(settings),
      meter_(TimePoint(settings.requests_lead)),
      replicas_of_(trace.models.size()),
      names_of_(trace.models.size()),
      waiting_(trace.models.size()),
      cold_(trace.models.size()),
      report_scheduled_(settings.routers, false) {
  std::vector<ModelName> names;
  for (std::size_t model = 0; model < trace.models.size(); ++model) {
    resolved_.push_back(trace.models[model].settings);
    resolved_.back().cold_start_weight = cold_start_weight;
    names.push_back(resolved_.back().name);
    index_[names.back()] = model;
    names_of_[trace.models[model].base].insert(model);
  }
  for (std::uint32_t router = 0; router < settings.routers; ++router) {
    demand_.emplace_back(NodeName{"router-" + std::to_string(router + 1)});
  }
  registerEngines();
  const placement::ModelLookup lookup = [this](const ModelName& name) -> std::optional<wire::ResolvedModel> {
    const auto entry = index_.find(name);
    return entry == index_.end() ? std::nullopt
                                 : std::optional<wire::ResolvedModel>(resolved_[entry->second]);
  };
  planner_ = placement::createPlanner(ledger_, lookup, std::move(policies), now_);
  planner_->onSettingsChanged(names, now_);
}

void SimulatedCell::registerEngines() {
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    const emulator::EngineSettings& engine = engines_.settingsOf(index);
    ledger_.apply(wire::RegisterEngineCommand{engine.name, Incarnation{1}, "", engine.machine, engine.zone,
                                              engine.accelerators, engine.bytes_per_accelerator});
  }
}

void SimulatedCell::schedule(TimePoint at, Event event) {
  events_.push({at, ++next_event_, std::move(event)});
}

TimePoint SimulatedCell::nextTime() const {
  TimePoint next = std::max(planner_->nextDeadline(), now_ + kTick);
  if (next_request_ < trace_.requests.size()) {
    next = std::min(next, TimePoint(trace_.requests[next_request_].at));
  }
  if (!events_.empty()) {
    next = std::min(next, events_.top().at);
  }
  if (const auto wakeup = engines_.nextWakeup()) {
    next = std::min(next, *wakeup);
  }
  return std::max(next, now_);
}

ExperimentFigures SimulatedCell::run() {
  const TimePoint end(settings_.length);
  planAt(now_);
  while (nextTime() < end) {
    now_ = nextTime();
    runEventsAt(now_);
    planAt(now_);
  }
  return meter_.figures(end);
}

void SimulatedCell::runEventsAt(TimePoint now) {
  for (const EngineLoadEnd& end_of_load : engines_.tick(now)) {
    onLoadEnd(end_of_load);
  }
  while (!events_.empty() && events_.top().at <= now) {
    const Event event = events_.top().event;
    events_.pop();
    std::visit([this](const auto& due) { handle(due); }, event);
  }
  while (next_request_ < trace_.requests.size() && TimePoint(trace_.requests[next_request_].at) <= now) {
    arrive(next_request_++);
  }
}

void SimulatedCell::planAt(TimePoint now) {
  for (int round = 0; planner_->nextDeadline() <= now; ++round) {
    if (round == kMaxPlansAtOnce) {
      throw Error(ResultCode::Internal, "the planner doesn't come to rest");
    }
    const placement::PlannerEffects effects = planner_->plan(now);
    for (const placement::PlannerEffect& effect : effects) {
      take(effect);
    }
    if (effects.empty()) {
      return;
    }
  }
}

void SimulatedCell::handle(const CommandApplies& event) {
  wire::CommandResult result;
  if (const auto* decide = std::get_if<wire::DecideSlotCommand>(&event.command)) {
    result = ledger_.apply(*decide, {resolved_[indexOf(decide->slot.model)].max_replicas});
    if (result.code == ResultCode::Ok) {
      applied(*decide, result);
    }
  } else if (const auto* state = std::get_if<wire::SlotStateCommand>(&event.command)) {
    result = ledger_.apply(*state);
    if (result.code == ResultCode::Ok) {
      applied(*state);
    }
  } else if (const auto* adapter = std::get_if<wire::DecideAdapterCommand>(&event.command)) {
    result = ledger_.apply(*adapter);
    if (result.code == ResultCode::Ok) {
      applied(*adapter);
    }
  }
  if (result.code != ResultCode::Ok) {
    planner_->onProposalRefused(event.command, now_);
  }
}

void SimulatedCell::handle(const EngineReports& event) {
  planner_->onEngineReport({engines_.settingsOf(event.engine).name, Incarnation{1}, 0, 0,
                            engines_.inMemory(event.engine), engines_.onDisk(event.engine)},
                           now_);
}

void SimulatedCell::handle(const RouterReports& event) {
  report_scheduled_[event.router] = false;
  planner_->onDemand(demand_[event.router].takeReport(resolved_, now_), now_);
}

}  // namespace ferryrock::load::experiment
