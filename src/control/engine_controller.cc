#include "control/engine_controller.h"

#include <algorithm>
#include <utility>

namespace ferryrock::control {
namespace {

/// Pause after an engine wasn't reached.
constexpr Duration kRetryPause = std::chrono::milliseconds(500);
/// A new leader calls the engines one after the other at this distance, and steps no more of them at once:
/// with many it would otherwise be silent for longer than an election takes.
constexpr Duration kTakeUpPause = std::chrono::microseconds(400);
constexpr std::size_t kEnginesPerTick = 64;
/// An answer that didn't come within this time, on top of the poll's own wait, never will.
constexpr Duration kAnswerTimeout = std::chrono::seconds(15);
/// Commands about an engine or a machine are proposed again after this time.
constexpr Duration kProposalRepeat = std::chrono::seconds(2);
/// Engine-wide orders are repeated after this time.
constexpr Duration kDrainRepeat = std::chrono::seconds(1);
/// Prefetches beyond this are dropped: they only hint.
constexpr std::size_t kMaximumPrefetches = 16;

void append(ControllerOutput& output, SlotNews news) {
  for (wire::Command& command : news.commands) {
    output.commands.push_back(std::move(command));
  }
  for (const placement::LoadObservation& load : news.loads) {
    output.news.emplace_back(load);
  }
}

placement::EngineReport reportOf(const EngineState& state) {
  return {state.engine, state.incarnation, state.running, state.waiting, state.in_memory, state.on_disk};
}

/// True when routers are told the same of the engine's replicas by both states.
bool sameForRouters(const EngineState& before, const EngineState& after) {
  const auto same_slot = [](const HeldSlot& left, const HeldSlot& right) {
    return left.slot == right.slot && left.adapters == right.adapters;
  };
  return before.incarnation == after.incarnation && before.draining == after.draining &&
         std::equal(before.slots.begin(), before.slots.end(), after.slots.begin(), after.slots.end(),
                    same_slot);
}

bool sameRegistration(const placement::EngineRecord& record, const EngineState& state,
                      const std::string& url) {
  return record.incarnation == state.incarnation && record.url == url && record.machine == state.machine &&
         record.zone == state.zone && record.accelerators == state.accelerators &&
         record.bytes_per_accelerator == state.bytes_per_accelerator;
}

}  // namespace

EngineController::EngineController(Term term, const EngineControllerSettings& settings,
                                   const ReplicatedState& state, TimePoint now)
    : term_(term), settings_(settings), state_(state) {
  TimePoint wake = now;
  for (const auto& [name, record] : state_.ledger().engines()) {
    wakeAt(engineNamed(name, record.url, now), wake);
    wake += kTakeUpPause;
  }
}

EngineController::Engine& EngineController::engineNamed(const EngineName& name, const std::string& url,
                                                        TimePoint now) {
  const auto [position, first] = engines_.try_emplace(name);
  Engine& engine = position->second;
  if (first) {
    engine.name = name;
    engine.last_reached = now;
    engine.wake = now;
    wakes_.insert({now, name});
  }
  engine.url = url;
  return engine;
}

ControllerOutput EngineController::onMachineList(const MachineList& list, bool may_order, TimePoint now) {
  ControllerOutput output;
  for (const MachineRecord& record : list.machines) {
    if (record.engine.empty() || record.url.empty()) {
      continue;
    }
    Engine& engine = engineNamed(record.engine, record.url, now);
    const bool changed = engine.machine_state != record.state;
    engine.machine_state = record.state;
    if (record.state == MachineState::Leaving) {
      std::optional<Duration> left;
      if (record.leaves_in_ms) {
        left = std::chrono::milliseconds(*record.leaves_in_ms);
      }
      output.news.emplace_back(MachineLeavingNews{record.machine, left});
    }
    if (record.state == MachineState::Gone) {
      removeGoneMachine(engine, record, list, now, output);
    }
    if (changed) {
      output.changed.push_back(record.engine);
      step(engine, may_order, now, output);
    }
  }
  return output;
}

void EngineController::removeGoneMachine(const Engine& engine, const MachineRecord& record,
                                         const MachineList& list, TimePoint now, ControllerOutput& output) {
  const Duration gone_for = std::chrono::milliseconds(record.since_ms);
  const Duration needed = std::chrono::milliseconds(list.lag_ms) + settings_.machine_gone_margin;
  const bool registered = state_.ledger().findEngine(record.engine) != nullptr;
  if (!registered || gone_for <= needed || isReachable(engine.name, now)) {
    return;
  }
  const auto [position, first] = removals_proposed_.try_emplace(record.machine, now);
  if (!first && now < position->second + kProposalRepeat) {
    return;
  }
  position->second = now;
  output.commands.emplace_back(wire::RemoveMachineCommand{record.machine});
}

ControllerOutput EngineController::onAnswer(const EngineAnswer& answer, bool may_order, TimePoint now) {
  ControllerOutput output;
  const auto found = engines_.find(answer.engine);
  if (found == engines_.end()) {
    return output;
  }
  Engine& engine = found->second;
  const bool is_poll = answer.call == EngineCall::Poll;
  (is_poll ? engine.poll_sent : engine.call_sent).reset();
  if (!answer.reached) {
    (is_poll ? engine.retry_poll_at : engine.retry_call_at) = now + kRetryPause;
    step(engine, may_order, now, output);
    return output;
  }
  engine.last_reached = now;
  engine.reported_unreachable = false;
  if (answer.code == ResultCode::FenceTooLow || answer.code == ResultCode::WrongIncarnation) {
    engine.fence_raised = false;
    engine.retry_call_at = now + kRetryPause;
  }
  if (answer.call == EngineCall::Order && answer.code == ResultCode::UnknownSlot) {
    engine.orders.unloadFoundNothing(answer.fence);
  }
  if (answer.state) {
    takeState(engine, *answer.state, output, now);
  }
  step(engine, may_order, now, output);
  return output;
}

void EngineController::takeState(Engine& engine, const EngineState& state, ControllerOutput& output,
                                 TimePoint now) const {
  const bool restarted = engine.state && state.incarnation > engine.state->incarnation;
  const bool older =
      engine.state && !restarted &&
      (state.incarnation < engine.state->incarnation || state.state_version < engine.state->state_version ||
       state.highest_fence < engine.state->highest_fence);
  if (older) {
    return;
  }
  if (restarted) {
    engine.orders = SlotOrders{};
  }
  const bool same = engine.state && sameForRouters(*engine.state, state);
  engine.state = state;
  engine.state->engine = engine.name;
  engine.fence_raised = state.highest_fence.term == term_ || settings_.defects.order_without_fence;
  output.news.emplace_back(reportOf(*engine.state));
  if (!same) {
    output.changed.push_back(engine.name);
  }
  registerEngine(engine, now, output);
}

void EngineController::registerEngine(Engine& engine, TimePoint now, ControllerOutput& output) const {
  const placement::EngineRecord* record = state_.ledger().findEngine(engine.name);
  const bool older = record != nullptr && engine.state->incarnation < record->incarnation;
  const bool registered = record != nullptr && sameRegistration(*record, *engine.state, engine.url);
  const bool proposed = engine.registration_proposed && now < *engine.registration_proposed + kProposalRepeat;
  if (older || registered || proposed || engine.machine_state == MachineState::Gone) {
    return;
  }
  engine.registration_proposed = now;
  wire::RegisterEngineCommand command;
  command.engine = engine.name;
  command.incarnation = engine.state->incarnation;
  command.url = engine.url;
  command.machine = engine.state->machine;
  command.zone = engine.state->zone;
  command.accelerators = engine.state->accelerators;
  command.bytes_per_accelerator = engine.state->bytes_per_accelerator;
  output.commands.emplace_back(command);
}

ControllerOutput EngineController::onLedgerChanged(const EngineName& engine, bool may_order, TimePoint now) {
  ControllerOutput output;
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    found->second.registration_proposed.reset();
    step(found->second, may_order, now, output);
  }
  return output;
}

