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

/// The replicated log of a control cell. Pure logic: the caller passes in messages, ticks and sync
/// completions with the current time, and carries out the returned effects. This code does no I/O and reads
/// no clock.
namespace ferryrock::consensus {

/// Term, vote and disk identity. Synced before any message that depends on them is sent.
struct HardState {
  Term term;
  MemberId voted_for;  ///< 0: none
  DiskId disk;         ///< random; generated at the first start on an empty disk
  FERRYROCK_FIELDS(HardState, term, voted_for, disk)
};

/// Serialized state machine after applying last_index, with the membership in effect at that index.
struct Snapshot {
  LogIndex last_index;
  Term last_term;
  wire::Membership membership;
  std::string bytes;
  FERRYROCK_FIELDS(Snapshot, last_index, last_term, membership, bytes)
};

/// State recovered from storage; empty on a new disk.
struct RecoveredState {
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  std::vector<wire::LogEntry> entries;  ///< contiguous, following the snapshot
};

struct QuorumLogSettings {
  MemberId id;
  NodeName node;
  wire::Membership initial_membership;  ///< used only if storage has no membership and bootstrap is set
  /// Whether a member with an empty disk may take part in forming a new cell of initial_membership. The first
  /// election needs the vote of every initial member, so members that lost their disks cannot form an
  /// existing cell a second time; the setting is therefore safe to leave on. If false, a member with an empty
  /// disk waits to be added as a learner.
  bool bootstrap = true;
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration election_timeout_min = std::chrono::milliseconds(500);
  Duration election_timeout_max = std::chrono::milliseconds(1000);
  /// If set, a member that has had no leader contact since its start grants votes without delay and starts
  /// elections after first_election_*. Safe only if reads are confirmed by heartbeat rounds and not by
  /// leases: before a crash, a member may have acknowledged a leader whose lease is still valid for up to
  /// election_timeout_min when the restarted member votes.
  bool elect_at_start = false;
  Duration first_election_min = std::chrono::milliseconds(80);
  Duration first_election_max = std::chrono::milliseconds(240);
  /// Subtracted from the leader lease to allow for clock drift.
  Duration lease_drift_margin = std::chrono::milliseconds(50);
  std::size_t max_batch_bytes = 1 << 20;
  std::size_t max_inflight_batches = 8;
  std::size_t snapshot_chunk_bytes = 256 << 10;
  /// A snapshot is requested once this many committed entries follow the last one.
  std::size_t snapshot_after_entries = 10'000;
  std::size_t retained_entries = 1'000;  ///< entries before a snapshot kept in memory for slow followers
  Defects defects;                       ///< test only
};

/// Must be written to stable storage, in order; after the sync, the caller calls
/// QuorumLog::onPersisted(sequence). QuorumLog itself withholds messages that depend on the write until then.
struct PersistEffect {
  std::uint64_t sequence = 0;
  std::optional<HardState> hard_state;
  std::optional<LogIndex> truncate_from;  ///< drop entries from here on before appending
  std::vector<wire::LogEntry> entries;
  std::optional<Snapshot> snapshot;  ///< replaces the log up to the snapshot's last_index
};

/// Newly committed entries, in log order; each entry is applied exactly once per process start. Entries of
/// kind MembershipChange are included. Each leader appends one at the start of its term, so an entry may
/// repeat the membership in effect.
struct ApplyEffect {
  std::vector<wire::LogEntry> entries;
};

/// The state machine must be replaced by this snapshot. The first call after a start returns this effect for
/// the recovered snapshot, if any.
struct RestoreEffect {
  Snapshot snapshot;
};

/// Requests that the state machine be serialized and passed to QuorumLog::compact().
struct SnapshotRequestEffect {
  LogIndex applied;
};

enum class Role : std::uint8_t { Learner, Follower, Candidate, Leader };

struct RoleEffect {
  Role role = Role::Follower;
  Term term;
  NodeName leader;  ///< empty: unknown
};

/// Result of confirmRead(). A confirmed read may be answered from the state after applying index or a later
/// entry.
struct ReadReadyEffect {
  std::uint64_t read_id = 0;
  LogIndex index;
  bool confirmed = false;  ///< false: this member does not lead; retry on the leader
};

using Effect = std::variant<wire::SendEffect, PersistEffect, ApplyEffect, RestoreEffect,
                            SnapshotRequestEffect, RoleEffect, ReadReadyEffect>;
using Effects = std::vector<Effect>;

struct Proposal {
  bool accepted = false;
  /// Reason for a rejection: NotLeader, MembershipChangeInProgress, UnknownMember, MemberNotCaughtUp,
  /// MemberNameInUse, InvalidField (the last voter cannot be removed).
  ResultCode code = ResultCode::NotLeader;
  LogIndex index;  ///< of the entry; committed only if the entry applied at this index has `term`
  Term term;
  Effects effects;
};

/// One member of a Raft group (Ongaro 2014): election with pre-vote, replication, leader lease, single-server
/// membership change with learners, snapshot transfer and leadership transfer. Not thread-safe.
class QuorumLog {
 public:
  virtual ~QuorumLog() = default;

  virtual Effects receive(const NodeName& from, const wire::Message& message, TimePoint now) = 0;
  /// To be called at nextDeadline() or later; an earlier call has no effect.
  virtual Effects tick(TimePoint now) = 0;
  virtual TimePoint nextDeadline() const = 0;
  virtual Effects onPersisted(std::uint64_t sequence, TimePoint now) = 0;
  virtual Proposal propose(std::string command, TimePoint now) = 0;
  virtual Effects confirmRead(std::uint64_t read_id, TimePoint now) = 0;
  /// Takes a snapshot: `state` is the state machine serialized after applying `applied`. The entries that it
  /// covers are dropped from memory except for the last retained_entries, and from storage once it is synced.
  virtual Effects compact(LogIndex applied, std::string state, TimePoint now) = 0;
  /// Membership changes: adds a learner, promotes a learner that has caught up, or removes a member. Only one
  /// change may be uncommitted at a time. A member that lost its disk needs a new identity: remove the old
  /// identity, then add the new one.
  virtual Proposal addLearner(const wire::Member& member, TimePoint now) = 0;
  virtual Proposal promote(MemberId member, TimePoint now) = 0;
  virtual Proposal remove(MemberId member, TimePoint now) = 0;
  /// Starts a transfer to the most advanced reachable voter, for a planned stop. No effect unless this member
  /// leads.
  virtual Effects transferLeadership(TimePoint now) = 0;

  virtual Role role() const = 0;
  virtual Term term() const = 0;
  virtual NodeName leader() const = 0;
  virtual LogIndex committed() const = 0;
  virtual LogIndex lastIndex() const = 0;
  /// True while this member leads and no other member can have been elected, given this process's clock and
  /// lease_drift_margin.
  virtual bool hasLease(TimePoint now) const = 0;
  /// Latest time at which a majority of the voters is known to have followed this leader, so that no other
  /// leader had been elected by then; nullopt if this member does not lead or has not committed an entry of
  /// its own term.
  virtual std::optional<TimePoint> leadershipConfirmedAt(TimePoint now) const = 0;
  virtual const wire::Membership& membership() const = 0;
};

std::unique_ptr<QuorumLog> createQuorumLog(const QuorumLogSettings& settings, RecoveredState recovered,
                                           Random random, TimePoint now);

}  // namespace ferryrock::consensus
