#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <tuple>

#include "common/hashing.h"

namespace ferryrock::quarantine {
namespace {

/// Maximum number of crashed replicas recorded for one call. Only a harmless call that many callers send
/// reaches it.
constexpr std::size_t kMaxCrashes = 16;

}  // namespace

std::size_t CrashLedger::countedCrashes(const Record& record) {
  return static_cast<std::size_t>(std::count_if(record.ends.begin(), record.ends.end(),
                                                [](const auto& end) { return !end.second.refuted; }));
}

bool CrashLedger::recordCrash(const wire::CallFingerprint& call, const ReplicaId& replica, TimePoint now) {
  return recordCrash(Suspect{call, wire::SuspectKind::Call, {}}, replica, false, now);
}

bool CrashLedger::recordCrash(const Suspect& suspect, const ReplicaId& replica, bool secondary,
                              TimePoint now) {
  wire::CrashRecord record;
  record.call = suspect.fingerprint;
  record.ended.push_back({replica, false, secondary});
  record.kind = suspect.kind;
  record.name = suspect.name;
  return merge(record, now);
}

bool CrashLedger::recordAnswer(const wire::CallFingerprint& call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return false;
  }
  const bool counts = countedCrashes(found->second) > 0;
  for (auto& [replica, end] : found->second.ends) {
    end.refuted = true;
  }
  if (counts) {
    updateDerivedState();
  }
  return counts;
}

bool CrashLedger::merge(const wire::CrashRecord& record, TimePoint now) {
  Record& known = calls_[record.call];
  const TimePoint last_crash = now - std::chrono::milliseconds(record.age_ms);
  bool modified = mergeDescription(known, record, now);
  for (const wire::ReplicaCrash& end : record.ended) {
    const auto place = known.ends.find(end.replica);
    if (place == known.ends.end() && known.ends.size() < kMaxCrashes) {
      known.ends.emplace(end.replica, End{end.refuted, end.secondary});
      known.last_crash = std::max(known.last_crash, last_crash);
      known.crashed_since_trial = true;
      explainCrash(known, end.replica);
      modified = true;
    } else if (place != known.ends.end() && end.refuted && !place->second.refuted) {
      place->second.refuted = true;
      modified = true;
    }
  }
  evictExcess(record.call);
  if (modified) {
    updateDerivedState();
  }
  return modified;
}

/// A record that passed through a build without kinds lacks its description.
bool CrashLedger::mergeDescription(Record& known, const wire::CrashRecord& record, TimePoint now) {
  if (known.kind == wire::SuspectKind::Call && record.kind != wire::SuspectKind::Call) {
    known.kind = record.kind;
    known.name = record.name;
  }
  if (record.trials <= known.trials) {
    return false;
  }
  known.trials = record.trials;
  known.last_trial = now;
  known.crashed_since_trial = false;
  return true;
}

/// Primary evidence explains the crash even if it is refuted later: the outcome mustn't depend on the order
/// in which records arrive.
void CrashLedger::explainCrash(const Record& record, const ReplicaId& replica) {
  if (record.kind == wire::SuspectKind::Call) {
    return;
  }
  const bool primary = !record.ends.at(replica).secondary;
  if (primary ? !explained_.insert(replica).second : !explained_.contains(replica)) {
    return;
  }
  for (auto& [call, other] : calls_) {
    const auto end = other.ends.find(replica);
    if (end != other.ends.end() && end->second.secondary) {
      end->second.refuted = true;
    }
  }
}

/// Evicts the call with the fewest counted crashes; of several, the one whose last crash is the oldest.
void CrashLedger::evictExcess(const wire::CallFingerprint& newest) {
  if (calls_.size() <= settings_.max_calls) {
    return;
  }
  auto least = calls_.end();
  for (auto call = calls_.begin(); call != calls_.end(); ++call) {
    const auto rank = [](const Record& record) {
      return std::make_tuple(countedCrashes(record), record.last_crash);
    };
    if (call->first != newest && (least == calls_.end() || rank(call->second) < rank(least->second))) {
      least = call;
    }
  }
  calls_.erase(least);
}

