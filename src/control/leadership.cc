#include "control/leadership.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ferryrock::control {
namespace {

/// Plans keep this distance: what many routers report in the meantime is planned once.
constexpr Duration kPlanInterval = std::chrono::milliseconds(20);
/// Routers known from the time before this term that one step takes up, and the pause until the next step: a
/// new leader that took up all at once would be silent for longer than an election takes.
constexpr std::size_t kRoutersPerStep = 4;
constexpr Duration kTakeUpPause = std::chrono::milliseconds(2);

/// Until the updates that one step left over go on.
constexpr Duration kFlushPause = std::chrono::milliseconds(1);

/// Only base models are planned for; what depends on them is looked up once it is asked for.
std::vector<ModelName> baseModels(const catalog::SettingsTree& tree) {
  std::vector<ModelName> models;
  for (const auto& [name, node] : tree.nodes()) {
    if (node.kind == wire::NodeKind::Model) {
      models.emplace_back(name);
    }
  }
  return models;
}

}  // namespace

Leadership::Leadership(Term term, MemberId leader, const EngineControllerSettings& settings,
                       const ReplicatedState& state, const RouterRegistry& registry, TimePoint now)
    : term_(term),
      state_(state),
      registry_(registry),
      planner_(placement::createPlanner(
          state.ledger(),
          [&state](const ModelName& name) { return state.catalog().tree().resolveModel(name); }, now)),
      engines_(term, settings, state, now),
      entries_(state, engines_, *planner_),
      publisher_(term, leader, entries_),
      claims_(state.claims(), now) {
  planner_->onSettingsChanged(baseModels(state.catalog().tree()), now);
  for (const auto& [name, record] : registry.routers()) {
    routers_to_take_up_.insert(name);
  }
  next_take_up_ = now;
}

void Leadership::takeUpRouters(TimePoint now) {
  if (now < next_take_up_) {
    return;
  }
  const StatusNews first{true, false, {}, {}};
  for (std::size_t taken = 0; taken < kRoutersPerStep && !routers_to_take_up_.empty(); ++taken) {
    const NodeName router = *routers_to_take_up_.begin();
    routers_to_take_up_.erase(routers_to_take_up_.begin());
    if (const RouterRecord* record = registry_.find(router)) {
      publisher_.onStatus(*record, first, now);
    }
  }
  next_take_up_ = now + kTakeUpPause;
}

void Leadership::onApplied(const wire::Command& command, const AppliedChange& change, TimePoint now) {
  if (change.tree_changed) {
    publisher_.onTreeVersion();
    planner_->onSettingsChanged(change.changed_models, now);
  }
  for (const EngineName& engine : change.changed_engines) {
    planner_->onEngineChanged(engine, now);
    engines_to_step_.push_back(engine);
  }
  for (const SlotId id : change.changed_slots) {
    planner_->onSlotChanged(id, now);
    const wire::Slot* slot = state_.ledger().findSlot(id);
    if (slot != nullptr) {
      engines_to_step_.push_back(slot->engine);
    }
  }
  for (const ModelName& name : change.changed_models) {
    publisher_.refreshName(name, now);
  }
  for (const ModelName& base : change.changed_bases) {
    publisher_.refreshBase(base, now);
  }
  const bool claim = std::holds_alternative<wire::ClaimCommand>(command) ||
                     std::holds_alternative<wire::RecordOutcomeCommand>(command);
  planning_wanted_ = planning_wanted_ || !claim;
}

void Leadership::onProposalRefused(const wire::Command& command, TimePoint now) {
  planner_->onProposalRefused(command, now);
  planning_wanted_ = true;
}

void Leadership::onStatus(const RouterRecord& record, const StatusNews& news, TimePoint now) {
  if (news.replaced) {
    planner_->onRouterGone(record.router, now);
    claims_.onRouterGone(record.router);
  }
  routers_to_take_up_.erase(record.router);
  publisher_.onStatus(record, news, now);
}

void Leadership::onRouterGone(const NodeName& router, TimePoint now) {
  planner_->onRouterGone(router, now);
  routers_to_take_up_.erase(router);
  publisher_.onRouterGone(router);
  claims_.onRouterGone(router);
  planning_wanted_ = true;
}

void Leadership::onDemand(const wire::DemandReport& report, TimePoint now) {
  planner_->onDemand(report, now);
  planning_wanted_ = true;
  for (const wire::ModelDemand& demand : report.demand) {
    if (demand.waiting > 0) {
      waited_for_.insert(demand.model);
    }
  }
}

