#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "common/time.h"
#include "quarantine/suspect.h"
#include "wire/service_messages.h"

namespace ferryrock::quarantine {

struct CrashLedgerSettings {
  /// Number of replicas that may crash while they run calls of a suspect until it is quarantined. The loss of
  /// three replicas to one cause is accepted.
  std::size_t crash_threshold = 3;
  /// A suspected call is forgotten when it has crashed no replica for this long. Longer than a caller waits
  /// (at most 35 s), so that all attempts of one caller are counted together.
  Duration suspicion = std::chrono::seconds(60);
  /// How long a call is quarantined. The cause of the crashes persists until a model or an engine is changed,
  /// which takes operators hours; a call that was quarantined in error is over long before that.
  Duration quarantine = std::chrono::hours(1);
  /// Maximum number of suspects recorded. Each crash of a replica adds the few dozen calls that ran on it,
  /// and their traits.
  std::size_t max_calls = 2000;
  /// Number of trials granted soon after a trait was quarantined. The first releases a trait that was blamed
  /// in error, the second one whose first trial shared its replica with the actual cause.
  std::uint32_t prompt_trials = 2;
  /// Time from the last crash or trial to each of these trials. Calls under way at the quarantine end within
  /// it.
  Duration prompt_trial_delay = std::chrono::seconds(1);
  /// Time to the trial after these if no replica crashed since the last one, which then brought no verdict.
  /// It doubles from trial to trial, up to `quarantine`.
  Duration repeated_trial_delay = std::chrono::seconds(5);
  /// The same if a replica crashed since: each trial costs a replica while the cause persists.
  Duration late_trial_delay = std::chrono::minutes(10);
};

enum class QuarantineState : std::uint8_t {
  Unsuspected,  ///< no crash of a replica counts against the call
  Suspected,
  Quarantined,  ///< the call is no longer sent to replicas
};

/// Records which calls, and which of their traits, were on replicas when these crashed. Every router and
/// control member has a ledger. The ledgers exchange records and merge them by union, so that messages may be
/// lost, duplicated, late or reordered, and any member can answer queries.
///
/// Attribution: when a replica crashes, the crash is recorded for all calls that ran on it and for their
/// traits. If another replica answers a call of the suspect later, the suspect is harmless, and its crashes
/// so far no longer count. A harmless suspect is therefore quarantined only if it was on `crash_threshold`
/// crashing replicas in a row without an answer in between. A crash that is secondary evidence against a
/// trait (see wire::ReplicaCrash) doesn't count either once it is primary evidence against another trait.
///
/// Trials: nothing answers calls of a quarantined suspect any more, so a trait that many sound calls share is
/// tested by single calls, which the leader grants. Calls and traits are both addressed by their
/// fingerprints. Pure logic without I/O or a clock. Not thread-safe.
class CrashLedger {
 public:
  explicit CrashLedger(const CrashLedgerSettings& settings = {}) : settings_(settings) {}

  /// Records that the replica crashed while it ran the call. Returns true if this was new.
  bool recordCrash(const wire::CallFingerprint& call, const ReplicaId& replica, TimePoint now);
  /// The same for any suspect. secondary: see wire::ReplicaCrash.
  bool recordCrash(const Suspect& suspect, const ReplicaId& replica, bool secondary, TimePoint now);
  /// Records that a replica answered the call. Returns true if any crash counted until now.
  bool recordAnswer(const wire::CallFingerprint& call);
  /// Merges another process's record. Returns true if any of it was new.
  bool merge(const wire::CrashRecord& record, TimePoint now);
  void expire(TimePoint now);

  QuarantineState quarantineState(const wire::CallFingerprint& call) const;
  /// Number of crashes that count against the call.
  std::size_t ends(const wire::CallFingerprint& call) const;
  /// Time until the call's quarantine ends; zero if it isn't quarantined.
  Duration left(const wire::CallFingerprint& call, TimePoint now) const;
  /// Time since the last known crash; zero if none is known.
  Duration age(const wire::CallFingerprint& call, TimePoint now) const;
  const std::set<wire::CallFingerprint>& quarantined() const { return quarantined_; }
  /// Earliest time of the next trial of a quarantined trait.
  TimePoint trialOpensAt(const wire::CallFingerprint& trait) const;
  /// Calls that one more crash would quarantine, see Trial.
  const std::set<wire::CallFingerprint>& callsOnTrial() const { return on_trial_; }
  /// Number of changes so far.
  std::uint64_t changes() const { return changes_; }
  std::size_t size() const { return calls_.size(); }

  wire::CrashRecord record(const wire::CallFingerprint& call, TimePoint now) const;
  /// Records of calls that crashed two or more replicas, which all routers should have. Calls with a single
  /// crash are many (all that ran beside the cause) and usually harmless.
  std::vector<wire::CrashRecord> shared(TimePoint now) const;
  /// Digest of the shared records: equal for processes that share the same records, 0 for none.
  std::uint64_t digest() const { return digest_; }
  static std::uint64_t digestOf(const std::vector<wire::CrashRecord>& shared);
  static bool isShared(const wire::CrashRecord& record) { return record.ended.size() >= kMinSharedCrashes; }

 private:
  static constexpr std::size_t kMinSharedCrashes = 2;

  struct End {
    bool refuted = false;
    bool secondary = false;
  };
  struct Record {
    std::map<ReplicaId, End> ends;
    TimePoint last_crash{};
    wire::SuspectKind kind = wire::SuspectKind::Call;
    std::string name;
    std::uint32_t trials = 0;
    TimePoint last_trial{};
    bool crashed_since_trial = false;
  };

  static std::size_t countedCrashes(const Record& record);
  wire::CrashRecord describe(const wire::CallFingerprint& call, const Record& record, TimePoint now) const;
  static bool mergeDescription(Record& known, const wire::CrashRecord& record, TimePoint now);
  /// Refutes secondary evidence of the crash if there is primary evidence against a trait.
  void explainCrash(const Record& record, const ReplicaId& replica);
  /// Recomputes everything that is derived from the records.
  void updateDerivedState();
  void evictExcess(const wire::CallFingerprint& newest);

  CrashLedgerSettings settings_;
  std::map<wire::CallFingerprint, Record> calls_;
  std::set<wire::CallFingerprint> quarantined_;
  std::set<wire::CallFingerprint> on_trial_;
  /// Replicas whose crash is primary evidence against a trait.
  std::set<ReplicaId> explained_;
  std::uint64_t changes_ = 0;
  /// Of shared(); cached because statuses carry it many times between two changes.
  std::uint64_t digest_ = 0;
};

}  // namespace ferryrock::quarantine