void CrashLedger::updateDerivedState() {
  ++changes_;
  digest_ = digestOf(shared(TimePoint{}));
  quarantined_.clear();
  on_trial_.clear();
  for (const auto& [call, record] : calls_) {
    const std::size_t ends = countedCrashes(record);
    if (ends >= settings_.crash_threshold) {
      quarantined_.insert(call);
    } else if (record.kind == wire::SuspectKind::Call && ends > 0 && ends + 1 == settings_.crash_threshold) {
      on_trial_.insert(call);
    }
  }
}

void CrashLedger::expire(TimePoint now) {
  const std::size_t erased = std::erase_if(calls_, [&](const auto& item) {
    const Duration kept = quarantined_.contains(item.first) ? settings_.quarantine : settings_.suspicion;
    return now - item.second.last_crash >= kept;
  });
  if (erased == 0) {
    return;
  }
  explained_.clear();
  for (const auto& [call, record] : calls_) {
    for (const auto& [replica, end] : record.ends) {
      if (record.kind != wire::SuspectKind::Call && !end.secondary) {
        explained_.insert(replica);
      }
    }
  }
  updateDerivedState();
}

std::size_t CrashLedger::ends(const wire::CallFingerprint& call) const {
  const auto found = calls_.find(call);
  return found == calls_.end() ? 0 : countedCrashes(found->second);
}

QuarantineState CrashLedger::quarantineState(const wire::CallFingerprint& call) const {
  if (quarantined_.contains(call)) {
    return QuarantineState::Quarantined;
  }
  return ends(call) > 0 ? QuarantineState::Suspected : QuarantineState::Unsuspected;
}

Duration CrashLedger::left(const wire::CallFingerprint& call, TimePoint now) const {
  if (!quarantined_.contains(call)) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), calls_.at(call).last_crash + settings_.quarantine - now);
}

TimePoint CrashLedger::trialOpensAt(const wire::CallFingerprint& trait) const {
  const auto found = calls_.find(trait);
  if (found == calls_.end()) {
    return TimePoint::max();
  }
  const Record& record = found->second;
  Duration delay = settings_.prompt_trial_delay;
  if (record.trials >= settings_.prompt_trials) {
    delay = record.crashed_since_trial ? settings_.late_trial_delay : settings_.repeated_trial_delay;
    for (std::uint32_t i = settings_.prompt_trials; i < record.trials && delay < settings_.quarantine; ++i) {
      delay *= 2;
    }
    delay = std::min(delay, settings_.quarantine);
  }
  return std::max(record.last_crash, record.last_trial) + delay;
}

Duration CrashLedger::age(const wire::CallFingerprint& call, TimePoint now) const {
  const auto found = calls_.find(call);
  return found == calls_.end() ? Duration::zero() : now - found->second.last_crash;
}

wire::CrashRecord CrashLedger::describe(const wire::CallFingerprint& call, const Record& record,
                                        TimePoint now) const {
  wire::CrashRecord described;
  described.call = call;
  for (const auto& [replica, end] : record.ends) {
    described.ended.push_back({replica, end.refuted, end.secondary});
  }
  described.age_ms = toMilliseconds(now - record.last_crash);
  described.kind = record.kind;
  described.name = record.name;
  described.trials = record.trials;
  return described;
}

wire::CrashRecord CrashLedger::record(const wire::CallFingerprint& call, TimePoint now) const {
  const auto found = calls_.find(call);
  return describe(call, found == calls_.end() ? Record{} : found->second, now);
}

std::vector<wire::CrashRecord> CrashLedger::shared(TimePoint now) const {
  std::vector<wire::CrashRecord> records;
  for (const auto& [call, record] : calls_) {
    if (record.ends.size() >= kMinSharedCrashes) {
      records.push_back(describe(call, record, now));
    }
  }
  return records;
}

std::uint64_t CrashLedger::digestOf(const std::vector<wire::CrashRecord>& shared) {
  std::uint64_t digest = 0;
  for (const wire::CrashRecord& record : shared) {
    std::uint64_t hash = record.call.high ^ record.call.low;
    for (const wire::ReplicaCrash& end : record.ended) {
      hash = stableHash(end.replica.value, hash + (end.refuted ? 1 : 0));
    }
    digest ^= hash;
  }
  return digest;
}

}  // namespace ferryrock::quarantine