void Leadership::onEngineAnswer(const EngineAnswer& answer, bool has_lease, TimePoint now) {
  take(engines_.onAnswer(answer, has_lease, now), now);
}

void Leadership::onMachineList(const MachineList& list, bool has_lease, TimePoint now) {
  take(engines_.onMachineList(list, has_lease, now), now);
}

void Leadership::take(ControllerOutput output, TimePoint now) {
  std::move(output.effects.begin(), output.effects.end(), std::back_inserter(output_.engine_effects));
  for (wire::Command& command : output.commands) {
    output_.proposals.push_back({std::move(command), LeaderOrigin{}});
  }
  for (const PlannerNews& news : output.news) {
    tell(news, now);
  }
  for (const EngineName& engine : output.changed) {
    refreshEngine(engine, now);
  }
}

void Leadership::tell(const PlannerNews& news, TimePoint now) {
  if (const auto* report = std::get_if<placement::EngineReport>(&news)) {
    planner_->onEngineReport(*report, now);
  } else if (const auto* load = std::get_if<placement::LoadObservation>(&news)) {
    planner_->onLoadObserved(*load, now);
  } else if (const auto* silent = std::get_if<EngineName>(&news)) {
    planner_->onEngineUnreachable(*silent, now);
  } else if (const auto* leaving = std::get_if<MachineLeavingNews>(&news)) {
    planner_->onMachineLeaving(leaving->machine, leaving->left, now);
  }
  planning_wanted_ = true;
}

void Leadership::refreshEngine(const EngineName& engine, TimePoint now) {
  std::vector<ModelName> bases;
  for (const SlotId id : state_.ledger().slotsOn(engine)) {
    const ModelName& base = state_.ledger().findSlot(id)->model;
    if (std::find(bases.begin(), bases.end(), base) == bases.end()) {
      bases.push_back(base);
      publisher_.refreshBase(base, now);
    }
  }
}

void Leadership::plan(TimePoint now) {
  planning_wanted_ = false;
  next_plan_ = now + kPlanInterval;
  for (placement::PlannerEffect& effect : planner_->plan(now)) {
    if (auto* proposal = std::get_if<placement::ProposeEffect>(&effect)) {
      output_.proposals.push_back({std::move(proposal->command), PlannerOrigin{}});
    } else if (const auto* prefetch = std::get_if<placement::PrefetchEffect>(&effect)) {
      engines_.prefetch(*prefetch, now);
    } else if (const auto* unload = std::get_if<placement::UnloadAdapterEffect>(&effect)) {
      engines_.unloadAdapter(*unload, now);
    }
  }
}

void Leadership::refreshWaitedFor(TimePoint now) {
  for (const ModelName& name : waited_for_) {
    publisher_.refreshName(name, now);
  }
  waited_for_.clear();
}

LeaderOutput Leadership::step(bool has_lease, TimePoint now) {
  const std::vector<EngineName> engines = std::exchange(engines_to_step_, {});
  for (const EngineName& engine : engines) {
    take(engines_.onLedgerChanged(engine, has_lease, now), now);
  }
  if (now >= planDeadline()) {
    plan(now);
    refreshWaitedFor(now);
  }
  take(engines_.tick(has_lease, now), now);
  for (wire::Command& command : claims_.tick(now)) {
    output_.proposals.push_back({std::move(command), LeaderOrigin{}});
  }
  takeUpRouters(now);
  next_flush_ = now + (has_lease ? kFlushPause : kPlanInterval);
  if (has_lease) {
    std::vector<wire::SendEffect> updates = publisher_.flush(now);
    std::move(updates.begin(), updates.end(), std::back_inserter(output_.sends));
  }
  return std::exchange(output_, {});
}

TimePoint Leadership::planDeadline() const {
  return planning_wanted_ ? next_plan_ : std::max(next_plan_, planner_->nextDeadline());
}

TimePoint Leadership::nextDeadline() const {
  const TimePoint take_up = routers_to_take_up_.empty() ? TimePoint::max() : next_take_up_;
  const TimePoint flush = publisher_.hasUpdates() ? next_flush_ : TimePoint::max();
  return std::min({planDeadline(), take_up, flush, engines_.nextDeadline(), claims_.nextDeadline()});
}

}  // namespace ferryrock::control
