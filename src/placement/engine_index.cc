#include "placement/engine_index.h"

#include <algorithm>

namespace ferryrock::placement {
namespace {

/// Engines examined at each end of a zone's order by free memory.
constexpr std::size_t kProbesPerEnd = 3;
/// Holders of a checkpoint examined in each tier.
constexpr std::size_t kHolderProbes = 16;

std::vector<std::uint64_t> sortedDescending(std::vector<std::uint64_t> free_bytes) {
  std::sort(free_bytes.rbegin(), free_bytes.rend());
  return free_bytes;
}

bool isZoneAllowed(const std::vector<std::string>& zones, const ZoneName& zone) {
  return zones.empty() || std::find(zones.begin(), zones.end(), zone.value) != zones.end();
}

}  // namespace

void EngineIndex::refresh(const EngineName& name) {
  const EngineRecord* record = ledger_.findEngine(name);
  auto entry = engines_.find(name);
  if (entry != engines_.end()) {
    removeFromOrders(entry->second);
    const MachineName machine = entry->second.record.machine;
    if (record == nullptr || record->machine != machine) {
      machines_[machine].erase(name);
      if (machines_[machine].empty()) {
        machines_.erase(machine);
      }
    }
  }
  if (record == nullptr) {
    if (entry != engines_.end()) {
      dropCheckpoints(entry->second);
      engines_.erase(entry);
    }
    return;
  }
  EngineView& view = engines_[name];
  if (view.record.incarnation != record->incarnation) {
    view.reserved_bytes.clear();
    view.reachable = true;
  }
  view.record = *record;
  largest_accelerator_bytes_ = std::max(largest_accelerator_bytes_, record->bytes_per_accelerator);
  view.reserved_bytes.resize(record->accelerators, 0);
  const auto leaving = leaving_.find(record->machine);
  view.leaving = leaving != leaving_.end();
  view.leaves_at = view.leaving ? leaving->second : std::nullopt;
  machines_[record->machine].insert(name);
  computeFree(view);
  addToOrders(view);
}

void EngineIndex::computeFree(EngineView& view) const {
  const std::vector<std::uint64_t> held = ledger_.heldBytes(view.record.name);
  view.free_bytes.assign(view.record.accelerators, 0);
  for (std::size_t index = 0; index < view.free_bytes.size(); ++index) {
    const std::uint64_t taken = held[index] + view.reserved_bytes[index];
    view.free_bytes[index] =
        taken < view.record.bytes_per_accelerator ? view.record.bytes_per_accelerator - taken : 0;
  }
}

void EngineIndex::onReport(const EngineReport& report) {
  const auto entry = engines_.find(report.engine);
  if (entry == engines_.end() || entry->second.record.incarnation != report.incarnation) {
    return;
  }
  EngineView& view = entry->second;
  if (!view.reachable) {
    removeFromOrders(view);
    view.reachable = true;
    addToOrders(view);
  }
  replaceHolders(memory_holders_, report.engine, view.in_memory, report.in_memory);
  replaceHolders(disk_holders_, report.engine, view.on_disk, report.on_disk);
}

void EngineIndex::setUnreachable(const EngineName& name) {
  const auto entry = engines_.find(name);
  if (entry == engines_.end()) {
    return;
  }
  removeFromOrders(entry->second);
  entry->second.reachable = false;
}

void EngineIndex::setLeaving(const MachineName& machine, bool leaving, std::optional<TimePoint> leaves_at) {
  if (leaving) {
    leaving_[machine] = leaves_at;
  } else {
    leaving_.erase(machine);
  }
  for (const EngineName& engine : enginesOf(machine)) {
    refresh(engine);
  }
}

void EngineIndex::reserveMemory(const EngineName& name, const std::vector<std::uint32_t>& accelerators,
                                std::uint64_t bytes) {
  updateReservation(name, accelerators, bytes, true);
}

void EngineIndex::releaseMemory(const EngineName& name, const std::vector<std::uint32_t>& accelerators,
                                std::uint64_t bytes) {
  updateReservation(name, accelerators, bytes, false);
}

void EngineIndex::updateReservation(const EngineName& name, const std::vector<std::uint32_t>& accelerators,
                                    std::uint64_t bytes, bool add) {
  const auto entry = engines_.find(name);
  if (entry == engines_.end()) {
    return;
  }
  EngineView& view = entry->second;
  removeFromOrders(view);
  for (const std::uint32_t accelerator : accelerators) {
    if (accelerator >= view.reserved_bytes.size()) {
      continue;
    }
    std::uint64_t& reserved = view.reserved_bytes[accelerator];
    reserved = add ? reserved + bytes : reserved - std::min(reserved, bytes);
  }
  computeFree(view);
  addToOrders(view);
}

const EngineView* EngineIndex::find(const EngineName& name) const {
  const auto entry = engines_.find(name);
  return entry == engines_.end() ? nullptr : &entry->second;
}

CheckpointTier EngineIndex::tierOf(const EngineName& engine, const ModelName& model) const {
  const EngineView* view = find(engine);
  if (view != nullptr && view->in_memory.contains(model)) {
    return CheckpointTier::Memory;
  }
  if (view != nullptr && view->on_disk.contains(model)) {
    return CheckpointTier::Disk;
  }
  return CheckpointTier::Remote;
}

std::vector<std::uint32_t> EngineIndex::chooseAccelerators(const std::vector<std::uint64_t>& free_bytes,
                                                           const ReplicaShape& shape) {
  std::vector<std::uint32_t> chosen;
  for (std::uint32_t index = 0; index < free_bytes.size(); ++index) {
    if (free_bytes[index] >= shape.bytes_per_accelerator) {
      chosen.push_back(index);
    }
  }
  if (shape.accelerators == 0 || chosen.size() < shape.accelerators) {
    return {};
  }
  std::stable_sort(chosen.begin(), chosen.end(), [&](std::uint32_t left, std::uint32_t right) {
    return free_bytes[left] < free_bytes[right];
  });
  chosen.resize(shape.accelerators);
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

std::vector<EngineName> EngineIndex::candidates(const ModelName& model, const ReplicaShape& shape,
                                                const std::vector<std::string>& zones) const {
  std::set<EngineName> found;
  for (const auto* holders : {&memory_holders_, &disk_holders_}) {
    const auto entry = holders->find(model);
    if (entry == holders->end()) {
      continue;
    }
    std::size_t probes = 0;
    for (const EngineName& name : entry->second) {
      const EngineView& view = engines_.at(name);
      const bool fits = !chooseAccelerators(view.free_bytes, shape).empty();
      if (view.usable() && fits && isZoneAllowed(zones, view.record.zone)) {
        found.insert(name);
      }
      if (++probes == kHolderProbes) {
        break;
      }
    }
  }
  for (const auto& [zone, orders] : zones_) {
    if (!isZoneAllowed(zones, zone) || shape.accelerators == 0 || shape.accelerators > orders.size()) {
      continue;
    }
    const FreeOrder& order = orders[shape.accelerators - 1];
    auto fullest = order.lower_bound({shape.bytes_per_accelerator, EngineName{}});
    for (std::size_t probe = 0; probe < kProbesPerEnd && fullest != order.end(); ++probe, ++fullest) {
      found.insert(fullest->second);
    }
    auto emptiest = order.rbegin();
    for (std::size_t probe = 0; probe < kProbesPerEnd && emptiest != order.rend(); ++probe, ++emptiest) {
      if (emptiest->first < shape.bytes_per_accelerator) {
        break;
      }
      found.insert(emptiest->second);
    }
  }
  return {found.begin(), found.end()};
}

std::optional<EngineName> EngineIndex::prefetchTarget(const ModelName& model, CheckpointTier to) const {
  if (to == CheckpointTier::Memory) {
    const auto holders = disk_holders_.find(model);
    if (holders == disk_holders_.end()) {
      return std::nullopt;
    }
    for (const EngineName& name : holders->second) {
      if (engines_.at(name).usable()) {
        return name;
      }
    }
    return std::nullopt;
  }
  const FreeOrder* best = nullptr;
  for (const auto& [zone, orders] : zones_) {
    if (orders.empty() || orders[0].empty()) {
      continue;
    }
    if (best == nullptr || orders[0].rbegin()->first > best->rbegin()->first) {
      best = &orders[0];
    }
  }
  return best == nullptr ? std::nullopt : std::optional<EngineName>(best->rbegin()->second);
}

bool EngineIndex::hasCheckpoint(const ModelName& model, CheckpointTier tier) const {
  const auto& holders = tier == CheckpointTier::Memory ? memory_holders_ : disk_holders_;
  return holders.contains(model);
}

std::vector<EngineName> EngineIndex::enginesOf(const MachineName& machine) const {
  const auto entry = machines_.find(machine);
  if (entry == machines_.end()) {
    return {};
  }
  return {entry->second.begin(), entry->second.end()};
}

void EngineIndex::addToOrders(const EngineView& view) {
  if (!view.usable()) {
    return;
  }
  ZoneOrders& orders = zones_[view.record.zone];
  const std::vector<std::uint64_t> free_bytes = sortedDescending(view.free_bytes);
  if (orders.size() < free_bytes.size()) {
    orders.resize(free_bytes.size());
  }
  for (std::size_t index = 0; index < free_bytes.size(); ++index) {
    orders[index].insert({free_bytes[index], view.record.name});
  }
}

void EngineIndex::removeFromOrders(const EngineView& view) {
  const auto zone = zones_.find(view.record.zone);
  if (zone == zones_.end()) {
    return;
  }
  const std::vector<std::uint64_t> free_bytes = sortedDescending(view.free_bytes);
  for (std::size_t index = 0; index < free_bytes.size() && index < zone->second.size(); ++index) {
    zone->second[index].erase({free_bytes[index], view.record.name});
  }
}

void EngineIndex::replaceHolders(std::map<ModelName, std::set<EngineName>>& holders, const EngineName& engine,
                                 std::set<ModelName>& before, const std::vector<ModelName>& after) {
  const std::set<ModelName> now_held(after.begin(), after.end());
  if (now_held == before) {
    return;
  }
  for (const ModelName& model : before) {
    if (now_held.contains(model)) {
      continue;
    }
    holders[model].erase(engine);
    if (holders[model].empty()) {
      holders.erase(model);
    }
  }
  for (const ModelName& model : now_held) {
    holders[model].insert(engine);
  }
  before = now_held;
}

void EngineIndex::dropCheckpoints(EngineView& view) {
  replaceHolders(memory_holders_, view.record.name, view.in_memory, {});
  replaceHolders(disk_holders_, view.record.name, view.on_disk, {});
}

}  // namespace ferryrock::placement