ControllerOutput EngineController::tick(bool may_order, TimePoint now) {
  ControllerOutput output;
  for (std::size_t steps = 0; steps < kEnginesPerTick && !wakes_.empty() && wakes_.begin()->first <= now;
       ++steps) {
    step(engines_.at(wakes_.begin()->second), may_order, now, output);
  }
  return output;
}

TimePoint EngineController::nextDeadline() const {
  return wakes_.empty() ? TimePoint::max() : wakes_.begin()->first;
}

void EngineController::step(Engine& engine, bool may_order, TimePoint now, ControllerOutput& output) {
  noteSilence(engine, now, output);
  if (engine.state) {
    registerEngine(engine, now, output);
  }
  const placement::EngineRecord* record = state_.ledger().findEngine(engine.name);
  const bool current = record != nullptr && engine.state && record->incarnation == engine.state->incarnation;
  if (current && engine.fence_raised) {
    append(output, engine.orders.compare(engine.name, *engine.state, state_, now));
  }
  call(engine, may_order, now, output);
  poll(engine, now, output);
  scheduleWake(engine, now);
}

void EngineController::noteSilence(Engine& engine, TimePoint now, ControllerOutput& output) const {
  if (engine.call_sent && now >= *engine.call_sent + kAnswerTimeout) {
    engine.call_sent.reset();
  }
  if (engine.poll_sent && now >= *engine.poll_sent + settings_.poll_wait + kAnswerTimeout) {
    engine.poll_sent.reset();
  }
  if (!engine.reported_unreachable && !isReachable(engine.name, now)) {
    engine.reported_unreachable = true;
    output.news.emplace_back(engine.name);
    const placement::EngineRecord* record = state_.ledger().findEngine(engine.name);
    if (settings_.defects.free_on_silence && record != nullptr) {
      output.commands.emplace_back(wire::RemoveMachineCommand{record->machine});
    }
  }
}

