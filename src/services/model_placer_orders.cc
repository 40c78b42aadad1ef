#include <algorithm>
#include <utility>

#include "services/model_placer.h"
#include "wire/replica_incarnation.h"

/// The part of ModelPlacer that sends orders, at most one at a time to each replica, and processes their
/// outcomes and the results of inspections.
namespace ferryrock::services {
namespace {

/// Maximum age of the contents of a replica report.
constexpr Duration kReportLag = std::chrono::milliseconds(300);
constexpr Duration kRetryAfterConflict = std::chrono::milliseconds(400);
/// Retries to a replica that doesn't answer are delayed by an exponential backoff up to this value.
constexpr Duration kMaxRetryBackoff = std::chrono::seconds(5);
constexpr int kMaxDoublings = 4;
/// An unload that no report confirms is verified by an inspection after kUnloadInspectionDelay. A replica
/// that was still busy is inspected again after kReinspectionDelay.
constexpr Duration kUnloadInspectionDelay = std::chrono::seconds(4);
constexpr Duration kReinspectionDelay = std::chrono::seconds(2);
/// Each unplaced model is reported at most once per kUnplacedReportInterval, and at most kMaxUnplacedReports
/// models are reported within that time.
constexpr Duration kUnplacedReportInterval = std::chrono::seconds(2);
constexpr std::size_t kMaxUnplacedReports = 16;
/// Delay from an unanswered order to the inspection of its replica if prompt verification is disabled.
constexpr Duration kDelayedInspection = std::chrono::seconds(12);
/// Time for which the result of an inspection is valid.
constexpr Duration kInspectionTtl = std::chrono::seconds(15);

}  // namespace

void ModelPlacer::order(Candidate& candidate, OrderAction action, const ModelName& model,
                        const std::string& adapter, double megabytes, TimePoint now) {
  Engine& engine = *candidate.engine;
  const wire::ReplicaReport& report = candidate.record->report;
  if (!engine.accepted_orders || now - engine.inspected > kInspectionTtl) {
    inspect(candidate, now);
    return;
  }
  const OrderNumber number{next_number_++};
  OrderReplicaEffect effect;
  effect.number = number;
  effect.replica = report.id;
  effect.address = report.address;
  effect.action = action;
  effect.model = model;
  effect.adapter = adapter;
  effect.expected = *engine.accepted_orders;
  effect.holder = settings_.holder;
  effect.fence = settings_.fence;
  engine.pending = Pending{number, effect, false, now};
  pending_orders_[number] = report.id;
  if (action == OrderAction::Unload && adapter.empty()) {
    registry_.withdrawModel(report.id, model, now);
    engine.unloading = model;
    engine.unloading_since = now;
    engine.inspect_at = now + kUnloadInspectionDelay;
    --copies_[model];
  } else if (action == OrderAction::Load && adapter.empty()) {
    engine.loading = model;
    engine.loading_mb = megabytes;
    engine.loading_since = now;
    engine.loading_time = Duration::zero();
    ++loads_begun_;
    ++copies_[model];
  }
  effects_.emplace_back(std::move(effect));
}

void ModelPlacer::inspect(Candidate& candidate, TimePoint now) {
  const wire::ReplicaReport& report = candidate.record->report;
  const OrderNumber number{next_number_++};
  candidate.engine->pending = Pending{number, {}, true, now};
  pending_orders_[number] = report.id;
  effects_.emplace_back(InspectReplicaEffect{number, report.id, report.address});
}

void ModelPlacer::forgetLoad(const ReplicaId& replica, Engine& engine, TimePoint now) {
  engine.loading.reset();
  engine.loading_mb = 0;
  if (StoreLoads* store = std::exchange(engine.store, nullptr)) {
    store->onDropped(replica, now);
  }
}

std::map<ReplicaId, ModelPlacer::Engine>::iterator ModelPlacer::takePending(OrderNumber number) {
  const auto pending = pending_orders_.find(number);
  if (pending == pending_orders_.end()) {
    return engines_.end();
  }
  const auto engine = engines_.find(pending->second);
  pending_orders_.erase(pending);
  const bool current =
      engine != engines_.end() && engine->second.pending && engine->second.pending->number == number;
  return current ? engine : engines_.end();
}

void ModelPlacer::onOrderDone(OrderNumber number, OrderOutcome outcome, TimePoint now) {
  const auto found = takePending(number);
  if (found == engines_.end()) {
    return;
  }
  Engine& engine = found->second;
  const OrderReplicaEffect order = engine.pending->order;
  engine.pending.reset();
  const bool whole_model = order.adapter.empty();
  switch (outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::AlreadyHeld:
      engine.accepted_orders = order.expected + 1;
      if (outcome == OrderOutcome::AlreadyHeld && order.action == OrderAction::Load) {
        engine.accepted_orders.reset();
        engine.not_before = now + kReportLag;
      }
      if (!whole_model && order.action == OrderAction::Load) {
        registry_.assumeAdapter(order.replica, order.model, order.adapter, now);
        engine.adapters.insert({order.model, order.adapter});
      } else if (!whole_model) {
        engine.adapters.erase({order.model, order.adapter});
        registry_.dropAdapter(order.replica, order.model, order.adapter);
      } else if (outcome == OrderOutcome::AlreadyHeld) {
        forgetLoad(order.replica, engine, now);
      }
      break;
    case OrderOutcome::Conflict:
    case OrderOutcome::Refused:
      engine.accepted_orders.reset();
      engine.not_before = now + kRetryAfterConflict;
      if (whole_model && order.action == OrderAction::Load) {
        forgetLoad(order.replica, engine, now);
      } else if (whole_model) {
        engine.unloading.reset();
        registry_.restoreModel(order.replica, order.model);
      }
      break;
    case OrderOutcome::Unanswered:
      // The replica may be executing the order or receive it late, so its memory stays accounted for until
      // the replica's state is known.
      engine.accepted_orders.reset();
      engine.inspect_at = settings_.switches.prompt_inspections ? now : now + kDelayedInspection;
      break;
  }
}

void ModelPlacer::onInspected(OrderNumber number, const std::optional<ReplicaState>& state, TimePoint now) {
  const auto found = takePending(number);
  if (found == engines_.end()) {
    return;
  }
  Engine& engine = found->second;
  engine.pending.reset();
  if (!state) {
    // The backoff lets other replicas get the work meanwhile.
    engine.not_before =
        now + std::min(kMaxRetryBackoff, kRetryAfterConflict * (1 << engine.unanswered_inspections));
    engine.unanswered_inspections = std::min(engine.unanswered_inspections + 1, kMaxDoublings);
    return;
  }
  engine.unanswered_inspections = 0;
  const std::uint64_t start_ms = wire::replicaStartMs(found->first);
  if (start_ms != 0 && state->start_ms != 0 && state->start_ms != start_ms) {
    // The answer comes from another incarnation, whose order count and contents don't apply to this one.
    engine.not_before = now + kRetryAfterConflict;
    return;
  }
  if (state->busy) {
    engine.not_before = now + kRetryAfterConflict;
  }
  applyState(engine, *state);
  engine.inspected = now;
  resolveInspectedOrder(found->first, engine, *state, now);
}

/// Resolves an order whose outcome is unverified. A replica that isn't busy either has not received the order
/// or has failed to execute it. If the order arrives late, it is executed before any newer one or not at all,
/// because only one order with a given order count is accepted.
void ModelPlacer::resolveInspectedOrder(const ReplicaId& replica, Engine& engine, const ReplicaState& state,
                                        TimePoint now) {
  if (state.busy) {
    engine.inspect_at = now + kReinspectionDelay;
    return;
  }
  if (engine.loading && now - engine.loading_since > kReportLag) {
    if (engine.models.contains(*engine.loading)) {
      engine.inspect_at = now + kReinspectionDelay;
    } else {
      forgetLoad(replica, engine, now);
    }
  }
  if (engine.unloading && now - engine.unloading_since > kReportLag &&
      engine.models.contains(*engine.unloading)) {
    registry_.restoreModel(replica, *engine.unloading);
    engine.unloading.reset();
  }
}

/// Stores the order count together with the contents: an order with this count is rejected if the replica has
/// accepted another order since.
void ModelPlacer::applyState(Engine& engine, const ReplicaState& state) {
  if (!state.busy) {
    engine.accepted_orders = state.accepted_orders;
  }
  engine.models.clear();
  engine.adapters.clear();
  for (const auto* list : {&state.held, &state.pending_adapters}) {
    for (const wire::LoadedModel& held : *list) {
      engine.models.insert(held.model);
      for (const std::string& adapter : held.adapters) {
        engine.adapters.insert({held.model, adapter});
      }
    }
  }
}

void ModelPlacer::reportUnplaced(const wire::HostedService& service, const PlacementRequest& request,
                                 const Placement& placement, TimePoint now) {
  std::erase_if(unplaced_logged_,
                [now](const auto& item) { return now - item.second.at > kUnplacedReportInterval; });
  const bool suppressed = unplaced_logged_.contains({service.name, request.model->name}) ||
                          unplaced_logged_.size() >= kMaxUnplacedReports;
  if (suppressed) {
    return;
  }
  unplaced_logged_[{service.name, request.model->name}] = {now};
  const StoreLoads& store = storeOf(service.name);
  const KeyDemand demand = demand_.find({service.name, request.model->name, {}});
  effects_.emplace_back(ModelUnplacedEffect{service.name, request.model->name, placement.reason,
                                            demand.waiting, request.urgency, placement.local_tier_replicas,
                                            store.inFlight(), store.width()});
}

}  // namespace ferryrock::services
