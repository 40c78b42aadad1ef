#include <algorithm>
#include <utility>

#include "services/model_placer.h"

/// The part of ModelPlacer that follows orders: one at a time to a replica, what came back, what an
/// inspection showed.
namespace ferryrock::services {
namespace {

/// What a replica reports may be this old.
constexpr Duration kReportLag = std::chrono::milliseconds(300);
constexpr Duration kRetryAfterConflict = std::chrono::milliseconds(400);
/// What an inspection showed is believed for this long.
constexpr Duration kInspectionLasts = std::chrono::seconds(15);

}  // namespace

void ModelPlacer::order(Candidate& candidate, OrderAction action, const ModelName& model,
                        const std::string& adapter, double megabytes, TimePoint now) {
  Engine& engine = *candidate.engine;
  const wire::ReplicaReport& report = candidate.record->report;
  const OrderNumber number{next_number_++};
  if (!engine.orders_taken || now - engine.inspected > kInspectionLasts) {
    engine.pending = Pending{number, {}, true, now};
    effects_.emplace_back(InspectReplicaEffect{number, report.id, report.address});
    return;
  }
  OrderReplicaEffect effect;
  effect.number = number;
  effect.replica = report.id;
  effect.address = report.address;
  effect.action = action;
  effect.model = model;
  effect.adapter = adapter;
  effect.expected = *engine.orders_taken;
  effect.holder = settings_.holder;
  effect.fence = settings_.fence;
  engine.pending = Pending{number, effect, false, now};
  if (action == OrderAction::Unload && adapter.empty()) {
    registry_.withdrawModel(report.id, model, now);
    engine.unloading = model;
    engine.unloading_since = now;
    --copies_[model];
  } else if (action == OrderAction::Load && adapter.empty()) {
    engine.loading = model;
    engine.loading_mb = megabytes;
    engine.loading_since = now;
    ++loads_begun_;
    ++copies_[model];
  }
  effects_.emplace_back(std::move(effect));
}

void ModelPlacer::forgetLoad(Engine& engine) {
  engine.loading.reset();
  engine.loading_mb = 0;
}

void ModelPlacer::onOrderDone(OrderNumber number, OrderOutcome outcome, TimePoint now) {
  const auto found = std::find_if(engines_.begin(), engines_.end(), [number](const auto& item) {
    return item.second.pending && item.second.pending->number == number;
  });
  if (found == engines_.end()) {
    return;
  }
  Engine& engine = found->second;
  const OrderReplicaEffect order = engine.pending->order;
  engine.pending.reset();
  const bool whole_model = order.adapter.empty();
  switch (outcome) {
    case OrderOutcome::Taken:
    case OrderOutcome::AlreadyHeld:
      engine.orders_taken = order.expected + 1;
      if (outcome == OrderOutcome::AlreadyHeld && order.action == OrderAction::Load) {
        engine.orders_taken.reset();
        engine.not_before = now + kReportLag;
      }
      if (!whole_model && order.action == OrderAction::Load) {
        registry_.assumeAdapter(order.replica, order.model, order.adapter, now);
        engine.adapters.insert({order.model, order.adapter});
      } else if (!whole_model) {
        engine.adapters.erase({order.model, order.adapter});
        registry_.dropAdapter(order.replica, order.model, order.adapter);
      } else if (outcome == OrderOutcome::AlreadyHeld) {
        forgetLoad(engine);
      }
      break;
    case OrderOutcome::Conflict:
    case OrderOutcome::Refused:
      engine.orders_taken.reset();
      engine.not_before = now + kRetryAfterConflict;
      if (whole_model && order.action == OrderAction::Load) {
        forgetLoad(engine);
      } else if (whole_model) {
        engine.unloading.reset();
        registry_.restoreModel(order.replica, order.model);
      }
      break;
    case OrderOutcome::Unanswered:
      // It may be under way or come late: what it takes stays reckoned with until a report or the limit.
      engine.orders_taken.reset();
      engine.not_before = now + kRetryAfterConflict;
      break;
  }
}

void ModelPlacer::onInspected(OrderNumber number, const std::optional<ReplicaState>& state, TimePoint now) {
  const auto found = std::find_if(engines_.begin(), engines_.end(), [number](const auto& item) {
    return item.second.pending && item.second.pending->number == number;
  });
  if (found == engines_.end()) {
    return;
  }
  Engine& engine = found->second;
  engine.pending.reset();
  if (!state || state->busy) {
    engine.not_before = now + kRetryAfterConflict;
  }
  if (state) {
    takeState(engine, *state);
    engine.inspected = now;
  }
}

/// The count of orders and what the replica holds belong together: an order that names the count is refused
/// if the replica has taken another one since.
void ModelPlacer::takeState(Engine& engine, const ReplicaState& state) {
  if (!state.busy) {
    engine.orders_taken = state.orders_taken;
  }
  engine.models.clear();
  engine.adapters.clear();
  for (const auto* list : {&state.held, &state.coming}) {
    for (const wire::HeldModel& held : *list) {
      engine.models.insert(held.model);
      for (const std::string& adapter : held.adapters) {
        engine.adapters.insert({held.model, adapter});
      }
    }
  }
}

}  // namespace ferryrock::services
