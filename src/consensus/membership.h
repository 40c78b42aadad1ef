#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "wire/messages.h"

/// Membership queries, and the history of memberships in the log.
namespace ferryrock::consensus {

/// Both return nullptr if there is no such member.
const wire::Member* findMember(const wire::Membership& membership, MemberId id);
const wire::Member* findNode(const wire::Membership& membership, const NodeName& node);

std::size_t voterCount(const wire::Membership& membership);

/// True for the initial membership of a new cell, in which the disk identity of some voter is unknown.
bool isForming(const wire::Membership& membership);

/// Number of votes that elect a leader: a majority of the voters, or all voters while the cell is being
/// formed.
std::size_t electionQuorum(const wire::Membership& membership);

/// Number of voters that must store an entry to commit it: a majority.
std::size_t commitQuorum(const wire::Membership& membership);

/// Membership in effect at each log index. A membership takes effect at the entry that contains it, whether
/// or not that entry is committed.
class MembershipHistory {
 public:
  /// base is in effect from base_index until the first membership change.
  MembershipHistory(LogIndex base_index, wire::Membership base);

  /// Records the entry if it is a membership change and ignores it otherwise. Throws MalformedMessage if the
  /// membership cannot be decoded.
  void append(const wire::LogEntry& entry);
  void truncateFrom(LogIndex index);
  /// Drops memberships that are no longer in effect at index.
  void dropBefore(LogIndex index);
  void reset(LogIndex base_index, wire::Membership base);

  const wire::Membership& latest() const { return changes_.back().membership; }
  LogIndex latestIndex() const { return changes_.back().index; }
  /// index must not be before the base.
  const wire::Membership& at(LogIndex index) const;

 private:
  struct Change {
    LogIndex index;
    wire::Membership membership;
  };
  std::deque<Change> changes_;  ///< ordered by index; never empty: the first one is the base
};

}  // namespace ferryrock::consensus
