#include "emulator/model/engine_model.h"

#include <algorithm>
#include <utility>

namespace ferryrock::emulator {

using control::EngineAnswer;
using control::EngineOrder;
using control::EngineRole;
using control::EngineState;
using control::HeldSlot;
using control::HeldState;
using control::OrderKind;

namespace {

constexpr int kConflict = 409;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// How much a role speeds up its own phase, and slows down the other.
constexpr double kRoleFactor = 2.0;

StepSpeed speedOf(EngineRole role) {
  switch (role) {
    case EngineRole::Prefill:
      return {1 / kRoleFactor, kRoleFactor};
    case EngineRole::Decode:
      return {kRoleFactor, 1 / kRoleFactor};
    case EngineRole::Both:
      break;
  }
  return {};
}

}  // namespace

EngineModel::EngineModel(EngineSettings settings, Incarnation incarnation, std::uint64_t seed)
    : settings_(std::move(settings)),
      incarnation_(incarnation),
      effects_(faults_),
      slots_(settings_, faults_, effects_),
      inference_(settings_, faults_, effects_, Random(seed)) {
  effects_.push(JournalEffect{
      StartRecord{settings_.name, incarnation_, settings_.accelerators, settings_.bytes_per_accelerator}});
}

void EngineModel::refuse(TimePoint now, ReaderId reader, int status, ResultCode code, std::string detail,
                         std::optional<bool> admitted) {
  effects_.pushToReader(now, RefusedEffect{reader, status, code, std::move(detail), admitted});
}

void EngineModel::submit(TimePoint now, ReaderId reader, InferenceRequestPtr request) {
  if (faults_.stall) {
    stalled_.push_back({reader, std::move(request)});
    return;
  }
  if (inference_.knows(request->attempt)) {
    refuse(now, reader, kConflict, ResultCode::ClaimInProgress, "this attempt was admitted before", true);
    return;
  }
  if (request->incarnation && *request->incarnation != incarnation_) {
    refuse(now, reader, kConflict, ResultCode::WrongIncarnation, "the engine has another incarnation");
    return;
  }
  if (faults_.refuse || draining_) {
    refuse(now, reader, kUnavailable, ResultCode::EngineRefused, "the engine takes no new requests");
    return;
  }
  const Route route = slots_.route(*request);
  if (!route.slot) {
    refuse(now, reader, route.status, route.code, route.detail);
    return;
  }
  if (!inference_.hasRoom(*route.slot)) {
    refuse(now, reader, kTooManyRequests, ResultCode::QueueFull, "the engine's queue is full");
    return;
  }
  inference_.admit(now, reader, std::move(request), *route.slot);
  settle(now);
}

void EngineModel::resume(TimePoint now, ReaderId reader, const AttemptId& attempt, std::uint64_t from_chunk) {
  if (!inference_.resume(now, reader, attempt, from_chunk)) {
    refuse(now, reader, kNotFound, ResultCode::StreamBroken, "this attempt can't be resumed from there",
           std::nullopt);
  }
}

bool EngineModel::cancel(TimePoint now, const AttemptId& attempt) {
  const bool stalled = std::erase_if(stalled_, [&](const StalledRequest& held) {
                         const bool matches = held.request->attempt == attempt;
                         if (matches) {
                           effects_.pushToReader(now, CutEffect{held.reader});
                         }
                         return matches;
                       }) > 0;
  const bool cancelled = inference_.cancel(now, attempt);
  settle(now);
  return stalled || cancelled;
}

void EngineModel::readerGone(TimePoint now, ReaderId reader) {
  std::erase_if(stalled_, [&](const StalledRequest& held) { return held.reader == reader; });
  inference_.readerGone(now, reader);
}

std::optional<Duration> EngineModel::importCache(TimePoint now, const CacheExport& exported) {
  InferenceRequest request;
  request.model = exported.model;
  const Route route = slots_.route(request);
  if (!route.slot) {
    return std::nullopt;
  }
  const Duration duration =
      scaled(settings_, settings_.cache_transfer_per_token * static_cast<long>(exported.tokens));
  imports_.push_back({now + duration, *route.slot, exported});
  return duration;
}

void EngineModel::finishImports(TimePoint now) {
  std::erase_if(imports_, [&](const PendingImport& pending) {
    if (pending.due > now) {
      return false;
    }
    inference_.importCache(now, pending.slot, pending.exported);
    return true;
  });
}

EngineAnswer EngineModel::answer(ResultCode code) const {
  EngineAnswer result;
  result.engine = settings_.name;
  result.reached = true;
  result.code = code;
  result.state = state();
  return result;
}

EngineAnswer EngineModel::raiseFence(TimePoint, const wire::Fence& fence) {
  if (fence < fence_) {
    return answer(ResultCode::FenceTooLow);
  }
  fence_ = fence;
  return answer(ResultCode::Ok);
}

EngineAnswer EngineModel::order(TimePoint now, const EngineOrder& order) {
  if (order.fence < fence_ && !faults_.ignore_fences) {
    return answer(ResultCode::FenceTooLow);
  }
  if (order.incarnation != incarnation_) {
    return answer(ResultCode::WrongIncarnation);
  }
  const ResultCode code = execute(now, order);
  if (code == ResultCode::Ok) {
    fence_ = order.fence;
  }
  settle(now);
  return answer(code);
}

ResultCode EngineModel::execute(TimePoint now, const EngineOrder& order) {
  const bool whole_engine = order.slot == SlotId{};
  if (order.kind == OrderKind::SetRole) {
    setRole(order.role);
    return ResultCode::Ok;
  }
  if (whole_engine && (order.kind == OrderKind::Drain || order.kind == OrderKind::Resume)) {
    setDraining(order.kind == OrderKind::Drain);
    return ResultCode::Ok;
  }
  return slots_.execute(now, order);
}

void EngineModel::setRole(EngineRole role) {
  if (role != role_) {
    role_ = role;
    inference_.setSpeed(speedOf(role));
    ++own_changes_;
  }
}

void EngineModel::setDraining(bool draining) {
  if (draining != draining_) {
    draining_ = draining;
    ++own_changes_;
  }
}

void EngineModel::onTransferEnded(TimePoint now, TransferId transfer, bool succeeded) {
  slots_.transferEnded(now, transfer, succeeded);
  tick(now);
}

void EngineModel::setFaults(TimePoint now, const EngineFaults& faults) {
  faults_ = faults;
  if (!faults_.stall) {
    for (StalledRequest& held : std::exchange(stalled_, {})) {
      submit(now, held.reader, std::move(held.request));
    }
  }
  tick(now);
}

void EngineModel::progressLeaving(TimePoint now) {
  std::vector<SlotId> to_close;
  std::vector<std::pair<SlotId, ModelName>> adapters_to_free;
  for (const auto& [id, slot] : slots_.slots()) {
    const bool unloading = slot.state == HeldState::Unloading && !slot.freed_at;
    if (unloading && (inference_.inFlight(id) == 0 || slot.unload_by <= now)) {
      to_close.push_back(id);
    }
    for (const HeldAdapter& adapter : slot.adapters) {
      if (adapter.leaving && inference_.inFlight(id, adapter.name) == 0) {
        adapters_to_free.emplace_back(id, adapter.name);
      }
    }
  }
  for (const SlotId slot : to_close) {
    inference_.closeSlot(now, slot);
    slots_.beginFreeing(now, slot);
  }
  for (const auto& [slot, adapter] : adapters_to_free) {
    slots_.freeAdapter(slot, adapter);
  }
}

bool EngineModel::somethingDrained() {
  bool drained = false;
  for (const auto& [id, slot] : slots_.slots()) {
    const bool watched = draining_ || slot.state == HeldState::Draining || slot.state == HeldState::Unloading;
    std::uint32_t& seen = in_flight_seen_[id];
    const std::uint32_t now_in_flight = watched ? inference_.inFlight(id) : 0;
    drained = drained || (seen > 0 && now_in_flight == 0);
    seen = now_in_flight;
  }
  std::erase_if(in_flight_seen_, [&](const auto& entry) { return !slots_.slots().contains(entry.first); });
  return drained;
}

void EngineModel::settle(TimePoint now) {
  progressLeaving(now);
  if (somethingDrained()) {
    ++own_changes_;
  }
  const std::uint64_t changes = slots_.changes() + own_changes_;
  if (changes != seen_changes_) {
    seen_changes_ = changes;
    ++state_version_;
    effects_.push(StateChangedEffect{});
  }
}

void EngineModel::tick(TimePoint now) {
  for (const SlotId slot : slots_.tick(now)) {
    inference_.openSlot(slot);
  }
  inference_.tick(now);
  finishImports(now);
  settle(now);
  effects_.release(now);
}

std::optional<TimePoint> EngineModel::nextWakeup() const {
  std::optional<TimePoint> earliest = slots_.nextWakeup();
  const auto keep_earlier = [&](std::optional<TimePoint> candidate) {
    if (candidate && (!earliest || *candidate < *earliest)) {
      earliest = candidate;
    }
  };
  keep_earlier(inference_.nextWakeup());
  keep_earlier(effects_.nextDue());
  for (const PendingImport& pending : imports_) {
    keep_earlier(pending.due);
  }
  return earliest;
}

HeldSlot EngineModel::heldSlot(const EngineSlot& slot) const {
  HeldSlot held;
  held.slot = slot.id;
  held.model = slot.model;
  held.version = slot.version;
  held.state = slot.state;
  for (const HeldAdapter& adapter : slot.adapters) {
    if (adapter.ready && !adapter.leaving) {
      held.adapters.push_back(adapter.name);
    }
  }
  held.running = inference_.inFlight(slot.id);
  held.loaded_from = slot.loaded_from;
  held.load_ms = slot.load_ms;
  return held;
}

EngineState EngineModel::state() const {
  EngineState state;
  state.engine = settings_.name;
  state.incarnation = incarnation_;
  state.highest_fence = fence_;
  state.state_version = state_version_;
  state.machine = settings_.machine;
  state.zone = settings_.zone;
  state.accelerators = settings_.accelerators;
  state.bytes_per_accelerator = settings_.bytes_per_accelerator;
  state.draining = draining_;
  const LoadReport load = inference_.load();
  state.running = load.running;
  state.waiting = load.waiting;
  for (const auto& [id, slot] : slots_.slots()) {
    state.slots.push_back(heldSlot(slot));
  }
  state.in_memory = slots_.jobs().memory().names();
  state.on_disk = slots_.jobs().disk().names();
  return state;
}

}  // namespace ferryrock::emulator
