#include <algorithm>
#include <utility>

#include "consensus/quorum_log_impl.h"

namespace ferryrock::consensus {
namespace {

/// True if the entry indexes follow previous_index without gaps and no entry's term exceeds the request's
/// term.
bool isWellFormed(const wire::AppendRequest& request) {
  LogIndex expected = request.previous_index.next();
  for (const wire::LogEntry& entry : request.entries) {
    if (entry.index != expected || entry.term > request.term) {
      return false;
    }
    expected = expected.next();
  }
  return true;
}

}  // namespace

bool QuorumLogImpl::acceptLeader(const NodeName& from, Term term) {
  if (term < hard_state_.term || (leadership_ && term == hard_state_.term)) {
    return false;
  }
  if (term > hard_state_.term || candidacy_ || leader_ != from) {
    becomeFollower(term, from);
  }
  leader_contact_ = now_;
  has_seen_leader_ = true;
  resetElectionDeadline();
  return true;
}

void QuorumLogImpl::onAppendRequest(const NodeName& from, const wire::AppendRequest& request) {
  if (!isWellFormed(request)) {
    return;
  }
  const bool leader_accepted = acceptLeader(from, request.term);
  wire::AppendResponse response{hard_state_.term, settings_.id,          false,
                                LogIndex{},       request.read_sequence, hard_state_.disk};
  if (!leader_accepted) {
    response.read_sequence = 0;
    send(from, response);
    return;
  }
  response.accepted = holdsPrevious(request);
  if (!response.accepted) {
    response.match = conflictHint(request);
  } else {
    storeEntries(request.entries);
    const LogIndex matched{request.previous_index.value + request.entries.size()};
    const LogIndex commit_limit = settings_.defects.commit_beyond_match ? log_.lastIndex() : matched;
    commitThrough(std::min(request.commit, commit_limit));
    response.match = matched;
  }
  if (response.accepted && !request.entries.empty()) {
    sendOnceSynced(from, response);
    return;
  }
  // The response to a heartbeat does not wait for entries that are still being written; it acknowledges only
  // synced entries.
  if (response.accepted) {
    response.match = std::min(response.match, writes_.durableIndex());
  }
  if (hardStateSynced()) {
    send(from, response);
  } else {
    sendOnceSynced(from, response);
  }
}

bool QuorumLogImpl::holdsPrevious(const wire::AppendRequest& request) const {
  return request.previous_index <= committed_ || log_.termAt(request.previous_index) == request.previous_term;
}

LogIndex QuorumLogImpl::conflictHint(const wire::AppendRequest& request) const {
  if (request.previous_index > log_.lastIndex()) {
    return log_.lastIndex();
  }
  const std::optional<Term> conflicting = log_.termAt(request.previous_index);
  LogIndex hint{request.previous_index.value - 1};
  while (hint > committed_ && log_.termAt(hint) == conflicting) {
    hint = LogIndex{hint.value - 1};
  }
  return hint;
}

void QuorumLogImpl::storeEntries(const std::vector<wire::LogEntry>& entries) {
  for (const wire::LogEntry& entry : entries) {
    if (entry.index <= committed_ || log_.termAt(entry.index) == entry.term) {
      continue;
    }
    if (entry.index <= log_.lastIndex()) {
      log_.truncateFrom(entry.index);
      memberships_.truncateFrom(entry.index);
      if (!settings_.defects.keep_durable_at_truncation) {
        writes_.truncate(LogIndex{entry.index.value - 1});
      }
      if (!settings_.defects.truncate_in_memory_only) {
        write().truncate_from = entry.index;
      }
    }
    memberships_.append(entry);
    write().entries.push_back(entry);
    log_.append(entry);
  }
}

void QuorumLogImpl::onSnapshotChunk(const NodeName& from, const wire::SnapshotChunk& chunk) {
  if (!acceptLeader(from, chunk.term)) {
    return;
  }
  if (chunk.last_index > committed_) {
    std::optional<Snapshot> snapshot = receiver_.add(chunk);
    if (snapshot) {
      installSnapshot(std::move(*snapshot));
    }
  }
  wire::SnapshotResponse response{hard_state_.term,       settings_.id, chunk.last_index,
                                  receiver_.nextOffset(), false,        hard_state_.disk};
  if (chunk.last_index <= committed_) {
    response.installed = true;
    response.next_offset = chunk.total;
  }
  sendOnceSynced(from, response);
}

void QuorumLogImpl::installSnapshot(Snapshot snapshot) {
  if (log_.termAt(snapshot.last_index) == snapshot.last_term) {
    log_.dropThrough(snapshot.last_index);
    memberships_.dropBefore(snapshot.last_index);
  } else {
    if (log_.lastIndex() > snapshot.last_index) {
      write().truncate_from = snapshot.last_index.next();
    }
    writes_.truncate(committed_);
    log_.reset(snapshot.last_index, snapshot.last_term);
    memberships_.reset(snapshot.last_index, snapshot.membership);
  }
  committed_ = snapshot.last_index;
  requested_snapshot_index_ = snapshot.last_index;
  write().snapshot = snapshot;
  snapshot_ = std::make_shared<const Snapshot>(snapshot);
  effects_.emplace_back(RestoreEffect{std::move(snapshot)});
}

}  // namespace ferryrock::consensus
