#include "control/hosted_services.h"

#include <algorithm>
#include <vector>

#include "wire/codec.h"

namespace ferryrock::control {

/// Not in the unnamed namespace, where its comparison would be an unused function.
struct StoredHostedServices {
  wire::ServiceCatalog catalog;
  std::string source;
  std::vector<ReplicaId> leaving;
  std::vector<wire::CrashRecord> quarantined;  ///< oldest first
  std::vector<ZoneName> evacuated;
  FERRYROCK_FIELDS(StoredHostedServices, catalog, source, leaving, quarantined, evacuated)
};

namespace {

/// Adds the ends that aren't known yet, what was refuted since, and the trials.
void mergeRecord(wire::CrashRecord& known, const wire::CrashRecord& other) {
  if (known.kind == wire::SuspectKind::Call) {
    known.kind = other.kind;
    known.name = other.name;
  }
  known.trials = std::max(known.trials, other.trials);
  for (const wire::ReplicaCrash& end : other.ended) {
    const auto place =
        std::find_if(known.ended.begin(), known.ended.end(),
                     [&end](const wire::ReplicaCrash& one) { return one.replica == end.replica; });
    if (place == known.ended.end()) {
      known.ended.push_back(end);
    } else {
      place->refuted = place->refuted || end.refuted;
    }
  }
}

bool anyEndCounts(const wire::CrashRecord& record) {
  return std::any_of(record.ended.begin(), record.ended.end(),
                     [](const wire::ReplicaCrash& end) { return !end.refuted; });
}

}  // namespace

wire::CommandResult HostedServices::apply(const wire::ReplaceCatalogCommand& command) {
  if (command.catalog.version > catalog_.version) {
    catalog_ = command.catalog;
    source_ = command.source;
  }
  return {};
}

wire::CommandResult HostedServices::apply(const wire::ReplicaLeavingCommand& command) {
  if (!leaving_.insert(command.replica).second) {
    return {};
  }
  ++leaving_changes_;
  leaving_order_.push_back(command.replica);
  if (leaving_order_.size() > kRememberedLeaving) {
    leaving_.erase(leaving_order_.front());
    leaving_order_.pop_front();
  }
  return {};
}

wire::CommandResult HostedServices::apply(const wire::QuarantineCallCommand& command) {
  const wire::CallFingerprint call = command.record.call;
  const auto [place, fresh] = quarantined_.try_emplace(call, wire::CrashRecord{call, {}, 0});
  ++quarantine_changes_;
  mergeRecord(place->second, command.record);
  if (fresh) {
    quarantine_order_.push_back(call);
  }
  if (!anyEndCounts(place->second)) {
    return apply(wire::ReleaseCallCommand{call});
  }
  if (quarantine_order_.size() > kRememberedQuarantines) {
    quarantined_.erase(quarantine_order_.front());
    quarantine_order_.pop_front();
  }
  return {};
}

wire::CommandResult HostedServices::apply(const wire::ReleaseCallCommand& command) {
  if (quarantined_.erase(command.call) > 0) {
    std::erase(quarantine_order_, command.call);
    ++quarantine_changes_;
  }
  return {};
}

wire::CommandResult HostedServices::apply(const wire::EvacuateZoneCommand& command) {
  if (command.evacuated) {
    evacuated_.insert(command.zone);
  } else {
    evacuated_.erase(command.zone);
  }
  return {};
}

std::string HostedServices::serialize() const {
  StoredHostedServices stored{catalog_,
                              source_,
                              {leaving_order_.begin(), leaving_order_.end()},
                              {},
                              {evacuated_.begin(), evacuated_.end()}};
  for (const wire::CallFingerprint& call : quarantine_order_) {
    stored.quarantined.push_back(quarantined_.at(call));
  }
  return wire::encode(stored);
}

void HostedServices::restore(std::string_view bytes) {
  StoredHostedServices stored;
  if (!bytes.empty()) {
    stored = wire::decode<StoredHostedServices>(bytes);
  }
  catalog_ = std::move(stored.catalog);
  source_ = std::move(stored.source);
  leaving_order_.assign(stored.leaving.begin(), stored.leaving.end());
  leaving_ = {stored.leaving.begin(), stored.leaving.end()};
  leaving_changes_ += leaving_.size();
  quarantine_order_.clear();
  quarantined_.clear();
  for (const wire::CrashRecord& record : stored.quarantined) {
    quarantine_order_.push_back(record.call);
    quarantined_.emplace(record.call, record);
  }
  ++quarantine_changes_;
  evacuated_ = {stored.evacuated.begin(), stored.evacuated.end()};
}

}  // namespace ferryrock::control
