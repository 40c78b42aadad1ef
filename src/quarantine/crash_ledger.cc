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
  return static_cast<std::size_t>(
      std::count_if(record.ends.begin(), record.ends.end(), [](const auto& end) { return !end.second; }));
}

bool CrashLedger::recordCrash(const wire::CallFingerprint& call, const ReplicaId& replica, TimePoint now) {
  Record& record = calls_[call];
  const bool added = record.ends.size() < kMaxCrashes && record.ends.try_emplace(replica, false).second;
  if (added) {
    record.last_crash = now;
    evictExcess(call);
    updateDerivedState();
  }
  return added;
}

bool CrashLedger::recordAnswer(const wire::CallFingerprint& call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return false;
  }
  const bool counts = countedCrashes(found->second) > 0;
  for (auto& [replica, refuted] : found->second.ends) {
    refuted = true;
  }
  if (counts) {
    updateDerivedState();
  }
  return counts;
}

bool CrashLedger::merge(const wire::CrashRecord& record, TimePoint now) {
  Record& known = calls_[record.call];
  bool modified = false;
  for (const wire::ReplicaCrash& end : record.ended) {
    const auto place = known.ends.find(end.replica);
    if (place == known.ends.end() && known.ends.size() < kMaxCrashes) {
      known.ends.emplace(end.replica, end.refuted);
      modified = true;
    } else if (place != known.ends.end() && end.refuted && !place->second) {
      place->second = true;
      modified = true;
    }
  }
  known.last_crash = std::max(known.last_crash, now - std::chrono::milliseconds(record.age_ms));
  evictExcess(record.call);
  if (modified) {
    updateDerivedState();
  }
  return modified;
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
    } else if (ends > 0 && ends + 1 == settings_.crash_threshold) {
      on_trial_.insert(call);
    }
  }
}

void CrashLedger::expire(TimePoint now) {
  const std::size_t erased = std::erase_if(calls_, [&](const auto& item) {
    const Duration kept = quarantined_.contains(item.first) ? settings_.quarantine : settings_.suspicion;
    return now - item.second.last_crash >= kept;
  });
  if (erased > 0) {
    updateDerivedState();
  }
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

Duration CrashLedger::age(const wire::CallFingerprint& call, TimePoint now) const {
  const auto found = calls_.find(call);
  return found == calls_.end() ? Duration::zero() : now - found->second.last_crash;
}

wire::CrashRecord CrashLedger::describe(const wire::CallFingerprint& call, const Record& record,
                                        TimePoint now) const {
  wire::CrashRecord described;
  described.call = call;
  for (const auto& [replica, refuted] : record.ends) {
    described.ended.push_back({replica, refuted});
  }
  described.age_ms = toMilliseconds(now - record.last_crash);
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
