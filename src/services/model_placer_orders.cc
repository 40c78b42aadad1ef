#include <algorithm>
#include <utility>

#include "services/model_placer.h"
#include "wire/replica_life.h"

/// The part of ModelPlacer that follows orders: one at a time to a replica, what came back, what an
/// inspection showed.
namespace ferryrock::services {
namespace {

/// What a replica reports may be this old.
constexpr Duration kReportLag = std::chrono::milliseconds(300);
constexpr Duration kRetryAfterConflict = std::chrono::milliseconds(400);
/// A replica that doesn't answer is asked again after longer and longer pauses.
constexpr Duration kLongestSilencePause = std::chrono::seconds(5);
constexpr int kMostDoublings = 4;
/// An unload that no report shows is asked after, and so is, again, a replica that was at its order.
constexpr Duration kDoubtedUnload = std::chrono::seconds(4);
constexpr Duration kDoubtedAgain = std::chrono::seconds(2);
/// A model that got no order is told of once in this time, and so many of them at most.
constexpr Duration kNoteInterval = std::chrono::seconds(2);
constexpr std::size_t kMostNotes = 16;
/// From an unanswered order until its replica is asked, if that isn't done at once.
constexpr Duration kPatientDoubt = std::chrono::seconds(12);
/// What an inspection showed is believed for this long.
constexpr Duration kInspectionLasts = std::chrono::seconds(15);

}  // namespace

void ModelPlacer::order(Candidate& candidate, OrderAction action, const ModelName& model,
                        const std::string& adapter, double megabytes, TimePoint now) {
  Engine& engine = *candidate.engine;
  const wire::ReplicaReport& report = candidate.record->report;
  if (!engine.orders_taken || now - engine.inspected > kInspectionLasts) {
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
  effect.expected = *engine.orders_taken;
  effect.holder = settings_.holder;
  effect.fence = settings_.fence;
  engine.pending = Pending{number, effect, false, now};
  pending_orders_[number] = report.id;
  if (action == OrderAction::Unload && adapter.empty()) {
    registry_.withdrawModel(report.id, model, now);
    engine.unloading = model;
    engine.unloading_since = now;
    engine.doubted_from = now + kDoubtedUnload;
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
        forgetLoad(order.replica, engine, now);
      }
      break;
    case OrderOutcome::Conflict:
    case OrderOutcome::Refused:
      engine.orders_taken.reset();
      engine.not_before = now + kRetryAfterConflict;
      if (whole_model && order.action == OrderAction::Load) {
        forgetLoad(order.replica, engine, now);
      } else if (whole_model) {
        engine.unloading.reset();
        registry_.restoreModel(order.replica, order.model);
      }
      break;
    case OrderOutcome::Unanswered:
      // It may be under way or come late: what it takes stays reckoned with until the replica tells.
      engine.orders_taken.reset();
      engine.doubted_from = settings_.switches.prompt_doubts ? now : now + kPatientDoubt;
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
    // Others get its work meanwhile.
    engine.not_before = now + std::min(kLongestSilencePause, kRetryAfterConflict * (1 << engine.unanswered));
    engine.unanswered = std::min(engine.unanswered + 1, kMostDoublings);
    return;
  }
  engine.unanswered = 0;
  const std::uint64_t born = wire::replicaBorn(found->first);
  if (born != 0 && state->born != 0 && state->born != born) {
    // Another life of the replica answered: what it counts and holds isn't this one's.
    engine.not_before = now + kRetryAfterConflict;
    return;
  }
  if (state->busy) {
    engine.not_before = now + kRetryAfterConflict;
  }
  takeState(engine, *state);
  engine.inspected = now;
  settleDoubt(found->first, engine, *state, now);
}

/// A replica that is at no order hasn't taken the one in doubt, or has failed at it. Should that order be
/// carried out late, then before any newer one: the count of orders lets just one of them through.
void ModelPlacer::settleDoubt(const ReplicaId& replica, Engine& engine, const ReplicaState& state,
                              TimePoint now) {
  if (state.busy) {
    engine.doubted_from = now + kDoubtedAgain;
    return;
  }
  if (engine.loading && now - engine.loading_since > kReportLag) {
    if (engine.models.contains(*engine.loading)) {
      engine.doubted_from = now + kDoubtedAgain;
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

void ModelPlacer::noteUnplaced(const wire::HostedService& service, const WantedModel& wanted,
                               const Placement& placement, TimePoint now) {
  std::erase_if(noted_, [now](const auto& item) { return now - item.second.at > kNoteInterval; });
  const bool told = noted_.contains({service.name, wanted.model->name}) || noted_.size() >= kMostNotes;
  if (told) {
    return;
  }
  noted_[{service.name, wanted.model->name}] = {now};
  const StoreLoads& store = storeOf(service.name);
  const KeyDemand demand = demand_.find({service.name, wanted.model->name, {}});
  effects_.emplace_back(ModelUnplacedEffect{service.name, wanted.model->name, placement.reason,
                                            demand.waiting, wanted.urgency, placement.near_replicas,
                                            store.underWay(), store.width()});
}

}  // namespace ferryrock::services
