#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::quarantine {

struct CrashLedgerSettings {
  /// Replicas that end under a call until it is kept away from all others. The users bear three.
  std::size_t ends_borne = 3;
  /// A call that is suspected is forgotten when no replica ended under it for so long. Longer than a caller
  /// waits (35 s at most on the users' sheets), so that all tries of one caller are seen together.
  Duration suspicion = std::chrono::seconds(60);
  /// How long a call is kept away. What is wrong with it stays wrong until a model or an engine changes,
  /// which takes operators hours; a call that was blamed in error has long ended by then.
  Duration quarantine = std::chrono::hours(1);
  /// Calls that are remembered. Each has cost the end of a replica, beside which a few dozen calls ran.
  std::size_t max_calls = 2000;
};

enum class Standing : std::uint8_t {
  Unsuspected,  ///< no replica is known to have ended under it
  Suspected,
  Quarantined,  ///< it isn't sent to a replica any more
};

/// Which calls replicas ended under. Every router and member keeps one; what they tell each other is merged
/// by union, so that messages may be lost, doubled, late and out of order, and any member may be asked.
///
/// Blame: all calls that ran on a replica when it ended are noted with it. A call that is answered later by
/// another replica is harmless: the ends so far don't count for it any more. So a harmless call is
/// quarantined only if it ran on `ends_borne` replicas in a row that ended, without an answer between.
/// Without input, output or a clock. Used by one thread.
class CrashLedger {
 public:
  explicit CrashLedger(const CrashLedgerSettings& settings = {}) : settings_(settings) {}

  /// The replica ended while it had the call. True if that was new.
  bool noteEnd(const wire::CallFingerprint& call, const ReplicaId& replica, TimePoint now);
  /// A replica ran the call to an answer. True if ends counted until now.
  bool noteAnswer(const wire::CallFingerprint& call);
  /// Takes what another process knows. True if any of it was new.
  bool merge(const wire::CrashRecord& record, TimePoint now);
  void expire(TimePoint now);

  Standing standing(const wire::CallFingerprint& call) const;
  /// Ends that count.
  std::size_t ends(const wire::CallFingerprint& call) const;
  /// Until a quarantine ends; zero if there is none.
  Duration left(const wire::CallFingerprint& call, TimePoint now) const;
  /// Since the last end that is known; zero if none is.
  Duration age(const wire::CallFingerprint& call, TimePoint now) const;
  const std::set<wire::CallFingerprint>& quarantined() const { return quarantined_; }
  /// The calls that one more end quarantines, see Trial.
  const std::set<wire::CallFingerprint>& onTrial() const { return on_trial_; }
  /// Rises when anything changes.
  std::uint64_t changes() const { return changes_; }
  std::size_t size() const { return calls_.size(); }

  wire::CrashRecord record(const wire::CallFingerprint& call, TimePoint now) const;
  /// The calls under which two replicas or more ended, which all routers should know. Those with one are many
  /// (all that ran beside it) and come to nothing, as a rule.
  std::vector<wire::CrashRecord> shared(TimePoint now) const;
  /// Equal for processes that share the same; 0 for nothing.
  std::uint64_t digest() const { return digest_; }
  static std::uint64_t digestOf(const std::vector<wire::CrashRecord>& shared);
  static bool isShared(const wire::CrashRecord& record) { return record.ended.size() >= kSharedEnds; }

 private:
  static constexpr std::size_t kSharedEnds = 2;

  struct Record {
    std::map<ReplicaId, bool> ends;  ///< true: the call was answered since, so that the end doesn't count
    TimePoint last_end{};
  };

  static std::size_t counted(const Record& record);
  wire::CrashRecord describe(const wire::CallFingerprint& call, const Record& record, TimePoint now) const;
  /// Works out anew what follows from the records.
  void changed();
  void keepBounds(const wire::CallFingerprint& newest);

  CrashLedgerSettings settings_;
  std::map<wire::CallFingerprint, Record> calls_;
  std::set<wire::CallFingerprint> quarantined_;
  std::set<wire::CallFingerprint> on_trial_;
  std::uint64_t changes_ = 0;
  std::uint64_t digest_ = 0;  ///< of what is shared; statuses carry it many times between two changes
};

}  // namespace ferryrock::quarantine