void EngineController::poll(Engine& engine, TimePoint now, ControllerOutput& output) const {
  const bool gone = engine.machine_state == MachineState::Gone && !isReachable(engine.name, now);
  if (engine.poll_sent || now < engine.retry_poll_at || !engine.state) {
    return;
  }
  if (gone && state_.ledger().findEngine(engine.name) == nullptr) {
    engine.retry_poll_at = now + settings_.poll_wait;
    return;
  }
  engine.poll_sent = now;
  output.effects.emplace_back(
      PollEngineEffect{engine.name, engine.url, engine.state->state_version, settings_.poll_wait});
}

void EngineController::call(Engine& engine, bool may_order, TimePoint now, ControllerOutput& output) {
  if (!may_order || engine.call_sent || now < engine.retry_call_at) {
    return;
  }
  if (!engine.fence_raised || engine.orders.needsProof(*engine.state)) {
    raiseFence(engine, now, output);
    return;
  }
  const placement::EngineRecord* record = state_.ledger().findEngine(engine.name);
  if (record == nullptr || record->incarnation != engine.state->incarnation) {
    return;
  }
  std::optional<EngineOrder> order = engineWideOrder(engine, now);
  if (!order) {
    order = engine.orders.next(engine.name, *engine.state, state_, now);
  }
  if (!order) {
    order = nextPrefetch(engine);
  }
  if (order) {
    sendOrder(engine, std::move(*order), now, output);
  }
}

void EngineController::raiseFence(Engine& engine, TimePoint now, ControllerOutput& output) {
  engine.call_sent = now;
  const wire::Fence fence{term_, next_sequence_++};
  output.effects.emplace_back(RaiseFenceEffect{engine.name, engine.url, fence});
}

void EngineController::sendOrder(Engine& engine, EngineOrder order, TimePoint now, ControllerOutput& output) {
  order.fence = wire::Fence{term_, next_sequence_++};
  order.incarnation = engine.state->incarnation;
  engine.call_sent = now;
  engine.orders.sent(order, now);
  output.effects.emplace_back(OrderEffect{engine.name, engine.url, std::move(order)});
}

