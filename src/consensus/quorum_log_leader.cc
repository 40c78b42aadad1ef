#include <algorithm>
#include <functional>
#include <utility>

#include "consensus/quorum_log_impl.h"

namespace ferryrock::consensus {
namespace {

/// The largest value that at least `quorum` of the values reach; T{} if there are fewer than `quorum` values.
template <class T>
T reachedByQuorum(std::vector<T> values, std::size_t quorum) {
  if (quorum == 0 || values.size() < quorum) {
    return T{};
  }
  const auto position = values.begin() + static_cast<std::ptrdiff_t>(quorum - 1);
  std::nth_element(values.begin(), position, values.end(), std::greater<>());
  return *position;
}

}  // namespace

void QuorumLogImpl::syncPeers() {
  std::map<MemberId, Progress> peers;
  for (const wire::Member& member : memberships_.latest().members) {
    if (member.id == settings_.id) {
      continue;
    }
    const auto known = leadership_->peers.find(member.id);
    if (known != leadership_->peers.end()) {
      peers.emplace(member.id, std::move(known->second));
    } else {
      peers[member.id].probe(log_.lastIndex().next());
    }
  }
  leadership_->peers = std::move(peers);
}

void QuorumLogImpl::broadcastHeartbeat() {
  leadership_->beginRound(now_);
  leadership_->heartbeat_due = now_ + settings_.heartbeat;
  for (auto& [member, progress] : leadership_->peers) {
    sendHeartbeat(member, progress);
  }
}

void QuorumLogImpl::sendHeartbeat(MemberId member, Progress& progress) {
  const LogIndex previous{progress.next.value - 1};
  const std::optional<Term> previous_term = log_.termAt(previous);
  if (progress.state != Progress::State::Snapshot && !previous_term) {
    // No response has arrived for so long that the log was compacted past the entries sent to this member.
    progress.beginSnapshot(snapshot_);
  }
  if (progress.state == Progress::State::Snapshot) {
    send(nodeOf(member), appendRequest(LogIndex{}, Term{}));
  } else {
    send(nodeOf(member), appendRequest(previous, *previous_term));
  }
}

void QuorumLogImpl::replicate() {
  for (auto& [member, progress] : leadership_->peers) {
    replicateTo(member, progress);
  }
}

void QuorumLogImpl::replicateTo(MemberId member, Progress& progress) {
  if (progress.state == Progress::State::Replicate) {
    while (progress.state == Progress::State::Replicate && progress.next <= log_.lastIndex() &&
           progress.inflight.size() < settings_.max_inflight_batches) {
      sendBatch(member, progress);
    }
  } else if (!isAwaiting(progress)) {
    if (progress.state == Progress::State::Probe) {
      sendBatch(member, progress);
    } else {
      sendSnapshotChunk(member, progress);
    }
  }
}

bool QuorumLogImpl::isAwaiting(const Progress& progress) const {
  return progress.awaiting_response_since &&
         now_ < *progress.awaiting_response_since + settings_.election_timeout_min;
}

void QuorumLogImpl::sendBatch(MemberId member, Progress& progress) {
  const LogIndex previous{progress.next.value - 1};
  const std::optional<Term> previous_term = log_.termAt(previous);
  if (!previous_term) {
    progress.beginSnapshot(snapshot_);
    sendSnapshotChunk(member, progress);
    return;
  }
  wire::AppendRequest request = appendRequest(previous, *previous_term);
  request.entries = log_.slice(progress.next, log_.lastIndex(), settings_.max_batch_bytes);
  if (progress.state == Progress::State::Replicate) {
    const LogIndex last = request.entries.back().index;
    progress.next = last.next();
    progress.inflight.push_back(last);
  } else {
    progress.awaiting_response_since = now_;
  }
  send(nodeOf(member), std::move(request));
}

void QuorumLogImpl::sendSnapshotChunk(MemberId member, Progress& progress) {
  const Snapshot& snapshot = *progress.snapshot;
  wire::SnapshotChunk chunk{hard_state_.term,      settings_.id,
                            snapshot.last_index,   snapshot.last_term,
                            snapshot.membership,   progress.snapshot_offset,
                            snapshot.bytes.size(), {}};
  chunk.bytes = snapshot.bytes.substr(progress.snapshot_offset, settings_.snapshot_chunk_bytes);
  progress.awaiting_response_since = now_;
  send(nodeOf(member), std::move(chunk));
}

wire::AppendRequest QuorumLogImpl::appendRequest(LogIndex previous, Term previous_term) const {
  return {hard_state_.term, settings_.id, previous, previous_term, {}, committed_, leadership_->round};
}

Progress* QuorumLogImpl::progressOf(MemberId member, DiskId disk) {
  const auto found = leadership_->peers.find(member);
  if (found == leadership_->peers.end()) {
    return nullptr;
  }
  const wire::Member* known = findMember(memberships_.latest(), member);
  const bool replaced_voter = known->voter && !countsAsVoter(member, disk);
  if (replaced_voter) {
    // The member lost its disk, and with it the entries that it acknowledged before; its responses do not
    // count.
    return nullptr;
  }
  Progress& progress = found->second;
  if (progress.disk != DiskId{} && progress.disk != disk) {
    progress.resetForNewDisk(disk, log_.lastIndex());
  }
  progress.disk = disk;
  return &progress;
}

void QuorumLogImpl::recordContact(Progress& progress, std::uint64_t round) {
  const std::optional<TimePoint> sent_at = leadership_->roundSentAt(round);
  if (!sent_at) {
    return;
  }
  progress.acknowledged_round = std::max(progress.acknowledged_round, round);
  progress.last_contact = std::max(progress.last_contact.value_or(*sent_at), *sent_at);
}

void QuorumLogImpl::onAppendResponse(const wire::AppendResponse& response) {
  if (response.term > hard_state_.term) {
    becomeFollower(response.term, NodeName{});
    return;
  }
  if (!leadership_ || response.term != hard_state_.term || response.match > log_.lastIndex()) {
    return;
  }
  Progress* progress = progressOf(response.member, response.disk);
  if (progress == nullptr) {
    return;
  }
  recordContact(*progress, response.read_sequence);
  if (response.accepted) {
    onAppendAccepted(*progress, response.match);
  } else {
    onAppendRejected(*progress, response.match);
  }
  answerReads();
  if (leadership_) {
    progressTransfer();
  }
}

void QuorumLogImpl::onAppendAccepted(Progress& progress, LogIndex match) {
  progress.acknowledge(match);
  const bool snapshot_installed =
      progress.state == Progress::State::Snapshot && match >= progress.snapshot->last_index;
  if (progress.state == Progress::State::Probe || snapshot_installed) {
    progress.state = Progress::State::Replicate;
    progress.awaiting_response_since.reset();
    progress.snapshot.reset();
  }
  advanceCommit();
  if (leadership_) {
    replicate();
  }
}

void QuorumLogImpl::onAppendRejected(Progress& progress, LogIndex hint) {
  if (progress.state == Progress::State::Snapshot) {
    return;
  }
  const LogIndex from = std::max(std::min(hint.next(), progress.next), progress.match.next());
  const bool next_unchanged = progress.state == Progress::State::Probe && from == progress.next;
  if (next_unchanged) {
    return;  // sending a batch for each would multiply duplicated messages
  }
  progress.probe(from);
  replicate();
}

void QuorumLogImpl::onSnapshotResponse(const wire::SnapshotResponse& response) {
  if (response.term > hard_state_.term) {
    becomeFollower(response.term, NodeName{});
    return;
  }
  if (!leadership_ || response.term != hard_state_.term) {
    return;
  }
  Progress* progress = progressOf(response.member, response.disk);
  const bool expected = progress != nullptr && progress->state == Progress::State::Snapshot &&
                        progress->snapshot->last_index == response.last_index;
  if (!expected) {
    return;
  }
  if (response.installed) {
    progress->acknowledge(response.last_index);
    progress->probe(progress->match.next());
    advanceCommit();
  } else if (response.next_offset != progress->snapshot_offset &&
             response.next_offset <= progress->snapshot->bytes.size()) {
    progress->snapshot_offset = response.next_offset;
    progress->awaiting_response_since.reset();
  }
  if (leadership_) {
    replicate();
  }
}

void QuorumLogImpl::advanceCommit() {
  const LogIndex match = quorumMatch();
  const bool own_term = log_.termAt(match) == hard_state_.term || settings_.defects.commit_older_terms;
  if (match > committed_ && own_term) {
    commitThrough(match);
    answerReads();
  }
}

LogIndex QuorumLogImpl::quorumMatch() const {
  std::vector<LogIndex> matches;
  if (isVoter()) {
    matches.push_back(settings_.defects.answer_before_sync ? log_.lastIndex() : writes_.durableIndex());
  }
  for (const auto& [member, progress] : leadership_->peers) {
    if (countsAsVoter(member, progress.disk)) {
      matches.push_back(progress.match);
    }
  }
  return reachedByQuorum(std::move(matches), commitQuorum(memberships_.latest()));
}

std::uint64_t QuorumLogImpl::quorumRound() const {
  std::vector<std::uint64_t> rounds;
  if (isVoter()) {
    rounds.push_back(leadership_->round);
  }
  for (const auto& [member, progress] : leadership_->peers) {
    if (countsAsVoter(member, progress.disk)) {
      rounds.push_back(progress.acknowledged_round);
    }
  }
  return reachedByQuorum(std::move(rounds), commitQuorum(memberships_.latest()));
}

std::optional<TimePoint> QuorumLogImpl::quorumContact(TimePoint now) const {
  std::vector<std::optional<TimePoint>> contacts;
  if (isVoter()) {
    contacts.emplace_back(now);
  }
  for (const auto& [member, progress] : leadership_->peers) {
    if (countsAsVoter(member, progress.disk)) {
      contacts.push_back(progress.last_contact);
    }
  }
  return reachedByQuorum(std::move(contacts), commitQuorum(memberships_.latest()));
}

bool QuorumLogImpl::hasLostQuorumContact(TimePoint now) const {
  const TimePoint last_contact =
      std::max(quorumContact(now).value_or(leadership_->elected_at), leadership_->elected_at);
  return now >= last_contact + settings_.election_timeout_max;
}

bool QuorumLogImpl::hasLease(TimePoint now) const {
  if (!leadership_ || leadership_->lease_forfeited || log_.termAt(committed_) != hard_state_.term) {
    return false;
  }
  const std::optional<TimePoint> last_contact = quorumContact(now);
  return last_contact && now < *last_contact + settings_.election_timeout_min - settings_.lease_drift_margin;
}

std::optional<TimePoint> QuorumLogImpl::leadershipConfirmedAt(TimePoint now) const {
  const bool term_start_committed = leadership_ && log_.termAt(committed_) == hard_state_.term;
  return term_start_committed ? quorumContact(now) : std::nullopt;
}

void QuorumLogImpl::tickLeader() {
  if (now_ < leadership_->heartbeat_due) {
    return;
  }
  if (leadership_->transfer && now_ >= leadership_->transfer->deadline) {
    abandonTransfer();
    if (!leadership_) {
      return;
    }
  }
  broadcastHeartbeat();
  replicate();
}

NodeName QuorumLogImpl::nodeOf(MemberId member) const {
  return findMember(memberships_.latest(), member)->node;
}

}  // namespace ferryrock::consensus
