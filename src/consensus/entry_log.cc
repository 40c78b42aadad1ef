#include "consensus/entry_log.h"

#include <iterator>
#include <utility>

#include "common/error.h"

namespace ferryrock::consensus {

EntryLog::EntryLog(LogIndex base_index, Term base_term, std::vector<wire::LogEntry> entries)
    : base_index_(base_index), base_term_(base_term) {
  for (wire::LogEntry& entry : entries) {
    append(std::move(entry));
  }
}

std::optional<Term> EntryLog::termAt(LogIndex index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > lastIndex()) {
    return std::nullopt;
  }
  return at(index).term;
}

const wire::LogEntry& EntryLog::at(LogIndex index) const {
  return entries_[positionOf(index)];
}

void EntryLog::append(wire::LogEntry entry) {
  if (entry.index != lastIndex().next()) {
    throw Error(ResultCode::Internal, "entry " + std::to_string(entry.index.value) +
                                          " does not follow entry " + std::to_string(lastIndex().value));
  }
  entries_.push_back(std::move(entry));
}

void EntryLog::truncateFrom(LogIndex index) {
  if (index <= lastIndex()) {
    entries_.resize(positionOf(index));
  }
}

void EntryLog::dropThrough(LogIndex index) {
  if (index <= base_index_) {
    return;
  }
  base_term_ = at(index).term;
  const auto count = static_cast<std::ptrdiff_t>(index.value - base_index_.value);
  entries_.erase(entries_.begin(), entries_.begin() + count);
  base_index_ = index;
}

void EntryLog::reset(LogIndex base_index, Term base_term) {
  entries_.clear();
  base_index_ = base_index;
  base_term_ = base_term;
}

std::vector<wire::LogEntry> EntryLog::slice(LogIndex from, LogIndex to, std::size_t max_bytes) const {
  std::vector<wire::LogEntry> entries;
  std::size_t bytes = 0;
  for (LogIndex index = from; index <= to; index = index.next()) {
    const wire::LogEntry& entry = at(index);
    bytes += entry.payload.size();
    if (bytes > max_bytes && !entries.empty()) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

std::size_t EntryLog::positionOf(LogIndex index) const {
  if (index <= base_index_ || index > lastIndex()) {
    throw Error(ResultCode::Internal, "the log holds no entry " + std::to_string(index.value));
  }
  return static_cast<std::size_t>(index.value - base_index_.value - 1);
}

}  // namespace ferryrock::consensus
