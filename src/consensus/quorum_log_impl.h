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

/// The member's answer to an election that it called.
struct Candidacy {
  bool pre_vote = true;
  bool leadership_transfer = false;
  std::uint64_t vote_write = 0;        ///< the own vote counts once this write is synced
  std::map<MemberId, DiskId> granted;  ///< by voter: the disk that the vote came from
};

/// QuorumLog after Raft. Its parts: quorum_log_impl.cc (entry points, writes, commit),
/// quorum_log_election.cc, quorum_log_leader.cc (replication, lease), quorum_log_follower.cc,
/// quorum_log_reads.cc and quorum_log_members.cc (membership changes, hand-over). A copy is another member in
/// the same state, but for the random numbers of election timeouts, which copies draw from one source.
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
  std::optional<TimePoint> followedAt(TimePoint now) const override;
  const wire::Membership& membership() const override { return memberships_.latest(); }

 private:
  friend class QuorumLogInspector;  ///< compares states for exhaustive exploration

  // Frame of each entry point: begin() before, finish() after; both in quorum_log_impl.cc.
  void begin(TimePoint now);
  Effects finish();
  void reportRole();
  /// The write of this call, made when first needed and handed out by finish().
  PersistEffect& write();
  void persistHardState();
  void drawDiskIdentity();
  void send(const NodeName& to, wire::Message message);
  /// Sends the message once everything written so far is synced, unless the term has changed by then.
  void sendOnceSynced(const NodeName& to, wire::Message message);
  void release(std::vector<wire::SendEffect> messages);
  bool hardStateSynced() const { return writes_.synced(hard_state_write_); }
  void appendEntry(wire::EntryKind kind, std::string payload);
  void commitThrough(LogIndex index);
  void requestSnapshot();
  bool isVoter() const;
  /// True if an answer from this disk stands for the voter that the membership names.
  bool countsAsVoter(MemberId member, DiskId disk) const;

  // quorum_log_election.cc
  void becomeFollower(Term term, const NodeName& leader);
  void resetElectionDeadline();
  void beginElection(bool pre_vote, bool leadership_transfer);
  void countVotes();
  void becomeLeader();
  wire::Membership openingMembership() const;
  bool logIsUpToDate(const wire::VoteRequest& request) const;
  bool hearsLeader() const;
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
  void noteContact(Progress& progress, std::uint64_t round);
  void onAppendResponse(const wire::AppendResponse& response);
  void onAcceptance(Progress& progress, LogIndex match);
  void onRefusal(Progress& progress, LogIndex hint);
  void onSnapshotResponse(const wire::SnapshotResponse& response);
  Progress* progressOf(MemberId member, DiskId disk);
  void advanceCommit();
  LogIndex quorumMatch() const;
  bool isAwaiting(const Progress& progress) const;
  /// When the latest round that a quorum answered was sent; none if there is no such round.
  std::optional<TimePoint> quorumContact(TimePoint now) const;
  bool isQuorumSilent(TimePoint now) const;
  void tickLeader();
  NodeName nodeOf(MemberId member) const;

  // quorum_log_reads.cc
  void answerReads();
  void failReads();
  std::uint64_t quorumRound() const;

  // quorum_log_members.cc
  ResultCode membershipChangeFault() const;
  Proposal proposeMembership(const wire::Membership& membership);
  Proposal refuse(ResultCode code);
  bool isCaughtUp(const Progress& progress) const;
  std::optional<MemberId> mostAdvancedVoter() const;
  void beginTransfer();
  void progressTransfer();
  void onMembershipCommitted();

  QuorumLogSettings settings_;
  std::shared_ptr<Random> random_;
  HardState hard_state_;
  std::shared_ptr<const Snapshot> snapshot_;  ///< the latest; null: none
  EntryLog log_;
  MembershipHistory memberships_;
  PendingWrites writes_;
  SnapshotReceiver receiver_;

  Role role_ = Role::Follower;
  NodeName leader_;
  LogIndex committed_;
  LogIndex snapshot_asked_;
  TimePoint now_;             ///< of the call being served
  TimePoint leader_contact_;  ///< no vote is given until the shortest election timeout has passed since
  TimePoint election_deadline_;
  bool knew_leader_ = false;  ///< since the start
  std::uint64_t hard_state_write_ = 0;
  std::optional<Candidacy> candidacy_;
  std::optional<Leadership> leadership_;

  Effects effects_;                     ///< of the call being served
  std::optional<PersistEffect> write_;  ///< of the call being served
  std::optional<RoleEffect> reported_;
  bool starting_ = true;  ///< the first call hasn't come yet
};

}  // namespace ferryrock::consensus
