#include "services/replica_registry.h"

#include <algorithm>
#include <utility>

#include "wire/replica_incarnation.h"

namespace ferryrock::services {
namespace {

constexpr std::size_t kMaxRetainedRemovals = 4096;
/// Reports must confirm an ordered adapter load or model unload within this time; otherwise the order is
/// taken to have failed.
constexpr Duration kOrderConfirmationTimeout = std::chrono::seconds(4);
/// A replica counts as alive if its last report is no older than two heartbeats of 1.2 s plus a margin.
constexpr Duration kLivenessTimeout = std::chrono::milliseconds(2500);
/// Retention of removed replicas and their incarnations: reports that a network partition delays by up to
/// this time are recognised as stale.
constexpr Duration kRemovedReplicaRetention = std::chrono::minutes(5);

/// Returns true if the reports are equivalent for routers. The remaining slow start time isn't compared,
/// since routers count it down themselves.
bool sameForRouters(const wire::ReplicaReport& left, const wire::ReplicaReport& right) {
  const bool same_start = (left.slow_start_ms > 0) == (right.slow_start_ms > 0);
  return same_start && left.service == right.service && left.address == right.address &&
         left.slots == right.slots && left.held == right.held && left.zone == right.zone &&
         left.leaving == right.leaving && left.version == right.version;
}

bool listsAdapter(const wire::ReplicaReport& report, const ModelName& model, const std::string& adapter) {
  return std::any_of(report.held.begin(), report.held.end(), [&](const wire::LoadedModel& held) {
    return held.model == model &&
           std::find(held.adapters.begin(), held.adapters.end(), adapter) != held.adapters.end();
  });
}

}  // namespace

std::vector<wire::LoadedModel> ReplicaRecord::usable() const {
  std::vector<wire::LoadedModel> held;
  for (const wire::LoadedModel& model : report.held) {
    if (withdrawn_models.contains(model.model)) {
      continue;
    }
    held.push_back(model);
    for (const auto& [key, since] : assumed_adapters) {
      if (key.first == model.model && !listsAdapter(report, model.model, key.second)) {
        held.back().adapters.push_back(key.second);
      }
    }
  }
  return held;
}

ReportOutcome ReplicaRegistry::accept(const wire::ReplicaReport& report, TimePoint now, bool is_configured) {
  if (report.address.empty()) {
    markLeaving(currentIncarnation(report.id));
    return ReportOutcome::Changed;
  }
  if (hasNewerIncarnation(report.id)) {
    return ReportOutcome::Stale;
  }
  const auto known = replicas_.find(report.id);
  if (known == replicas_.end()) {
    const bool refused = isReplaced(report, now) || (!is_configured && addressIsInUse(report, now));
    return refused ? ReportOutcome::Stale : addReplica(report, now);
  }
  recordIncarnation(report.id, now);
  ReplicaRecord& record = known->second;
  const bool newly_leaving = report.leaving && !record.leaving;
  if (report.sequence <= record.report.sequence && !newly_leaving) {
    return ReportOutcome::Stale;
  }
  const bool same = sameForRouters(record.report, report) && !newly_leaving;
  if (report.sequence > record.report.sequence) {
    setReport(record, report);
    record.last_contact = now;
  }
  if (same) {
    return ReportOutcome::Unchanged;
  }
  std::erase_if(record.withdrawn_models, [&report](const auto& item) {
    return std::none_of(report.held.begin(), report.held.end(),
                        [&item](const wire::LoadedModel& held) { return held.model == item.first; });
  });
  recordChange(record);
  if (newly_leaving) {
    record.leaving = true;
    record.leaving_change = record.last_change;
  }
  return ReportOutcome::Changed;
}

ReportOutcome ReplicaRegistry::addReplica(const wire::ReplicaReport& report, TimePoint now) {
  removed_at_.erase(report.id);
  closed_unknown_.erase(report.id);
  closed_unknown_.erase(ReplicaId(wire::replicaName(report.id)));
  removeOthersAt(report.address, report.id, now);
  recordIncarnation(report.id, now);
  ReplicaRecord& record = replicas_[report.id];
  setReport(record, report);
  record.last_contact = now;
  recordChange(record);
  if (report.leaving) {
    record.leaving = true;
    record.leaving_change = record.last_change;
  }
  return ReportOutcome::Changed;
}

ReplicaId ReplicaRegistry::currentIncarnation(const ReplicaId& id) const {
  const auto incarnation = incarnations_.find(wire::replicaName(id));
  const bool is_bare_name = wire::replicaStartMs(id) == 0;
  return is_bare_name && incarnation != incarnations_.end() ? incarnation->second.id : id;
}

bool ReplicaRegistry::hasNewerIncarnation(const ReplicaId& id) const {
  const auto incarnation = incarnations_.find(wire::replicaName(id));
  return incarnation != incarnations_.end() &&
         wire::replicaStartMs(incarnation->second.id) > wire::replicaStartMs(id);
}

/// Records the replica's current incarnation. The former one is removed with the first report of its
/// successor, which inherits neither its models nor its report sequence nor its leave notices.
void ReplicaRegistry::recordIncarnation(const ReplicaId& id, TimePoint now) {
  if (wire::replicaStartMs(id) == 0) {
    return;
  }
  const std::string name = wire::replicaName(id);
  Incarnation& incarnation = incarnations_[name];
  if (!incarnation.id.empty() && incarnation.id != id) {
    const auto former = replicas_.find(incarnation.id);
    if (former != replicas_.end()) {
      remove(former, now);
    }
  }
  incarnation = {id, now};
  const auto without_start = replicas_.find(ReplicaId(name));
  if (without_start != replicas_.end()) {
    remove(without_start, now);
  }
}

void ReplicaRegistry::recordHeartbeat(const wire::UnchangedReport& alive, TimePoint now) {
  ReplicaRecord* record = findMutable(alive.id);
  if (record != nullptr && alive.sequence > record->report.sequence) {
    record->report.sequence = alive.sequence;
    record->last_contact = now;
    recordIncarnation(alive.id, now);
  }
}

bool ReplicaRegistry::isReplaced(const wire::ReplicaReport& report, TimePoint now) const {
  return removed_at_.contains(report.id) && addressIsInUse(report, now);
}

bool ReplicaRegistry::addressIsInUse(const wire::ReplicaReport& report, TimePoint now) const {
  const auto holders = by_address_.find(report.address);
  return holders != by_address_.end() &&
         std::any_of(holders->second.begin(), holders->second.end(), [&](const ReplicaId& id) {
           return now - replicas_.at(id).last_contact <= kLivenessTimeout;
         });
}

void ReplicaRegistry::removeOthersAt(const std::string& address, const ReplicaId& id, TimePoint now) {
  const auto holders = by_address_.find(address);
  if (holders == by_address_.end()) {
    return;
  }
  for (const ReplicaId& other : std::set<ReplicaId>(holders->second)) {
    if (other != id) {
      remove(replicas_.find(other), now);
    }
  }
}

void ReplicaRegistry::setReport(ReplicaRecord& record, const wire::ReplicaReport& report) {
  removeFromAddressIndex(record);
  record.report = report;
  by_address_[report.address].insert(report.id);
}

void ReplicaRegistry::removeFromAddressIndex(const ReplicaRecord& record) {
  const auto holders = by_address_.find(record.report.address);
  if (holders == by_address_.end()) {
    return;
  }
  holders->second.erase(record.report.id);
  if (holders->second.empty()) {
    by_address_.erase(holders);
  }
}

void ReplicaRegistry::markLeaving(const ReplicaId& id) {
  ReplicaRecord* record = findMutable(id);
  if (record != nullptr && !record->leaving) {
    record->leaving = true;
    recordChange(*record);
    record->leaving_change = record->last_change;
  }
}

void ReplicaRegistry::closeUnknown(const ReplicaId& id) {
  const bool known = replicas_.contains(currentIncarnation(id));
  if (known || !closed_unknown_.emplace(id, changes_ + 1).second) {
    return;
  }
  recordRemoval(id);
  if (closed_unknown_.size() > kMaxRetainedRemovals) {
    closed_unknown_.erase(
        std::min_element(closed_unknown_.begin(), closed_unknown_.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
}

void ReplicaRegistry::setLimit(const ReplicaId& id, std::optional<double> calls_per_second) {
  ReplicaRecord* record = findMutable(id);
  if (record != nullptr && record->calls_per_second != calls_per_second) {
    record->calls_per_second = calls_per_second;
    record->limit_ended = !calls_per_second;
    recordChange(*record);
  }
}

void ReplicaRegistry::clearLimits() {
  for (auto& [id, record] : replicas_) {
    if (record.calls_per_second || record.limit_ended) {
      record.calls_per_second.reset();
      record.limit_ended = false;
      recordChange(record);
    }
  }
}

void ReplicaRegistry::setEvacuated(const std::set<ZoneName>& zones) {
  if (zones == evacuated_) {
    return;
  }
  const std::set<ZoneName> former = std::exchange(evacuated_, zones);
  for (auto& [id, record] : replicas_) {
    const ZoneName& zone = record.report.zone;
    if (former.contains(zone) != evacuated_.contains(zone)) {
      recordChange(record);
    }
  }
}

void ReplicaRegistry::expire(TimePoint now, Duration silence) {
  std::erase_if(removed_at_,
                [now](const auto& item) { return now - item.second > kRemovedReplicaRetention; });
  std::erase_if(incarnations_, [now](const auto& item) {
    return now - item.second.last_contact > kRemovedReplicaRetention;
  });
  for (auto replica = replicas_.begin(); replica != replicas_.end();) {
    const auto next = std::next(replica);
    ReplicaRecord& record = replica->second;
    if (now - record.last_contact > silence) {
      remove(replica, now);
    } else {
      const auto expired = [now](const auto& item) { return now - item.second > kOrderConfirmationTimeout; };
      const auto dropped =
          std::erase_if(record.assumed_adapters, expired) + std::erase_if(record.withdrawn_models, expired);
      if (dropped > 0) {
        recordChange(record);
      }
    }
    replica = next;
  }
}

void ReplicaRegistry::assumeAdapter(const ReplicaId& id, const ModelName& model, const std::string& adapter,
                                    TimePoint now) {
  if (ReplicaRecord* record = findMutable(id)) {
    record->assumed_adapters[{model, adapter}] = now;
    recordChange(*record);
  }
}

void ReplicaRegistry::dropAdapter(const ReplicaId& id, const ModelName& model, const std::string& adapter) {
  ReplicaRecord* record = findMutable(id);
  if (record == nullptr) {
    return;
  }
  record->assumed_adapters.erase({model, adapter});
  for (wire::LoadedModel& held : record->report.held) {
    if (held.model == model) {
      std::erase(held.adapters, adapter);
    }
  }
  recordChange(*record);
}

void ReplicaRegistry::withdrawModel(const ReplicaId& id, const ModelName& model, TimePoint now) {
  if (ReplicaRecord* record = findMutable(id)) {
    record->withdrawn_models[model] = now;
    recordChange(*record);
  }
}

void ReplicaRegistry::restoreModel(const ReplicaId& id, const ModelName& model) {
  ReplicaRecord* record = findMutable(id);
  if (record != nullptr && record->withdrawn_models.erase(model) > 0) {
    recordChange(*record);
  }
}

const ReplicaRecord* ReplicaRegistry::find(const ReplicaId& id) const {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

void ReplicaRegistry::forceFullUpdates() {
  ++changes_;
  closed_unknown_.clear();
  removals_.clear();
  removals_complete_from_ = changes_;
}

ReplicaRecord* ReplicaRegistry::findMutable(const ReplicaId& id) {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

bool ReplicaRegistry::removedSince(std::uint64_t change, std::vector<ReplicaId>& removed) const {
  if (change < removals_complete_from_) {
    return false;
  }
  for (const Removal& removal : removals_) {
    if (removal.change > change && !replicas_.contains(removal.id)) {
      removed.push_back(removal.id);
    }
  }
  return true;
}

void ReplicaRegistry::recordChange(ReplicaRecord& record) {
  record.last_change = ++changes_;
  changed_ids_.insert(record.report.id);
}

void ReplicaRegistry::remove(std::map<ReplicaId, ReplicaRecord>::iterator replica, TimePoint now) {
  removed_at_[replica->first] = now;
  recordRemoval(replica->first);
  removeFromAddressIndex(replica->second);
  replicas_.erase(replica);
}

void ReplicaRegistry::recordRemoval(const ReplicaId& id) {
  changed_ids_.insert(id);
  removals_.push_back({++changes_, id});
  if (removals_.size() > kMaxRetainedRemovals) {
    removals_complete_from_ = removals_.front().change;
    removals_.pop_front();
  }
}

}  // namespace ferryrock::services
