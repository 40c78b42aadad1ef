#include "placement/demand_table.h"

namespace ferryrock::placement {
namespace {

/// A row that no report renews for this long is dropped. Routers report a name whenever its demand changes.
constexpr Duration kRowLifetime = std::chrono::minutes(10);
/// A renewed row keeps its expiry while at least this much of its lifetime remains.
constexpr Duration kMinRemainingLifetime = std::chrono::minutes(9);
/// A row with waiting requests only expires this long after its earliest deadline: the reported requests have
/// ended by then, and later requests would have renewed the row.
constexpr Duration kDeadlineGrace = std::chrono::minutes(2);
/// A sequence number at least this far below the last one indicates a restarted router, not a reordered
/// report.
constexpr std::uint64_t kReorderWindow = 16;

bool isReordered(std::uint64_t sequence, std::uint64_t last) {
  constexpr std::uint64_t kFirstSequence = 1;
  return sequence > kFirstSequence && sequence <= last && last - sequence < kReorderWindow;
}

}  // namespace

std::vector<DemandTable::Change> DemandTable::apply(const wire::DemandReport& report, TimePoint now) {
  std::vector<Change> changes;
  Router& router = routers_[report.router];
  if (isReordered(report.sequence, router.sequence)) {
    return changes;
  }
  if (report.sequence <= router.sequence) {
    changes = removeRouter(report.router);
  }
  routers_[report.router].sequence = report.sequence;
  for (const wire::ModelDemand& demand : report.demand) {
    if (auto change = applyRow(report.router, demand, now)) {
      changes.push_back(*std::move(change));
    }
  }
  return changes;
}

std::optional<DemandTable::Change> DemandTable::applyRow(const NodeName& router,
                                                         const wire::ModelDemand& demand, TimePoint now) {
  const std::optional<ModelName> base = base_of_(demand.model);
  if (base && renewRow(router, demand, *base, now)) {
    return Change{demand.model, *base, true};
  }
  const std::optional<ModelName> previous = eraseRow(router, demand.model);
  if (!base) {
    return previous ? std::optional<Change>({demand.model, *previous, false}) : std::nullopt;
  }
  if (demand.waiting + demand.running > 0) {
    Row row{*base, demand.waiting, demand.running, std::nullopt, now + kRowLifetime};
    if (demand.waiting > 0 && demand.earliest_deadline_ms > 0) {
      row.deadline = now + std::chrono::milliseconds(demand.earliest_deadline_ms);
      if (demand.running == 0) {
        row.expiry = *row.deadline + kDeadlineGrace;
      }
    }
    insertRow(router, demand.model, row);
  }
  const bool used = demand.arrivals + demand.waiting + demand.running > 0;
  return Change{demand.model, *base, used};
}

std::vector<DemandTable::Change> DemandTable::removeRouter(const NodeName& router) {
  std::vector<Change> changes;
  const auto entry = routers_.find(router);
  if (entry == routers_.end()) {
    return changes;
  }
  for (const auto& [name, row] : entry->second.rows) {
    changes.push_back({name, row.base, false});
  }
  for (const Change& change : changes) {
    eraseRow(router, change.name);
  }
  routers_.erase(router);
  return changes;
}

std::vector<DemandTable::Change> DemandTable::expire(TimePoint now) {
  std::vector<Change> changes;
  while (!expiries_.empty() && expiries_.begin()->time <= now) {
    const Expiry first = *expiries_.begin();
    if (const auto base = eraseRow(first.router, first.name)) {
      changes.push_back({first.name, *base, false});
    }
  }
  return changes;
}

std::optional<TimePoint> DemandTable::nextExpiry() const {
  return expiries_.empty() ? std::nullopt : std::optional<TimePoint>(expiries_.begin()->time);
}

std::vector<DemandTable::Change> DemandTable::regroup(const ModelName& name) {
  std::vector<Change> changes;
  const auto entry = routers_of_name_.find(name);
  if (entry == routers_of_name_.end()) {
    return changes;
  }
  std::map<NodeName, Row> rows;
  for (const NodeName& router : entry->second) {
    rows[router] = routers_.at(router).rows.at(name);
  }
  for (const auto& [router, row] : rows) {
    changes.push_back({name, row.base, false});
    eraseRow(router, name);
  }
  const std::optional<ModelName> base = base_of_(name);
  if (!base) {
    return changes;
  }
  for (auto& [router, row] : rows) {
    row.base = *base;
    insertRow(router, name, row);
  }
  changes.push_back({name, *base, false});
  return changes;
}

std::vector<ModelName> DemandTable::namesOf(const ModelName& base) const {
  const auto entry = names_of_base_.find(base);
  if (entry == names_of_base_.end()) {
    return {};
  }
  return {entry->second.begin(), entry->second.end()};
}

DemandFigures DemandTable::figures(const Totals& totals, const ModelName& key) {
  DemandFigures result;
  const auto entry = totals.find(key);
  if (entry == totals.end()) {
    return result;
  }
  const Total& total = entry->second;
  result.waiting = static_cast<std::uint32_t>(total.waiting);
  result.running = static_cast<std::uint32_t>(total.running);
  result.routers_waiting = total.routers_waiting;
  if (!total.deadlines.empty()) {
    result.earliest_deadline = *total.deadlines.begin();
  }
  return result;
}

void DemandTable::addTo(Totals& totals, const ModelName& key, const Row& row) {
  Total& total = totals[key];
  total.waiting += row.waiting;
  total.running += row.running;
  total.routers_waiting += row.waiting > 0 ? 1 : 0;
  total.rows += 1;
  if (row.deadline) {
    total.deadlines.insert(*row.deadline);
  }
}

void DemandTable::removeFrom(Totals& totals, const ModelName& key, const Row& row) {
  const auto entry = totals.find(key);
  Total& total = entry->second;
  total.waiting -= row.waiting;
  total.running -= row.running;
  total.routers_waiting -= row.waiting > 0 ? 1 : 0;
  total.rows -= 1;
  if (row.deadline) {
    total.deadlines.erase(total.deadlines.find(*row.deadline));
  }
  if (total.rows == 0) {
    totals.erase(entry);
  }
}

/// Fast path for the common case: requests run and none waits, both before and after the report. Updates only
/// the number of running requests.
bool DemandTable::renewRow(const NodeName& router, const wire::ModelDemand& demand, const ModelName& base,
                           TimePoint now) {
  const auto owner = routers_.find(router);
  if (owner == routers_.end() || demand.waiting > 0 || demand.running == 0) {
    return false;
  }
  const auto entry = owner->second.rows.find(demand.model);
  if (entry == owner->second.rows.end()) {
    return false;
  }
  Row& row = entry->second;
  const bool fresh = row.expiry >= now + kMinRemainingLifetime;
  if (!fresh || row.waiting > 0 || row.base != base) {
    return false;
  }
  Total& of_name = by_name_.at(demand.model);
  Total& of_base = by_base_.at(base);
  of_name.running = of_name.running - row.running + demand.running;
  of_base.running = of_base.running - row.running + demand.running;
  row.running = demand.running;
  return true;
}

void DemandTable::insertRow(const NodeName& router, const ModelName& name, const Row& row) {
  routers_[router].rows[name] = row;
  addTo(by_name_, name, row);
  addTo(by_base_, row.base, row);
  names_of_base_[row.base].insert(name);
  routers_of_name_[name].insert(router);
  expiries_.insert({row.expiry, router, name});
}

std::optional<ModelName> DemandTable::eraseRow(const NodeName& router, const ModelName& name) {
  const auto owner = routers_.find(router);
  if (owner == routers_.end()) {
    return std::nullopt;
  }
  const auto entry = owner->second.rows.find(name);
  if (entry == owner->second.rows.end()) {
    return std::nullopt;
  }
  const Row row = entry->second;
  owner->second.rows.erase(entry);
  expiries_.erase({row.expiry, router, name});
  removeFrom(by_name_, name, row);
  removeFrom(by_base_, row.base, row);
  routers_of_name_[name].erase(router);
  if (routers_of_name_[name].empty()) {
    routers_of_name_.erase(name);
    names_of_base_[row.base].erase(name);
  }
  if (names_of_base_[row.base].empty()) {
    names_of_base_.erase(row.base);
  }
  return row.base;
}

}  // namespace ferryrock::placement
