#include "placement/slot_table.h"

namespace ferryrock::placement {
namespace {

template <class Key>
void eraseFrom(std::map<Key, std::set<SlotId>>& index, const Key& key, SlotId id) {
  index[key].erase(id);
  if (index[key].empty()) {
    index.erase(key);
  }
}

}  // namespace

SlotChange SlotTable::refresh(SlotId id, TimePoint now) {
  const wire::Slot* current = ledger_.findSlot(id);
  const auto entry = views_.find(id);
  if (entry == views_.end() && current == nullptr) {
    return {};
  }
  if (current == nullptr) {
    SlotChange change{SlotChange::Kind::Freed, entry->second.slot, entry->second.slot.state};
    eraseFrom(by_model_, change.slot.model, id);
    eraseFrom(by_engine_, change.slot.engine, id);
    remote_loads_.erase(id);
    views_.erase(entry);
    return change;
  }
  if (entry == views_.end()) {
    const SlotView& view = views_.emplace(id, SlotView{*current, CheckpointTier::Remote, now}).first->second;
    by_model_[current->model].insert(id);
    by_engine_[current->engine].insert(id);
    updateRemoteLoads(view);
    return {SlotChange::Kind::Added, *current, current->state};
  }
  if (entry->second.slot == *current) {
    return {};
  }
  SlotChange change{SlotChange::Kind::Changed, *current, entry->second.slot.state};
  entry->second.slot = *current;
  updateRemoteLoads(entry->second);
  return change;
}

std::vector<SlotId> SlotTable::changedOn(const EngineName& engine) const {
  const std::vector<SlotId> held = ledger_.slotsOn(engine);
  std::set<SlotId> all(held.begin(), held.end());
  const auto viewed = by_engine_.find(engine);
  if (viewed != by_engine_.end()) {
    all.insert(viewed->second.begin(), viewed->second.end());
  }
  return {all.begin(), all.end()};
}

const SlotView* SlotTable::find(SlotId id) const {
  const auto entry = views_.find(id);
  return entry == views_.end() ? nullptr : &entry->second;
}

SlotView* SlotTable::find(SlotId id) {
  const auto entry = views_.find(id);
  return entry == views_.end() ? nullptr : &entry->second;
}

std::vector<const SlotView*> SlotTable::of(const ModelName& model) const {
  std::vector<const SlotView*> result;
  const auto entry = by_model_.find(model);
  if (entry == by_model_.end()) {
    return result;
  }
  for (const SlotId id : entry->second) {
    result.push_back(&views_.at(id));
  }
  return result;
}

void SlotTable::setTier(SlotId id, CheckpointTier tier) {
  SlotView* view = find(id);
  if (view != nullptr) {
    view->tier = tier;
    updateRemoteLoads(*view);
  }
}

void SlotTable::updateRemoteLoads(const SlotView& view) {
  const bool loading = view.slot.state <= wire::SlotState::Loading && view.tier == CheckpointTier::Remote;
  if (loading) {
    remote_loads_.insert(view.slot.id);
  } else {
    remote_loads_.erase(view.slot.id);
  }
}

}  // namespace ferryrock::placement
