#include "cell_oracle.h"

#include "common/hashing.h"

namespace ferryrock::consensus {
namespace {

std::string text(std::uint64_t number) {
  return std::to_string(number);
}

}  // namespace

void CellOracle::onLeader(MemberId member, Term term, LogIndex last_index) {
  const auto [known, added] = leaders_.emplace(term, member);
  if (!added && known->second != member) {
    throw InvariantViolation("election safety: members " + text(known->second.value) + " and " +
                             text(member.value) + " both lead term " + text(term.value));
  }
  if (!added) {
    return;
  }
  for (std::size_t position = last_index.value; position < entries_.size(); ++position) {
    if (entries_[position].min_commit_term < term) {
      throw InvariantViolation("leader completeness: member " + text(member.value) + " leads term " +
                               text(term.value) + " without committed entry " + text(position + 1));
    }
  }
}

std::uint64_t CellOracle::onApply(MemberId member, Term member_term, const wire::LogEntry& entry,
                                  std::uint64_t digest_before) {
  const std::uint64_t digest = stableHash(text(entry.term.value) + "/" + entry.payload, digest_before);
  if (entry.index.value > entries_.size() + 1) {
    throw InvariantViolation("apply order: member " + text(member.value) + " applies entry " +
                             text(entry.index.value) + " out of order");
  }
  if (entry.index.value == entries_.size() + 1) {
    entries_.push_back({entry, member_term, digest});
  }
  Committed& known = entries_[entry.index.value - 1];
  if (!(known.entry == entry) || known.digest != digest) {
    throw InvariantViolation("state machine safety: member " + text(member.value) +
                             " applies an entry that differs from the committed one at index " +
                             text(entry.index.value));
  }
  known.min_commit_term = std::min(known.min_commit_term, member_term);
  return digest;
}

void CellOracle::onRestore(MemberId member, LogIndex index, std::uint64_t digest) const {
  if (index > committed() || digestAt(index) != digest) {
    throw InvariantViolation("snapshot: member " + text(member.value) +
                             " restores a state that differs from the committed history at entry " +
                             text(index.value));
  }
}

void CellOracle::onRead(MemberId member, LogIndex applied, LogIndex committed_at_request) const {
  if (applied < committed_at_request) {
    throw InvariantViolation("stale read: member " + text(member.value) + " answers from entry " +
                             text(applied.value) + ", entry " + text(committed_at_request.value) +
                             " was committed before");
  }
}

void CellOracle::onLease(MemberId member, Term term) const {
  if (!entries_.empty() && entries_.back().entry.term > term) {
    throw InvariantViolation("lease: member " + text(member.value) + " claims a lease of term " +
                             text(term.value) + ", but term " + text(entries_.back().entry.term.value) +
                             " has committed");
  }
}

std::uint64_t CellOracle::digestAt(LogIndex index) const {
  return index == LogIndex{} ? 0 : entries_[index.value - 1].digest;
}

}  // namespace ferryrock::consensus