bool EngineController::mustDrain(const Engine& engine) const {
  const placement::EngineRecord* record = state_.ledger().findEngine(engine.name);
  return engine.machine_state == MachineState::Leaving || (record != nullptr && record->draining);
}

std::optional<EngineOrder> EngineController::engineWideOrder(Engine& engine, TimePoint now) const {
  const bool wanted = mustDrain(engine);
  const bool waiting = engine.drain_ordered && now < *engine.drain_ordered + kDrainRepeat;
  if (wanted == engine.state->draining || waiting) {
    return std::nullopt;
  }
  engine.drain_ordered = now;
  EngineOrder order;
  order.kind = wanted ? OrderKind::Drain : OrderKind::Resume;
  return order;
}

std::optional<EngineOrder> EngineController::nextPrefetch(Engine& engine) const {
  if (engine.prefetches.empty()) {
    return std::nullopt;
  }
  const placement::PrefetchEffect prefetch = engine.prefetches.front();
  engine.prefetches.pop_front();
  EngineOrder order;
  order.kind = OrderKind::Prefetch;
  order.model = prefetch.model;
  order.version = prefetch.version;
  order.prefetch_to = prefetch.to;
  const auto model = state_.catalog().tree().resolveModel(prefetch.model);
  order.checkpoint_bytes = model ? model->weight_bytes * model->accelerators : 0;
  return order;
}

void EngineController::prefetch(const placement::PrefetchEffect& prefetch, TimePoint now) {
  const auto found = engines_.find(prefetch.engine);
  if (found != engines_.end() && found->second.prefetches.size() < kMaximumPrefetches) {
    found->second.prefetches.push_back(prefetch);
    wakeAt(found->second, now);
  }
}

void EngineController::unloadAdapter(const placement::UnloadAdapterEffect& unload, TimePoint now) {
  const wire::Slot* slot = state_.ledger().findSlot(unload.slot);
  if (slot == nullptr) {
    return;
  }
  const auto found = engines_.find(slot->engine);
  if (found != engines_.end()) {
    found->second.orders.wantAdapterUnloaded(unload.slot, unload.adapter);
    wakeAt(found->second, now);
  }
}

void EngineController::scheduleWake(Engine& engine, TimePoint now) {
  const bool orderable = engine.fence_raised && !engine.call_sent;
  const bool quiet = orderable && engine.poll_sent && isReachable(engine.name, now);
  TimePoint wake = now + (quiet ? settings_.poll_wait : kRetryPause);
  const auto repeat = orderable ? engine.orders.repeatAt(now) : std::nullopt;
  if (repeat) {
    wake = std::min(wake, *repeat);
  }
  wakeAt(engine, wake);
}

void EngineController::wakeAt(Engine& engine, TimePoint wake) {
  wakes_.erase({engine.wake, engine.name});
  engine.wake = wake;
  wakes_.insert({wake, engine.name});
}

bool EngineController::isLeaving(const EngineName& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return false;
  }
  const bool drains = found->second.state && found->second.state->draining;
  return drains || found->second.machine_state != MachineState::Live;
}

const HeldSlot* EngineController::heldSlot(const EngineName& engine, SlotId slot) const {
  const EngineState* state = engineState(engine);
  if (state == nullptr) {
    return nullptr;
  }
  const auto held = std::find_if(state->slots.begin(), state->slots.end(),
                                 [slot](const HeldSlot& candidate) { return candidate.slot == slot; });
  return held == state->slots.end() ? nullptr : &*held;
}

bool EngineController::isReachable(const EngineName& engine, TimePoint now) const {
  const auto found = engines_.find(engine);
  return found != engines_.end() && now < found->second.last_reached + settings_.unreachable_after;
}

const EngineState* EngineController::engineState(const EngineName& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() || !found->second.state ? nullptr : &*found->second.state;
}

}  // namespace ferryrock::control
