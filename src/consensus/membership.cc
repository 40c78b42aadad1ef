#include "consensus/membership.h"

#include <algorithm>
#include <utility>

namespace ferryrock::consensus {

const wire::Member* findMember(const wire::Membership& membership, MemberId id) {
  const auto& members = membership.members;
  const auto found =
      std::find_if(members.begin(), members.end(), [id](const auto& member) { return member.id == id; });
  return found == members.end() ? nullptr : &*found;
}

const wire::Member* findNode(const wire::Membership& membership, const NodeName& node) {
  const auto& members = membership.members;
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&node](const auto& member) { return member.node == node; });
  return found == members.end() ? nullptr : &*found;
}

std::size_t voterCount(const wire::Membership& membership) {
  const auto& members = membership.members;
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [](const auto& member) { return member.voter; }));
}

bool isForming(const wire::Membership& membership) {
  const auto& members = membership.members;
  return std::any_of(members.begin(), members.end(),
                     [](const auto& member) { return member.voter && member.disk == DiskId{}; });
}

std::size_t electionQuorum(const wire::Membership& membership) {
  return isForming(membership) ? voterCount(membership) : commitQuorum(membership);
}

std::size_t commitQuorum(const wire::Membership& membership) {
  return voterCount(membership) / 2 + 1;
}

MembershipHistory::MembershipHistory(LogIndex base_index, wire::Membership base) {
  reset(base_index, std::move(base));
}

void MembershipHistory::append(const wire::LogEntry& entry) {
  if (entry.kind == wire::EntryKind::MembershipChange) {
    changes_.push_back({entry.index, wire::decodeMembership(entry.payload)});
  }
}

void MembershipHistory::truncateFrom(LogIndex index) {
  while (changes_.size() > 1 && changes_.back().index >= index) {
    changes_.pop_back();
  }
}

void MembershipHistory::dropBefore(LogIndex index) {
  while (changes_.size() > 1 && changes_[1].index <= index) {
    changes_.pop_front();
  }
}

void MembershipHistory::reset(LogIndex base_index, wire::Membership base) {
  changes_.clear();
  changes_.push_back({base_index, std::move(base)});
}

const wire::Membership& MembershipHistory::at(LogIndex index) const {
  const auto after = std::find_if(changes_.begin() + 1, changes_.end(),
                                  [index](const Change& change) { return change.index > index; });
  return std::prev(after)->membership;
}

}  // namespace ferryrock::consensus
