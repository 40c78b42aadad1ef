#include <algorithm>

#include "load/experiment/simulated_cell.h"

namespace ferryrock::load::experiment {

using emulator::Checkpoint;
using emulator::LoadPurpose;
using emulator::LoadTarget;

void SimulatedCell::propose(wire::Command command) {
  schedule(now_ + settings_.commit_delay, CommandApplies{std::move(command)});
}

void SimulatedCell::take(const placement::PlannerEffect& effect) {
  if (const auto* proposal = std::get_if<placement::ProposeEffect>(&effect)) {
    propose(proposal->command);
  } else if (const auto* unload = std::get_if<placement::UnloadAdapterEffect>(&effect)) {
    const auto replica = replicas_.find(unload->slot);
    if (replica != replicas_.end()) {
      replica->second.adapters.erase(indexOf(unload->adapter));
      schedule(now_ + settings_.engine.adapter_overhead, AdapterUnloadEnds{unload->slot, unload->adapter});
    }
  } else if (const auto* prefetch = std::get_if<placement::PrefetchEffect>(&effect)) {
    const wire::ResolvedModel& model = resolved_[indexOf(prefetch->model)];
    for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
      if (engines_.settingsOf(engine).name == prefetch->engine) {
        engines_.startLoad(now_, engine, {LoadPurpose::Prefetch, SlotId{}, prefetch->model, prefetch->to},
                           {model.name, model.version, model.weight_bytes * model.accelerators});
      }
    }
  }
}

void SimulatedCell::applied(const wire::DecideSlotCommand& command, const wire::CommandResult& result) {
  const std::size_t base = indexOf(command.slot.model);
  const wire::ResolvedModel& model = resolved_[base];
  Replica replica;
  replica.base = base;
  while (engines_.settingsOf(replica.engine).name != command.slot.engine) {
    replica.engine += 1;
  }
  if (trace_.models[base].rarely_used) {
    replica.share = static_cast<double>(command.slot.accelerators.size()) *
                    static_cast<double>(command.slot.bytes_per_accelerator) /
                    static_cast<double>(settings_.engine.bytes_per_accelerator);
  }
  meter_.addHeld(now_, replica.share);
  replicas_[result.slot] = replica;
  replicas_of_[base].insert(result.slot);
  planner_->onSlotChanged(result.slot, now_);
  engines_.startLoad(now_, replica.engine, {LoadPurpose::Slot, result.slot, ModelName{}},
                     {model.name, model.version, model.weight_bytes * model.accelerators});
  propose(wire::SlotStateCommand{result.slot, wire::SlotState::Loading, wire::FreeProof::None,
                                 command.slot.incarnation});
}

void SimulatedCell::applied(const wire::SlotStateCommand& command) {
  planner_->onSlotChanged(command.slot, now_);
  switch (command.state) {
    case wire::SlotState::Ready:
      replicas_.at(command.slot).ready = true;
      onReplicaReady(replicas_.at(command.slot));
      break;
    case wire::SlotState::Draining:
    case wire::SlotState::Unloading:
      endReplica(command.slot);
      break;
    case wire::SlotState::Freed: {
      const Replica& replica = replicas_.at(command.slot);
      meter_.addHeld(now_, -replica.share);
      replicas_of_[replica.base].erase(command.slot);
      replicas_.erase(command.slot);
      break;
    }
    default:
      break;
  }
}

void SimulatedCell::applied(const wire::DecideAdapterCommand& command) {
  planner_->onSlotChanged(command.slot, now_);
  const auto replica = replicas_.find(command.slot);
  if (command.remove || replica == replicas_.end()) {
    return;
  }
  const wire::ResolvedModel& adapter = resolved_[indexOf(command.adapter)];
  engines_.startLoad(now_, replica->second.engine, {LoadPurpose::Adapter, command.slot, command.adapter},
                     {adapter.name, adapter.version, adapter.adapter_bytes});
}

void SimulatedCell::endReplica(SlotId slot) {
  Replica& replica = replicas_.at(slot);
  if (!replica.ready) {
    engines_.cancelSlot(now_, replica.engine, slot);
  }
  replica.ending = true;
  unloadIfEmpty(slot);
}

void SimulatedCell::unloadIfEmpty(SlotId slot) {
  Replica& replica = replicas_.at(slot);
  if (!replica.ending || replica.unloading || replica.running > 0) {
    return;
  }
  replica.unloading = true;
  propose(wire::SlotStateCommand{slot, wire::SlotState::Unloading, wire::FreeProof::None, Incarnation{1}});
  schedule(now_ + settings_.commit_delay + settings_.engine.unload_time, UnloadEnds{slot});
}

void SimulatedCell::handle(const UnloadEnds& event) {
  propose(wire::SlotStateCommand{event.slot, wire::SlotState::Freed, wire::FreeProof::UnloadAcknowledged,
                                 Incarnation{1}});
}

void SimulatedCell::handle(const AdapterUnloadEnds& event) {
  propose(wire::DecideAdapterCommand{event.slot, event.adapter, 0, true});
}

void SimulatedCell::onLoadEnd(const EngineLoadEnd& end) {
  schedule(now_ + settings_.report_delay, EngineReports{end.engine});
  switch (end.load.target.purpose) {
    case LoadPurpose::Slot:
      onSlotLoaded(end);
      break;
    case LoadPurpose::Adapter: {
      const auto replica = replicas_.find(end.load.target.slot);
      if (replica != replicas_.end()) {
        replica->second.adapters.insert(indexOf(end.load.target.adapter));
        onReplicaReady(replica->second);
      }
      break;
    }
    case LoadPurpose::Prefetch:
      break;
  }
}

void SimulatedCell::onSlotLoaded(const EngineLoadEnd& end) {
  const SlotId slot = end.load.target.slot;
  const bool from_store = end.load.from == emulator::CheckpointTier::Remote;
  if (trace_.models[replicas_.at(slot).base].rarely_used) {
    meter_.onLoad(now_, from_store);
  }
  planner_->onLoadObserved(
      {slot, engines_.settingsOf(end.engine).name, end.load.from, end.load.checkpoint.bytes, end.load.took,
       end.concurrent_remote_loads, end.load.succeeded},
      now_);
  if (!replicas_.at(slot).ending) {
    propose(wire::SlotStateCommand{slot, wire::SlotState::Ready, wire::FreeProof::None, Incarnation{1}});
  }
}

}  // namespace ferryrock::load::experiment
