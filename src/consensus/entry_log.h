#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "wire/messages.h"

namespace ferryrock::consensus {

/// In-memory suffix of a member's log: contiguous entries that follow a base index, whose term is known.
class EntryLog {
 public:
  EntryLog(LogIndex base_index, Term base_term, std::vector<wire::LogEntry> entries);

  LogIndex baseIndex() const { return base_index_; }
  LogIndex lastIndex() const { return LogIndex{base_index_.value + entries_.size()}; }
  Term lastTerm() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  /// Term of the entry at index or of the base; nullopt before the base and after the last entry.
  std::optional<Term> termAt(LogIndex index) const;
  /// Throws Internal unless index lies in (baseIndex, lastIndex].
  const wire::LogEntry& at(LogIndex index) const;

  /// Throws Internal unless entry.index is lastIndex() + 1.
  void append(wire::LogEntry entry);
  /// Drops the entries from index on; index must be greater than baseIndex().
  void truncateFrom(LogIndex index);
  /// Drops the entries up to and including index, which becomes the base. No effect if index is at or before
  /// the base; index must not exceed lastIndex.
  void dropThrough(LogIndex index);
  /// Drops all entries; the next entry is base_index + 1.
  void reset(LogIndex base_index, Term base_term);

  /// Copies the entries [from, to], up to max_bytes of payload; at least one entry if the range is not empty.
  std::vector<wire::LogEntry> slice(LogIndex from, LogIndex to, std::size_t max_bytes) const;

 private:
  std::size_t positionOf(LogIndex index) const;

  LogIndex base_index_;
  Term base_term_;
  std::deque<wire::LogEntry> entries_;
};

}  // namespace ferryrock::consensus
