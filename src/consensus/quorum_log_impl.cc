#include "consensus/quorum_log_impl.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "common/error.h"

namespace ferryrock::consensus {
namespace {

LogIndex baseIndex(const RecoveredState& recovered) {
  return recovered.snapshot ? recovered.snapshot->last_index : LogIndex{};
}

Term baseTerm(const RecoveredState& recovered) {
  return recovered.snapshot ? recovered.snapshot->last_term : Term{};
}

wire::Membership baseMembership(const QuorumLogSettings& settings, const RecoveredState& recovered) {
  if (recovered.snapshot) {
    return recovered.snapshot->membership;
  }
  return settings.bootstrap ? settings.initial_membership : wire::Membership{};
}

/// Term in which the message was created. Held messages of an earlier term are dropped.
Term termOf(const wire::Message& message) {
  return std::visit(
      [](const auto& alternative) {
        if constexpr (requires {
                        { alternative.term } -> std::convertible_to<Term>;
                      }) {
          return alternative.term;
        } else {
          return Term{};
        }
      },
      message);
}

}  // namespace

QuorumLogImpl::QuorumLogImpl(QuorumLogSettings settings, RecoveredState recovered, Random random,
                             TimePoint now)
    : settings_(std::move(settings)),
      random_(std::make_shared<Random>(std::move(random))),
      hard_state_(recovered.hard_state),
      log_(baseIndex(recovered), baseTerm(recovered), std::move(recovered.entries)),
      memberships_(baseIndex(recovered), baseMembership(settings_, recovered)),
      writes_(log_.lastIndex()),
      committed_(baseIndex(recovered)),
      requested_snapshot_index_(baseIndex(recovered)),
      now_(now),
      leader_contact_(now) {
  for (LogIndex index = log_.baseIndex().next(); index <= log_.lastIndex(); index = index.next()) {
    memberships_.append(log_.at(index));
  }
  if (recovered.snapshot) {
    snapshot_ = std::make_shared<const Snapshot>(std::move(*recovered.snapshot));
  }
  role_ = isVoter() ? Role::Follower : Role::Learner;
  if (settings_.elect_at_start) {
    leader_contact_ = now - settings_.election_timeout_min;
  }
  resetElectionDeadline();
}

Effects QuorumLogImpl::receive(const NodeName& from, const wire::Message& message, TimePoint now) {
  begin(now);
  if (const auto* vote_request = std::get_if<wire::VoteRequest>(&message)) {
    onVoteRequest(from, *vote_request);
  } else if (const auto* vote_response = std::get_if<wire::VoteResponse>(&message)) {
    onVoteResponse(*vote_response);
  } else if (const auto* append_request = std::get_if<wire::AppendRequest>(&message)) {
    onAppendRequest(from, *append_request);
  } else if (const auto* append_response = std::get_if<wire::AppendResponse>(&message)) {
    onAppendResponse(*append_response);
  } else if (const auto* chunk = std::get_if<wire::SnapshotChunk>(&message)) {
    onSnapshotChunk(from, *chunk);
  } else if (const auto* snapshot_response = std::get_if<wire::SnapshotResponse>(&message)) {
    onSnapshotResponse(*snapshot_response);
  } else if (const auto* order = std::get_if<wire::TimeoutNow>(&message)) {
    onTimeoutNow(*order);
  }
  return finish();
}

Effects QuorumLogImpl::tick(TimePoint now) {
  begin(now);
  if (leadership_) {
    tickLeader();
  } else if (isVoter() && now_ >= election_deadline_) {
    constexpr bool kPreVote = true;
    constexpr bool kNoTransfer = false;
    beginElection(kPreVote, kNoTransfer);
  }
  return finish();
}

TimePoint QuorumLogImpl::nextDeadline() const {
  if (awaiting_first_call_) {
    return now_;
  }
  if (leadership_) {
    return leadership_->heartbeat_due;
  }
  return isVoter() ? election_deadline_ : TimePoint::max();
}

Effects QuorumLogImpl::onPersisted(std::uint64_t sequence, TimePoint now) {
  begin(now);
  release(writes_.onSynced(sequence));
  if (candidacy_) {
    countVotes();
  }
  if (leadership_) {
    advanceCommit();
  }
  return finish();
}

Proposal QuorumLogImpl::propose(std::string command, TimePoint now) {
  begin(now);
  if (!leadership_ || leadership_->transfer) {
    return refuse(ResultCode::NotLeader);
  }
  appendEntry(wire::EntryKind::StateCommand, std::move(command));
  replicate();
  return {true, ResultCode::Ok, log_.lastIndex(), hard_state_.term, finish()};
}

Effects QuorumLogImpl::compact(LogIndex applied, std::string state, TimePoint now) {
  begin(now);
  const LogIndex previous = snapshot_ ? snapshot_->last_index : LogIndex{};
  if (applied > previous && applied <= committed_) {
    Snapshot snapshot{applied, *log_.termAt(applied), memberships_.at(applied), std::move(state)};
    write().snapshot = snapshot;
    snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
    requested_snapshot_index_ = applied;
    if (applied.value > settings_.retained_entries) {
      log_.dropThrough(LogIndex{applied.value - settings_.retained_entries});
      memberships_.dropBefore(log_.baseIndex());
    }
  }
  return finish();
}

void QuorumLogImpl::begin(TimePoint now) {
  now_ = std::max(now_, now);
  if (awaiting_first_call_) {
    awaiting_first_call_ = false;
    ensureDiskIdentity();
    if (snapshot_) {
      effects_.emplace_back(RestoreEffect{*snapshot_});
    }
  }
  if (leadership_ && hasLostQuorumContact(now_)) {
    becomeFollower(hard_state_.term, NodeName{});
  }
}

Effects QuorumLogImpl::finish() {
  if (current_write_) {
    writes_.add(log_.lastIndex());
    effects_.emplace_back(*std::exchange(current_write_, std::nullopt));
  }
  reportRole();
  return std::exchange(effects_, {});
}

void QuorumLogImpl::reportRole() {
  if (!leadership_ && !candidacy_) {
    role_ = isVoter() ? Role::Follower : Role::Learner;
  }
  const bool unchanged = last_reported_role_ && last_reported_role_->role == role_ &&
                         last_reported_role_->term == hard_state_.term &&
                         last_reported_role_->leader == leader_;
  if (!unchanged) {
    last_reported_role_ = RoleEffect{role_, hard_state_.term, leader_};
    effects_.emplace_back(*last_reported_role_);
  }
}

PersistEffect& QuorumLogImpl::write() {
  if (!current_write_) {
    current_write_.emplace();
    current_write_->sequence = writes_.nextSequence();
  }
  return *current_write_;
}

void QuorumLogImpl::persistHardState() {
  write().hard_state = hard_state_;
  hard_state_write_ = write().sequence;
}

void QuorumLogImpl::ensureDiskIdentity() {
  if (hard_state_.disk == DiskId{}) {
    while (hard_state_.disk == DiskId{}) {
      hard_state_.disk = DiskId{random_->next()};
    }
    persistHardState();
  }
}

void QuorumLogImpl::send(const NodeName& to, wire::Message message) {
  effects_.emplace_back(wire::SendEffect{to, std::move(message)});
}

void QuorumLogImpl::sendOnceSynced(const NodeName& to, wire::Message message) {
  const std::uint64_t sequence = current_write_ ? current_write_->sequence : writes_.lastIssued();
  if (writes_.synced(sequence) || settings_.defects.answer_before_sync) {
    send(to, std::move(message));
  } else {
    writes_.hold(sequence, {to, std::move(message)});
  }
}

void QuorumLogImpl::release(std::vector<wire::SendEffect> messages) {
  for (wire::SendEffect& message : messages) {
    if (termOf(message.message) == hard_state_.term) {
      effects_.emplace_back(std::move(message));
    }
  }
}

void QuorumLogImpl::appendEntry(wire::EntryKind kind, std::string payload) {
  wire::LogEntry entry{hard_state_.term, log_.lastIndex().next(), kind, std::move(payload)};
  memberships_.append(entry);
  write().entries.push_back(entry);
  log_.append(std::move(entry));
}

void QuorumLogImpl::commitThrough(LogIndex index) {
  if (index <= committed_) {
    return;
  }
  ApplyEffect apply;
  bool membership_committed = false;
  for (LogIndex next = committed_.next(); next <= index; next = next.next()) {
    apply.entries.push_back(log_.at(next));
    membership_committed |= next == memberships_.latestIndex();
  }
  committed_ = index;
  effects_.emplace_back(std::move(apply));
  requestSnapshot();
  if (membership_committed) {
    onMembershipCommitted();
  }
}

void QuorumLogImpl::requestSnapshot() {
  if (committed_.value - requested_snapshot_index_.value >= settings_.snapshot_after_entries) {
    requested_snapshot_index_ = committed_;
    effects_.emplace_back(SnapshotRequestEffect{committed_});
  }
}

bool QuorumLogImpl::isVoter() const {
  const wire::Member* self = findMember(memberships_.latest(), settings_.id);
  return self != nullptr && self->voter && countsAsVoter(settings_.id, hard_state_.disk);
}

bool QuorumLogImpl::countsAsVoter(MemberId member, DiskId disk) const {
  const wire::Member* known = findMember(memberships_.latest(), member);
  if (known == nullptr || !known->voter) {
    return false;
  }
  return known->disk == disk || known->disk == DiskId{} || settings_.defects.ignore_disk_identity;
}

std::unique_ptr<QuorumLog> createQuorumLog(const QuorumLogSettings& settings, RecoveredState recovered,
                                           Random random, TimePoint now) {
  return std::make_unique<QuorumLogImpl>(settings, std::move(recovered), std::move(random), now);
}

}  // namespace ferryrock::consensus
