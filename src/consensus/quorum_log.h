#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/identifiers.h"
#include "common/random.h"
#include "common/result_code.h"
#include "common/time.h"
#include "consensus/defects.h"
#include "wire/messages.h"

/// The replicated log of a control cell. Logic only: it is handed messages, ticks and sync completions with
/// the time, and returns effects. Nothing here reads a clock, a disk or a socket.
namespace ferryrock::consensus {

/// Term, vote and the disk's identity; synced before any message that depends on them leaves.
struct HardState {
  Term term;
  MemberId voted_for;  ///< 0: none
  DiskId disk;         ///< drawn at the first start on an empty disk
  FERRYROCK_FIELDS(HardState, term, voted_for, disk)
};

/// State machine's bytes up to last_index, with the membership in force there.
struct Snapshot {
  LogIndex last_index;
  Term last_term;
  wire::Membership membership;
  std::string bytes;
  FERRYROCK_FIELDS(Snapshot, last_index, last_term, membership, bytes)
};

/// What storage recovered; empty on a new disk.
struct RecoveredState {
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  std::vector<wire::LogEntry> entries;  ///< contiguous, following the snapshot
};

struct QuorumLogSettings {
  MemberId id;
  NodeName node;
  wire::Membership initial_membership;  ///< used only when storage holds no membership and bootstrap is set
  /// An empty disk may help to form a new cell of initial_membership. The first election needs the vote of
  /// every initial member, so an existing cell can't be formed again by members that lost their disks; safe
  /// to leave on. False: an empty disk waits to be added as a learner.
  bool bootstrap = true;
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration election_timeout_min = std::chrono::milliseconds(500);
  Duration election_timeout_max = std::chrono::milliseconds(1000);
  /// A member that has heard no leader since its start votes at once and calls elections after
  /// first_election_*. For cells whose reads are confirmed by rounds: a member that crashed and voted at once
  /// may have acknowledged a leader whose lease still runs for up to election_timeout_min.
  bool elect_at_start = false;
  Duration first_election_min = std::chrono::milliseconds(80);
  Duration first_election_max = std::chrono::milliseconds(240);
  Duration lease_drift_margin = std::chrono::milliseconds(50);  ///< subtracted from the leader's lease
  std::size_t max_batch_bytes = 1 << 20;
  std::size_t max_inflight_batches = 8;
  std::size_t snapshot_chunk_bytes = 256 << 10;
  std::size_t snapshot_after_entries =
      10'000;                            ///< asks for a snapshot when that many entries follow the last one
  std::size_t retained_entries = 1'000;  ///< kept in memory behind a snapshot for followers that lag a little
  Defects defects;                       ///< never set by the product
};

/// Write to stable storage, in order; answered by QuorumLog::onPersisted(sequence) after the sync.
/// Effects behind a write that depend on it are held back by QuorumLog itself.
struct PersistEffect {
  std::uint64_t sequence = 0;
  std::optional<HardState> hard_state;
  std::optional<LogIndex> truncate_from;  ///< drop entries from this index on, before appending
  std::vector<wire::LogEntry> entries;
  std::optional<Snapshot> snapshot;  ///< replaces the log up to its last_index
};

/// Entries that are committed, in order, each exactly once per start. Entries of kind MembershipChange are
/// among them; each leader opens its term with one, so they may repeat the membership in force.
struct ApplyEffect {
  std::vector<wire::LogEntry> entries;
};

/// The state machine must be replaced by this snapshot. The first call after a start returns one for the
/// recovered snapshot, if there is any.
struct RestoreEffect {
  Snapshot snapshot;
};

/// The state machine should be serialized and given to QuorumLog::compact().
struct SnapshotWantedEffect {
  LogIndex applied;
};

enum class Role : std::uint8_t { Learner, Follower, Candidate, Leader };

struct RoleEffect {
  Role role = Role::Follower;
  Term term;
  NodeName leader;  ///< empty: unknown
};

/// A read asked for by confirmRead() may now be answered from the state applied at index or later.
struct ReadReadyEffect {
  std::uint64_t read_id = 0;
  LogIndex index;
  bool confirmed = false;  ///< false: leadership was lost, ask again elsewhere
};

using Effect = std::variant<wire::SendEffect, PersistEffect, ApplyEffect, RestoreEffect, SnapshotWantedEffect,
                            RoleEffect, ReadReadyEffect>;
using Effects = std::vector<Effect>;

struct Proposal {
  bool accepted = false;
  /// Why it isn't accepted: NotLeader, MembershipChangeInProgress, UnknownMember, MemberNotCaughtUp,
  /// MemberNameInUse.
  ResultCode code = ResultCode::NotLeader;
  LogIndex index;  ///< the entry's position; committed only if the entry applied there has this term
  Term term;
  Effects effects;
};

/// Election, replication, lease, membership change and snapshot transfer of one member (after Raft, Ongaro
/// 2014, with pre-vote, leadership transfer and learners). Used by one thread.
class QuorumLog {
 public:
  virtual ~QuorumLog() = default;

  virtual Effects receive(const NodeName& from, const wire::Message& message, TimePoint now) = 0;
  /// Call when nextDeadline() has come; calling it early does nothing.
  virtual Effects tick(TimePoint now) = 0;
  virtual TimePoint nextDeadline() const = 0;
  virtual Effects onPersisted(std::uint64_t sequence, TimePoint now) = 0;
  virtual Proposal propose(std::string command, TimePoint now) = 0;
  virtual Effects confirmRead(std::uint64_t read_id, TimePoint now) = 0;
  /// The state machine's bytes up to applied; entries up to there are dropped once synced.
  virtual Effects compact(LogIndex applied, std::string state, TimePoint now) = 0;
  /// Adds a learner, promotes one that has caught up, or removes a member; one change at a time. A lost disk
  /// means a new member identity: remove the old identity, then add the new one.
  virtual Proposal addLearner(const wire::Member& member, TimePoint now) = 0;
  virtual Proposal promote(MemberId member, TimePoint now) = 0;
  virtual Proposal remove(MemberId member, TimePoint now) = 0;
  /// Planned stop: the most advanced voter takes over.
  virtual Effects transferLeadership(TimePoint now) = 0;

  virtual Role role() const = 0;
  virtual Term term() const = 0;
  virtual NodeName leader() const = 0;
  virtual LogIndex committed() const = 0;
  virtual LogIndex lastIndex() const = 0;
  /// True while no other member can have been elected, by this process's clock and the drift margin.
  virtual bool hasLease(TimePoint now) const = 0;
  /// The latest moment at which a majority of the voters is known to have followed this leader, so that no
  /// other had been elected by then; nullopt: it doesn't lead, or has committed no entry of its own term yet.
  virtual std::optional<TimePoint> followedAt(TimePoint now) const = 0;
  virtual const wire::Membership& membership() const = 0;
};

std::unique_ptr<QuorumLog> createQuorumLog(const QuorumLogSettings& settings, RecoveredState recovered,
                                           Random random, TimePoint now);

}  // namespace ferryrock::consensus
