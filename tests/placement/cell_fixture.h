#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "placement/policies.h"

/// Fixture with a ledger, a planner, manually driven engines and a virtual clock.
namespace ferryrock::placement {

inline constexpr std::uint64_t kGigabyte = 1'000'000'000;

inline wire::ResolvedModel makeModel(const std::string& name, std::uint64_t gigabytes = 40,
                                     std::uint32_t max_replicas = 1) {
  wire::ResolvedModel model;
  model.name = ModelName{name};
  model.base = model.name;
  model.version = ModelVersion{"1"};
  model.weight_bytes = gigabytes * kGigabyte;
  model.max_replicas = max_replicas;
  return model;
}

inline wire::ResolvedModel makeAdapter(const std::string& name, const std::string& base,
                                       std::uint64_t gigabytes = 1) {
  wire::ResolvedModel model = makeModel(name);
  model.base = ModelName{base};
  model.is_adapter = true;
  model.weight_bytes = 0;
  model.adapter_bytes = gigabytes * kGigabyte;
  return model;
}

/// Applies the planner's proposals to the ledger immediately; loads end only when the test calls for it.
class CellFixture {
 public:
  TimePoint now{std::chrono::hours(1)};
  Ledger ledger;
  std::map<ModelName, wire::ResolvedModel> settings;
  std::unique_ptr<Planner> planner;
  std::vector<wire::Command> proposed;
  std::vector<PrefetchEffect> prefetches;
  std::vector<UnloadAdapterEffect> adapter_unloads;

  void addEngine(const std::string& name, const std::string& zone = "zone-1", std::uint32_t accelerators = 1,
                 std::uint64_t incarnation = 1) {
    ledger.apply(wire::RegisterEngineCommand{EngineName{name}, Incarnation{incarnation}, "http://" + name,
                                             MachineName{"machine-" + name}, ZoneName{zone}, accelerators,
                                             80 * kGigabyte});
    if (planner) {
      planner->onEngineChanged(EngineName{name}, now);
    }
  }

  void addModel(const wire::ResolvedModel& model) {
    settings[model.name] = model;
    if (planner) {
      planner->onSettingsChanged({model.name}, now);
    }
  }

  void start(std::optional<PlannerPolicies> policies = std::nullopt) {
    const ModelLookup lookup = [this](const ModelName& name) -> std::optional<wire::ResolvedModel> {
      const auto entry = settings.find(name);
      return entry == settings.end() ? std::nullopt : std::optional<wire::ResolvedModel>(entry->second);
    };
    planner = policies ? createPlanner(ledger, lookup, *std::move(policies), now)
                       : createPlanner(ledger, lookup, now);
    std::vector<ModelName> names;
    for (const auto& [name, model] : settings) {
      names.push_back(name);
    }
    planner->onSettingsChanged(names, now);
  }

  void demand(const std::string& model, std::uint32_t waiting, std::uint32_t running = 0,
              const std::string& router = "router-1", std::int64_t deadline_ms = 60'000) {
    const wire::ModelDemand row{ModelName{model}, waiting, running, waiting > 0 ? deadline_ms : 0,
                                std::uint64_t{waiting}};
    planner->onDemand({NodeName{router}, ++sequence_, {row}}, now);
    settle();
  }

  /// Plans repeatedly until the planner proposes nothing more at the current time.
  void settle() {
    for (int round = 0; round < 100; ++round) {
      const PlannerEffects effects = planner->plan(now);
      for (const PlannerEffect& effect : effects) {
        applyEffect(effect);
      }
      if (effects.empty() && planner->nextDeadline() > now) {
        return;
      }
    }
  }

  /// Advances the clock, planning at every deadline.
  void advance(Duration duration) {
    const TimePoint end = now + duration;
    while (planner->nextDeadline() <= end) {
      now = std::max(now, planner->nextDeadline());
      settle();
      now += std::chrono::milliseconds(1);
    }
    now = end;
    settle();
  }

  wire::CommandResult commit(const wire::Command& command) {
    wire::CommandResult result;
    if (const auto* decide = std::get_if<wire::DecideSlotCommand>(&command)) {
      const auto model = settings.find(decide->slot.model);
      result = ledger.apply(*decide, {model == settings.end() ? 0 : model->second.max_replicas});
      notify(result, result.slot, command);
    } else if (const auto* state = std::get_if<wire::SlotStateCommand>(&command)) {
      result = ledger.apply(*state);
      notify(result, state->slot, command);
    } else if (const auto* adapter = std::get_if<wire::DecideAdapterCommand>(&command)) {
      result = ledger.apply(*adapter);
      notify(result, adapter->slot, command);
    }
    return result;
  }

  void setState(SlotId slot, wire::SlotState state, wire::FreeProof proof = wire::FreeProof::None) {
    commit(wire::SlotStateCommand{slot, state, proof, ledger.slots().at(slot).incarnation});
    settle();
  }

  void unload(SlotId slot) {
    setState(slot, wire::SlotState::Unloading);
    setState(slot, wire::SlotState::Freed, wire::FreeProof::UnloadAcknowledged);
  }

  /// Completes every decided load successfully.
  void finishLoads() {
    for (const SlotId slot : inState(wire::SlotState::Decided)) {
      setState(slot, wire::SlotState::Loading);
      setState(slot, wire::SlotState::Ready);
    }
  }

  /// Unloads every draining replica.
  void finishDrains() {
    for (const SlotId slot : inState(wire::SlotState::Draining)) {
      unload(slot);
    }
  }

  std::vector<SlotId> inState(wire::SlotState state) const {
    std::vector<SlotId> found;
    for (const auto& [id, slot] : ledger.slots()) {
      if (slot.state == state) {
        found.push_back(id);
      }
    }
    return found;
  }

  std::size_t countOf(const std::string& model) const { return ledger.slotsOf(ModelName{model}).size(); }
  const wire::Slot& onlySlotOf(const std::string& model) const {
    return ledger.slots().at(ledger.slotsOf(ModelName{model}).at(0));
  }

 private:
  void applyEffect(const PlannerEffect& effect) {
    if (const auto* propose = std::get_if<ProposeEffect>(&effect)) {
      proposed.push_back(propose->command);
      commit(propose->command);
    } else if (const auto* prefetch = std::get_if<PrefetchEffect>(&effect)) {
      prefetches.push_back(*prefetch);
    } else {
      adapter_unloads.push_back(std::get<UnloadAdapterEffect>(effect));
    }
  }

  void notify(const wire::CommandResult& result, SlotId slot, const wire::Command& command) {
    if (result.code == ResultCode::Ok) {
      planner->onSlotChanged(slot, now);
    } else {
      planner->onProposalRefused(command, now);
    }
  }

  std::uint64_t sequence_ = 0;
};

}  // namespace ferryrock::placement
