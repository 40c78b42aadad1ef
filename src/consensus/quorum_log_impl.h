#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/entry_log.h"
#include "consensus/leadership.h"
#include "consensus/membership.h"
#include "consensus/pending_writes.h"
#include "consensus/progress.h"
#include "consensus/quorum_log.h"
#include "consensus/snapshot_receiver.h"

namespace ferryrock::consensus {

/// State of a pre-vote or election that this member started.
struct Candidacy {
  bool pre_vote = true;
  bool leadership_transfer = false;
  std::uint64_t vote_write = 0;        ///< the member's own vote counts once this write is synced
  std::map<MemberId, DiskId> granted;  ///< granted votes: the voter's disk identity by voter
};

/// Raft implementation of QuorumLog, in several files: quorum_log_impl.cc (entry points, writes, commit),
/// quorum_log_election.cc, quorum_log_leader.cc (replication, lease), quorum_log_follower.cc,
/// quorum_log_reads.cc and quorum_log_members.cc (membership changes, leadership transfer). Copies are
/// independent except that they share the random number generator for election timeouts.
class QuorumLogImpl : public QuorumLog {
 public:
  QuorumLogImpl(QuorumLogSettings settings, RecoveredState recovered, Random random, TimePoint now);

  Effects receive(const NodeName& from, const wire::Message& message, TimePoint now) override;
  Effects tick(TimePoint now) override;
  TimePoint nextDeadline() const override;
  Effects onPersisted(std::uint64_t sequence, TimePoint now) override;
  Proposal propose(std::string command, TimePoint now) override;
  Effects confirmRead(std::uint64_t read_id, TimePoint now) override;
  Effects compact(LogIndex applied, std::string state, TimePoint now) override;
  Proposal addLearner(const wire::Member& member, TimePoint now) override;
  Proposal promote(MemberId member, TimePoint now) override;
  Proposal remove(MemberId member, TimePoint now) override;
  Effects transferLeadership(TimePoint now) override;

  Role role() const override { return role_; }
  Term term() const override { return hard_state_.term; }
  NodeName leader() const override { return leader_; }
  LogIndex committed() const override { return committed_; }
  LogIndex lastIndex() const override { return log_.lastIndex(); }
  bool hasLease(TimePoint now) const override;
  std::optional<TimePoint> leadershipConfirmedAt(TimePoint now) const override;
  const wire::Membership& membership() const override { return memberships_.latest(); }

 private:
  friend class QuorumLogInspector;  ///< test access: fingerprints of member states

  // quorum_log_impl.cc. Each entry point calls begin() first and finish() last.
  void begin(TimePoint now);
  Effects finish();
  void reportRole();
  /// The write of the current call; created on first use and returned as an effect by finish().
  PersistEffect& write();
  void persistHardState();
  void ensureDiskIdentity();
  void send(const NodeName& to, wire::Message message);
  /// Sends the message once all writes so far are synced, or drops it if the term has changed by then.
  void sendOnceSynced(const NodeName& to, wire::Message message);
  void release(std::vector<wire::SendEffect> messages);
  bool hardStateSynced() const { return writes_.synced(hard_state_write_); }
  void appendEntry(wire::EntryKind kind, std::string payload);
  void commitThrough(LogIndex index);
  void requestSnapshot();
  bool isVoter() const;
  /// True if the member is a voter and a response from this disk counts for it: a voter whose disk was
  /// replaced does not count.
  bool countsAsVoter(MemberId member, DiskId disk) const;

  // quorum_log_election.cc
  void becomeFollower(Term term, const NodeName& leader);
  void resetElectionDeadline();
  void beginElection(bool pre_vote, bool leadership_transfer);
  void countVotes();
  void becomeLeader();
  wire::Membership membershipWithVoterDisks() const;
  bool logIsUpToDate(const wire::VoteRequest& request) const;
  bool hasLeaderContact() const;
  void onVoteRequest(const NodeName& from, const wire::VoteRequest& request);
  void answerPreVote(const NodeName& from, const wire::VoteRequest& request);
  void onVoteResponse(const wire::VoteResponse& response);
  void onTimeoutNow(const wire::TimeoutNow& order);

  // quorum_log_follower.cc
  bool acceptLeader(const NodeName& from, Term term);
  void onAppendRequest(const NodeName& from, const wire::AppendRequest& request);
  bool holdsPrevious(const wire::AppendRequest& request) const;
  LogIndex conflictHint(const wire::AppendRequest& request) const;
  void storeEntries(const std::vector<wire::LogEntry>& entries);
  void onSnapshotChunk(const NodeName& from, const wire::SnapshotChunk& chunk);
  void installSnapshot(Snapshot snapshot);

  // quorum_log_leader.cc
  void syncPeers();
  void broadcastHeartbeat();
  void sendHeartbeat(MemberId member, Progress& progress);
  void replicate();
  void replicateTo(MemberId member, Progress& progress);
  void sendBatch(MemberId member, Progress& progress);
  void sendSnapshotChunk(MemberId member, Progress& progress);
  wire::AppendRequest appendRequest(LogIndex previous, Term previous_term) const;
  void recordContact(Progress& progress, std::uint64_t round);
  void onAppendResponse(const wire::AppendResponse& response);
  void onAppendAccepted(Progress& progress, LogIndex match);
  void onAppendRejected(Progress& progress, LogIndex hint);
  void onSnapshotResponse(const wire::SnapshotResponse& response);
  Progress* progressOf(MemberId member, DiskId disk);
  void advanceCommit();
  LogIndex quorumMatch() const;
  bool isAwaiting(const Progress& progress) const;
  /// Send time of the latest heartbeat round acknowledged by a quorum; nullopt if there is none.
  std::optional<TimePoint> quorumContact(TimePoint now) const;
  bool hasLostQuorumContact(TimePoint now) const;
  void tickLeader();
  NodeName nodeOf(MemberId member) const;

  // quorum_log_reads.cc
  void answerReads();
  void failReads();
  std::uint64_t quorumRound() const;

  // quorum_log_members.cc
  ResultCode checkMembershipChange() const;
  Proposal proposeMembership(const wire::Membership& membership);
  Proposal refuse(ResultCode code);
  bool isCaughtUp(const Progress& progress) const;
  std::optional<MemberId> mostAdvancedVoter() const;
  void beginTransfer();
  void progressTransfer();
  void abandonTransfer();
  void onMembershipCommitted();

  QuorumLogSettings settings_;
  std::shared_ptr<Random> random_;
  HardState hard_state_;
  std::shared_ptr<const Snapshot> snapshot_;  ///< the most recent; null: none
  EntryLog log_;
  MembershipHistory memberships_;
  PendingWrites writes_;
  SnapshotReceiver receiver_;

  Role role_ = Role::Follower;
  NodeName leader_;
  LogIndex committed_;
  LogIndex requested_snapshot_index_;
  TimePoint now_;             ///< time passed to the current call; never goes back
  TimePoint leader_contact_;  ///< no vote is granted for election_timeout_min after this time
  TimePoint election_deadline_;
  bool has_seen_leader_ = false;  ///< a leader was known since the process start
  std::uint64_t hard_state_write_ = 0;
  std::optional<Candidacy> candidacy_;
  std::optional<Leadership> leadership_;

  Effects effects_;                             ///< of the current call
  std::optional<PersistEffect> current_write_;  ///< of the current call
  std::optional<RoleEffect> last_reported_role_;
  bool awaiting_first_call_ = true;  ///< no entry point has been called since the start
};

}  // namespace ferryrock::consensus
