#include "control/replicated_state.h"

#include <algorithm>

#include "wire/codec.h"

namespace ferryrock::control {

/// Not in the unnamed namespace, where its comparison would be an unused function.
struct StoredState {
  std::string catalog;
  std::string ledger;
  std::string claims;
  std::string hosted;
  FERRYROCK_FIELDS(StoredState, catalog, ledger, claims, hosted)
};

AppliedChange ReplicatedState::apply(const wire::Command& command) {
  AppliedChange change;
  std::visit([this, &change](const auto& typed) { applyTo(change, typed); }, command);
  return change;
}

void ReplicatedState::applyTo(AppliedChange&, const wire::NoOperationCommand&) {}

void ReplicatedState::applyTo(AppliedChange& change, const wire::ChangeTreeCommand& command) {
  const TreeVersion before = catalog_.version();
  change.result = catalog_.apply(command, ledger_.largestAcceleratorBytes());
  change.tree_changed = catalog_.version() != before;
  if (change.tree_changed) {
    change.changed_models = catalog_.lastChangedModels();
  }
}

void ReplicatedState::noteSlot(AppliedChange& change, SlotId slot) const {
  const wire::Slot* known = ledger_.findSlot(slot);
  if (known == nullptr) {
    return;
  }
  change.changed_slots.push_back(slot);
  if (std::find(change.changed_bases.begin(), change.changed_bases.end(), known->model) ==
      change.changed_bases.end()) {
    change.changed_bases.push_back(known->model);
  }
}

void ReplicatedState::noteSlotsOn(AppliedChange& change, const EngineName& engine) const {
  for (const SlotId slot : ledger_.slotsOn(engine)) {
    if (std::find(change.changed_slots.begin(), change.changed_slots.end(), slot) ==
        change.changed_slots.end()) {
      noteSlot(change, slot);
    }
  }
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::RegisterEngineCommand& command) {
  noteSlotsOn(change, command.engine);
  change.changed_engines.push_back(command.engine);
  change.result = ledger_.apply(command);
  noteSlotsOn(change, command.engine);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::RemoveMachineCommand& command) {
  for (const auto& [name, engine] : ledger_.engines()) {
    if (engine.machine == command.machine) {
      noteSlotsOn(change, name);
      change.changed_engines.push_back(name);
    }
  }
  change.result = ledger_.apply(command);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::DecideSlotCommand& command) {
  const auto model = catalog_.tree().resolveModel(command.slot.model);
  if (!model || model->base != command.slot.model) {
    change.result.code = ResultCode::UnknownModel;
    change.result.detail = "no model '" + command.slot.model.value + "' to decide a replica of";
    return;
  }
  change.result = ledger_.apply(command, placement::ModelLimits{model->max_replicas});
  if (change.result.code == ResultCode::Ok) {
    noteSlot(change, change.result.slot);
  }
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::DecideAdapterCommand& command) {
  noteSlot(change, command.slot);
  change.result = ledger_.apply(command);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::SlotStateCommand& command) {
  noteSlot(change, command.slot);
  change.result = ledger_.apply(command);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::DrainEngineCommand& command) {
  change.result = ledger_.apply(command);
  noteSlotsOn(change, command.engine);
  change.changed_engines.push_back(command.engine);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::ClaimCommand& command) {
  change.result = claims_.apply(command);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::RecordOutcomeCommand& command) {
  change.result = claims_.apply(command);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::ExpireClaimsCommand& command) {
  change.result = claims_.apply(command);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::ReplaceCatalogCommand& command) {
  change.result = hosted_.apply(command);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::ReplicaLeavingCommand& command) {
  change.result = hosted_.apply(command);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::QuarantineCallCommand& command) {
  change.result = hosted_.apply(command);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::ReleaseCallCommand& command) {
  change.result = hosted_.apply(command);
}

void ReplicatedState::applyTo(AppliedChange& change, const wire::EvacuateZoneCommand& command) {
  change.result = hosted_.apply(command);
}

std::string ReplicatedState::serialize(bool with_change_outcomes) const {
  return wire::encode(StoredState{catalog_.serialize(with_change_outcomes), ledger_.serialize(),
                                  claims_.serialize(), hosted_.serialize()});
}

void ReplicatedState::restore(std::string_view bytes) {
  const auto stored = wire::decode<StoredState>(bytes);
  catalog_.restore(stored.catalog);
  ledger_.restore(stored.ledger);
  claims_.restore(stored.claims);
  hosted_.restore(stored.hosted);
}

}  // namespace ferryrock::control
