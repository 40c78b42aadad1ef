#include <utility>

#include "services/service_control_impl.h"

/// The part of ServiceControlImpl that propagates the crash records of calls between routers. Every member
/// holds the records, so that a new leader has them, and a router sends a member the records that the member
/// lacks. Suspicions are soft state; quarantines are also stored in the log, since each has cost three
/// replica crashes.
namespace ferryrock::services {
namespace {

/// Routers without contact for longer than this aren't notified; they receive missing records after their
/// next status.
constexpr Duration kContactTimeout = std::chrono::milliseconds(1500);

}  // namespace

void ServiceControlImpl::onMessage(const NodeName& from, const wire::CrashRecords& records, TimePoint now) {
  std::vector<wire::CrashRecord> changed_records;
  for (const wire::CrashRecord& record : records.records) {
    if (!crashes_.merge(record, now)) {
      continue;
    }
    wire::CrashRecord merged = crashes_.record(record.call, now);
    if (quarantine::CrashLedger::isShared(merged)) {
      changed_records.push_back(std::move(merged));
    }
  }
  notifyRouters(changed_records, now);
  for (const wire::CallFingerprint& trait : records.trial_requests) {
    onTrialRequest(from, trait, now);
  }
}

/// A trial is numbered in the log before it is granted, so that none is granted twice after a change of
/// leaders or a loss of power.
void ServiceControlImpl::onTrialRequest(const NodeName& router, const wire::CallFingerprint& trait,
                                        TimePoint now) {
  const bool open = crashes_.quarantined().contains(trait) && crashes_.trialOpensAt(trait) <= now;
  if (!leader_ || !open || !node_->log().hasLease(now) || !trials_proposed_.insert(trait).second) {
    return;
  }
  wire::CrashRecord record = crashes_.record(trait, now);
  ++record.trials;
  propose(TrialProposal{record, router}, wire::QuarantineCallCommand{record}, now);
}

void ServiceControlImpl::grantTrial(const TrialProposal& trial, TimePoint now) {
  crashes_.merge(trial.record, now);
  ++trials_granted_;
  const wire::CrashRecord merged = crashes_.record(trial.record.call, now);
  send(trial.router, wire::CrashRecords{{merged}, false, {}, {merged.call}});
  notifyRouters({merged}, now);
}

/// Sends records to all routers with recent contact. The leader does this; without a known leader, every
/// member does.
void ServiceControlImpl::notifyRouters(const std::vector<wire::CrashRecord>& changed_records, TimePoint now) {
  const bool tells = leader_.has_value() || node_->log().leader().empty();
  if (changed_records.empty() || !tells) {
    return;
  }
  for (const auto& [router, record] : directory_.routers()) {
    if (now - record.last_contact <= kContactTimeout) {
      send(router, wire::CrashRecords{changed_records, false});
    }
  }
}

void ServiceControlImpl::syncCrashRecords(const wire::CallRouterStatus& status, TimePoint now) {
  if (status.crash_digest != crashes_.digest()) {
    send(status.router, wire::CrashRecords{crashes_.shared(now), true});
  }
}

std::vector<SuspectedCall> ServiceControlImpl::suspectedCalls(TimePoint now) const {
  std::vector<SuspectedCall> calls;
  for (wire::CrashRecord& record : crashes_.shared(now)) {
    const bool quarantined = crashes_.quarantined().contains(record.call);
    calls.push_back({std::move(record), quarantined});
  }
  return calls;
}

Effects ServiceControlImpl::releaseCall(const wire::CallFingerprint& call, TimePoint now) {
  if (crashes_.recordAnswer(call)) {
    notifyRouters({crashes_.record(call, now)}, now);
  }
  return finish(now);
}

void ServiceControlImpl::mergeStoredQuarantines(TimePoint now) {
  if (node_->hosted().quarantineChanges() == merged_quarantine_changes_) {
    return;
  }
  merged_quarantine_changes_ = node_->hosted().quarantineChanges();
  for (const auto& [call, record] : node_->hosted().quarantined()) {
    crashes_.merge(record, now);
  }
}

void ServiceControlImpl::storeQuarantines(TimePoint now) {
  if (crashes_.changes() == stored_crash_changes_ || !node_->log().hasLease(now)) {
    return;
  }
  stored_crash_changes_ = crashes_.changes();
  const auto stored = node_->hosted().quarantined();
  for (const wire::CallFingerprint& call : crashes_.quarantined()) {
    if (!stored.contains(call) && quarantines_proposed_.insert(call).second) {
      propose(QuarantineProposal{call}, wire::QuarantineCallCommand{crashes_.record(call, now)}, now);
    }
  }
  for (const auto& [call, record] : stored) {
    if (!crashes_.quarantined().contains(call) && quarantines_proposed_.insert(call).second) {
      propose(QuarantineProposal{call}, wire::ReleaseCallCommand{call}, now);
    }
  }
}

}  // namespace ferryrock::services
