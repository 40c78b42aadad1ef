#include <algorithm>
#include <utility>

#include "consensus/quorum_log_impl.h"

namespace ferryrock::consensus {

Proposal QuorumLogImpl::addLearner(const wire::Member& member, TimePoint now) {
  begin(now);
  const ResultCode fault = checkMembershipChange();
  if (fault != ResultCode::Ok) {
    return refuse(fault);
  }
  wire::Membership changed = memberships_.latest();
  const bool in_use = findMember(changed, member.id) != nullptr || findNode(changed, member.node) != nullptr;
  if (in_use || member.id == MemberId{}) {
    return refuse(ResultCode::MemberNameInUse);
  }
  wire::Member learner = member;
  learner.voter = false;
  learner.disk = DiskId{};
  changed.members.push_back(std::move(learner));
  return proposeMembership(changed);
}

Proposal QuorumLogImpl::promote(MemberId member, TimePoint now) {
  begin(now);
  const ResultCode fault = checkMembershipChange();
  if (fault != ResultCode::Ok) {
    return refuse(fault);
  }
  wire::Membership changed = memberships_.latest();
  const auto learner =
      std::find_if(changed.members.begin(), changed.members.end(),
                   [member](const auto& known) { return known.id == member && !known.voter; });
  if (learner == changed.members.end()) {
    return refuse(ResultCode::UnknownMember);
  }
  const Progress& progress = leadership_->peers.at(member);
  if (!isCaughtUp(progress)) {
    return refuse(ResultCode::MemberNotCaughtUp);
  }
  learner->voter = true;
  learner->disk = progress.disk;
  return proposeMembership(changed);
}

Proposal QuorumLogImpl::remove(MemberId member, TimePoint now) {
  begin(now);
  const ResultCode fault = checkMembershipChange();
  if (fault != ResultCode::Ok) {
    return refuse(fault);
  }
  wire::Membership changed = memberships_.latest();
  if (findMember(changed, member) == nullptr) {
    return refuse(ResultCode::UnknownMember);
  }
  std::erase_if(changed.members, [member](const auto& known) { return known.id == member; });
  if (voterCount(changed) == 0) {
    return refuse(ResultCode::InvalidField);
  }
  return proposeMembership(changed);
}

Effects QuorumLogImpl::transferLeadership(TimePoint now) {
  begin(now);
  if (leadership_ && !leadership_->transfer) {
    beginTransfer();
  }
  return finish();
}

ResultCode QuorumLogImpl::checkMembershipChange() const {
  if (!leadership_ || leadership_->transfer) {
    return ResultCode::NotLeader;
  }
  const bool earlier_change_uncommitted = memberships_.latestIndex() > committed_;
  const bool term_start_uncommitted = log_.termAt(committed_) != hard_state_.term;
  const bool must_wait =
      (earlier_change_uncommitted || term_start_uncommitted) && !settings_.defects.overlapping_member_changes;
  return must_wait ? ResultCode::MembershipChangeInProgress : ResultCode::Ok;
}

Proposal QuorumLogImpl::proposeMembership(const wire::Membership& membership) {
  appendEntry(wire::EntryKind::MembershipChange, wire::encodeMembership(membership));
  syncPeers();
  replicate();
  return {true, ResultCode::Ok, log_.lastIndex(), hard_state_.term, finish()};
}

Proposal QuorumLogImpl::refuse(ResultCode code) {
  return {false, code, LogIndex{}, hard_state_.term, finish()};
}

bool QuorumLogImpl::isCaughtUp(const Progress& progress) const {
  constexpr std::uint64_t kCatchUpEntries = 100;
  const bool near_commit_index =
      progress.match.value + kCatchUpEntries >= committed_.value && progress.match > LogIndex{};
  const bool recently_contacted =
      progress.last_contact && now_ < *progress.last_contact + settings_.election_timeout_max;
  return near_commit_index && recently_contacted && progress.disk != DiskId{};
}

std::optional<MemberId> QuorumLogImpl::mostAdvancedVoter() const {
  std::optional<MemberId> best;
  LogIndex best_match;
  for (const auto& [member, progress] : leadership_->peers) {
    const bool recently_contacted =
        progress.last_contact && now_ < *progress.last_contact + settings_.election_timeout_max;
    if (recently_contacted && countsAsVoter(member, progress.disk) &&
        (!best || progress.match > best_match)) {
      best = member;
      best_match = progress.match;
    }
  }
  return best;
}

void QuorumLogImpl::beginTransfer() {
  const std::optional<MemberId> target = mostAdvancedVoter();
  if (target) {
    leadership_->transfer = LeadershipTransfer{*target, now_ + settings_.election_timeout_max, false};
    progressTransfer();
  }
}

void QuorumLogImpl::progressTransfer() {
  if (!leadership_->transfer || leadership_->transfer->timeout_sent) {
    return;
  }
  LeadershipTransfer& transfer = *leadership_->transfer;
  const auto target = leadership_->peers.find(transfer.target);
  if (target == leadership_->peers.end()) {
    leadership_->transfer.reset();
  } else if (target->second.match == log_.lastIndex()) {
    transfer.timeout_sent = true;
    leadership_->lease_forfeited = true;
    send(nodeOf(transfer.target), wire::TimeoutNow{hard_state_.term, settings_.id});
  }
}

/// Once TimeoutNow was sent, the target may still be elected in the next term despite this leader's lease, so
/// there is no lease in this term any more. The leader then stands for election in the next term itself,
/// which makes a late TimeoutNow void.
void QuorumLogImpl::abandonTransfer() {
  const bool timeout_sent = leadership_->transfer->timeout_sent;
  leadership_->transfer.reset();
  if (timeout_sent) {
    constexpr bool kRealVote = false;
    constexpr bool kTransfer = true;
    becomeFollower(hard_state_.term, NodeName{});
    beginElection(kRealVote, kTransfer);
  }
}

void QuorumLogImpl::onMembershipCommitted() {
  if (!leadership_ || isVoter()) {
    return;
  }
  // This leader removed itself. It leads until the change is committed, then makes the most advanced voter
  // start an election.
  const std::optional<MemberId> successor = mostAdvancedVoter();
  if (successor) {
    send(nodeOf(*successor), wire::TimeoutNow{hard_state_.term, settings_.id});
  }
  becomeFollower(hard_state_.term, NodeName{});
}

}  // namespace ferryrock::consensus
