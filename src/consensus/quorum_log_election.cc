#include <utility>

#include "consensus/quorum_log_impl.h"

namespace ferryrock::consensus {

void QuorumLogImpl::becomeFollower(Term term, const NodeName& leader) {
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.voted_for = MemberId{};
    persistHardState();
  }
  if (leadership_) {
    failReads();
    leadership_.reset();
    resetElectionDeadline();
  }
  candidacy_.reset();
  leader_ = leader;
}

void QuorumLogImpl::resetElectionDeadline() {
  const bool first = settings_.elect_at_start && !has_seen_leader_;
  const Duration min_timeout = first ? settings_.first_election_min : settings_.election_timeout_min;
  const Duration max_timeout = first ? settings_.first_election_max : settings_.election_timeout_max;
  const auto extra = random_->below(static_cast<std::uint64_t>((max_timeout - min_timeout).count()) + 1);
  election_deadline_ = now_ + min_timeout + Duration(extra);
}

void QuorumLogImpl::beginElection(bool pre_vote, bool leadership_transfer) {
  candidacy_.emplace();
  candidacy_->pre_vote = pre_vote;
  role_ = Role::Candidate;
  leader_ = NodeName{};
  resetElectionDeadline();
  const Term election_term = hard_state_.term.next();
  if (pre_vote) {
    candidacy_->granted[settings_.id] = hard_state_.disk;
  } else {
    hard_state_.term = election_term;
    hard_state_.voted_for = settings_.id;
    persistHardState();
    candidacy_->vote_write = hard_state_write_;
  }
  const wire::VoteRequest request{election_term,   settings_.id, log_.lastIndex(),
                                  log_.lastTerm(), pre_vote,     leadership_transfer};
  for (const wire::Member& member : memberships_.latest().members) {
    if (!member.voter || member.id == settings_.id) {
      continue;
    }
    if (pre_vote) {
      send(member.node, request);
    } else {
      sendOnceSynced(member.node, request);
    }
  }
  countVotes();
}

void QuorumLogImpl::countVotes() {
  const bool own_vote_counts = writes_.synced(candidacy_->vote_write) || settings_.defects.answer_before_sync;
  if (!candidacy_->pre_vote && own_vote_counts) {
    candidacy_->granted[settings_.id] = hard_state_.disk;
  }
  std::size_t votes = 0;
  for (const auto& [member, disk] : candidacy_->granted) {
    votes += countsAsVoter(member, disk) ? 1 : 0;
  }
  const wire::Membership& membership = memberships_.latest();
  const bool by_majority = settings_.defects.form_by_majority;
  if (votes < (by_majority ? commitQuorum(membership) : electionQuorum(membership))) {
    return;
  }
  if (candidacy_->pre_vote) {
    constexpr bool kRealVote = false;
    constexpr bool kNoTransfer = false;
    beginElection(kRealVote, kNoTransfer);
  } else {
    becomeLeader();
  }
}

void QuorumLogImpl::becomeLeader() {
  const wire::Membership membership = membershipWithVoterDisks();
  candidacy_.reset();
  role_ = Role::Leader;
  has_seen_leader_ = true;
  leader_ = settings_.node;
  leadership_.emplace();
  leadership_->elected_at = now_;
  syncPeers();
  appendEntry(wire::EntryKind::MembershipChange, wire::encodeMembership(membership));
  leadership_->term_start_index = log_.lastIndex();
  broadcastHeartbeat();
  replicate();
}

wire::Membership QuorumLogImpl::membershipWithVoterDisks() const {
  wire::Membership membership = memberships_.latest();
  for (wire::Member& member : membership.members) {
    if (member.voter && member.disk == DiskId{}) {
      const auto vote = candidacy_->granted.find(member.id);
      member.disk = vote == candidacy_->granted.end() ? DiskId{} : vote->second;
    }
  }
  return membership;
}

bool QuorumLogImpl::logIsUpToDate(const wire::VoteRequest& request) const {
  if (settings_.defects.vote_without_log_check) {
    return true;
  }
  if (request.last_term != log_.lastTerm()) {
    return request.last_term > log_.lastTerm();
  }
  return request.last_index >= log_.lastIndex();
}

bool QuorumLogImpl::hasLeaderContact() const {
  if (settings_.defects.vote_despite_leader) {
    return false;
  }
  if (leadership_) {
    const std::optional<TimePoint> last_contact = quorumContact(now_);
    return last_contact && now_ < *last_contact + settings_.election_timeout_min;
  }
  return now_ < leader_contact_ + settings_.election_timeout_min;
}

void QuorumLogImpl::onVoteRequest(const NodeName& from, const wire::VoteRequest& request) {
  if (request.pre_vote) {
    answerPreVote(from, request);
    return;
  }
  const bool disturbs_leader = !request.leadership_transfer && hasLeaderContact();
  if (request.term >= hard_state_.term && disturbs_leader) {
    return;
  }
  if (request.term > hard_state_.term) {
    becomeFollower(request.term, NodeName{});
  }
  const bool can_vote_for_candidate =
      hard_state_.voted_for == MemberId{} || hard_state_.voted_for == request.candidate;
  wire::VoteResponse response{hard_state_.term, settings_.id, false, false, hard_state_.disk};
  response.granted = request.term == hard_state_.term && can_vote_for_candidate && logIsUpToDate(request);
  if (response.granted) {
    if (hard_state_.voted_for != request.candidate) {
      hard_state_.voted_for = request.candidate;
      persistHardState();
    }
    resetElectionDeadline();
  }
  sendOnceSynced(from, response);
}

void QuorumLogImpl::answerPreVote(const NodeName& from, const wire::VoteRequest& request) {
  wire::VoteResponse response{hard_state_.term, settings_.id, false, true, hard_state_.disk};
  response.granted = request.term > hard_state_.term && !hasLeaderContact() && logIsUpToDate(request);
  if (response.granted) {
    response.term = request.term;
  }
  send(from, response);
}

void QuorumLogImpl::onVoteResponse(const wire::VoteResponse& response) {
  if (!response.granted && response.term > hard_state_.term) {
    becomeFollower(response.term, NodeName{});
    return;
  }
  if (!candidacy_ || !response.granted || response.pre_vote != candidacy_->pre_vote) {
    return;
  }
  const Term expected = candidacy_->pre_vote ? hard_state_.term.next() : hard_state_.term;
  if (response.term == expected) {
    candidacy_->granted[response.voter] = response.disk;
    countVotes();
  }
}

void QuorumLogImpl::onTimeoutNow(const wire::TimeoutNow& order) {
  if (order.term == hard_state_.term && !leadership_ && isVoter()) {
    constexpr bool kRealVote = false;
    constexpr bool kTransfer = true;
    beginElection(kRealVote, kTransfer);
  }
}

}  // namespace ferryrock::consensus
