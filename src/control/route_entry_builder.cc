#include "control/route_entry_builder.h"

#include <algorithm>

namespace ferryrock::control {

std::optional<wire::RouteEntry> RouteEntryBuilder::entry(const ModelName& name, TimePoint now) const {
  const auto settings = state_.catalog().tree().resolveModel(name);
  if (!settings) {
    return std::nullopt;
  }
  wire::RouteEntry entry;
  entry.settings = *settings;
  for (const SlotId id : state_.ledger().slotsOf(settings->base)) {
    if (auto replica = endpoint(*state_.ledger().findSlot(id), *settings)) {
      entry.replicas.push_back(std::move(*replica));
    }
  }
  expect(entry, now);
  return entry;
}

std::optional<wire::ReplicaEndpoint> RouteEntryBuilder::endpoint(const wire::Slot& slot,
                                                                 const wire::ResolvedModel& settings) const {
  if (slot.state != wire::SlotState::Ready && slot.state != wire::SlotState::Draining) {
    return std::nullopt;
  }
  const placement::EngineRecord* engine = state_.ledger().findEngine(slot.engine);
  if (engine == nullptr) {
    return std::nullopt;
  }
  wire::ReplicaEndpoint replica;
  replica.slot = slot.id;
  replica.engine = slot.engine;
  replica.incarnation = slot.incarnation;
  replica.url = engine->url;
  replica.zone = engine->zone;
  replica.accepts_new =
      slot.state == wire::SlotState::Ready && !engine->draining && !engines_.isLeaving(slot.engine);
  if (settings.is_adapter && hasLoaded(slot, settings.served)) {
    replica.adapters.push_back(settings.served);
  }
  return replica;
}

bool RouteEntryBuilder::hasLoaded(const wire::Slot& slot, const ModelName& adapter) const {
  const auto contains = [&adapter](const std::vector<ModelName>& adapters) {
    return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
  };
  const HeldSlot* held = engines_.heldSlot(slot.engine, slot.id);
  return contains(slot.adapters) && (held == nullptr || contains(held->adapters));
}

void RouteEntryBuilder::expect(wire::RouteEntry& entry, TimePoint now) const {
  const ModelName& adapter = entry.settings.served;
  const auto serves = [&entry, &adapter](const wire::ReplicaEndpoint& replica) {
    const bool has_adapter =
        !entry.settings.is_adapter ||
        std::find(replica.adapters.begin(), replica.adapters.end(), adapter) != replica.adapters.end();
    return replica.accepts_new && has_adapter;
  };
  if (std::any_of(entry.replicas.begin(), entry.replicas.end(), serves)) {
    return;
  }
  const auto expected = planner_.expectedLoad(entry.settings.name, now);
  entry.load_refused = !expected.has_value();
  entry.expected_load_ms = expected ? toMilliseconds(*expected) : 0;
}

}  // namespace ferryrock::control
