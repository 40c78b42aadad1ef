#include "services/cell_membership_manager.h"

#include <algorithm>

#include "consensus/membership.h"

namespace ferryrock::services {
namespace {

/// A process counts as alive for this long after its last hello.
constexpr Duration kHelloTtl = std::chrono::seconds(2);

control::MembershipChange change(control::MembershipAction action, const wire::Member& member) {
  return {action, member};
}

}  // namespace

void CellMembershipManager::onHello(const wire::MemberHello& hello, TimePoint now) {
  contacts_[hello.node] = {hello, now};
}

const wire::MemberHello* CellMembershipManager::helloOf(const NodeName& node) const {
  const auto contact = contacts_.find(node);
  return contact == contacts_.end() ? nullptr : &contact->second.hello;
}

std::vector<std::string> CellMembershipManager::servingMembers(const wire::Membership& membership,
                                                               TimePoint now) const {
  std::vector<std::string> addresses;
  for (const auto& [node, contact] : contacts_) {
    const bool current = contact.hello.has_leader && now - contact.last_contact < kHelloTtl;
    if (current && consensus::findMember(membership, contact.hello.id) != nullptr) {
      addresses.push_back(contact.hello.http);
    }
  }
  return addresses;
}

Duration CellMembershipManager::silence(const wire::Member& member, TimePoint now) const {
  const auto contact = contacts_.find(member.node);
  const bool received = contact != contacts_.end() && contact->second.hello.id == member.id;
  return now - (received ? std::max(contact->second.last_contact, observing_since_) : observing_since_);
}

std::optional<control::MembershipChange> CellMembershipManager::nextChange(const wire::Membership& membership,
                                                                           MemberId self,
                                                                           TimePoint now) const {
  if (auto lost = removeMemberWithLostDisk(membership, now)) {
    return lost;
  }
  if (auto learner = adjustVoters(membership, self, now)) {
    return learner;
  }
  if (auto newcomer = addJoiningLearner(membership, now)) {
    return newcomer;
  }
  return removeSilentLearner(membership, now);
}

/// A process that has a member's node name but another identity has lost its disk: the identity is stored
/// there.
std::optional<control::MembershipChange> CellMembershipManager::removeMemberWithLostDisk(
    const wire::Membership& membership, TimePoint now) const {
  for (const auto& [node, contact] : contacts_) {
    const wire::Member* member = consensus::findNode(membership, node);
    const bool current = now - contact.last_contact < kHelloTtl;
    if (current && member != nullptr && member->id != contact.hello.id) {
      return change(control::MembershipAction::Remove, *member);
    }
  }
  return std::nullopt;
}

std::optional<control::MembershipChange> CellMembershipManager::addJoiningLearner(
    const wire::Membership& membership, TimePoint now) const {
  for (const auto& [node, contact] : contacts_) {
    const bool known = consensus::findMember(membership, contact.hello.id) != nullptr;
    if (!known && now - contact.last_contact < kHelloTtl) {
      wire::Member member;
      member.id = contact.hello.id;
      member.node = node;
      member.address = contact.hello.address;
      member.http = contact.hello.http;
      return change(control::MembershipAction::AddLearner, member);
    }
  }
  return std::nullopt;
}

/// Promotes a learner before the silent voter that it replaces is removed: promotion requires that the
/// learner has caught up, so a voter is only removed once a replacement holds the log.
std::optional<control::MembershipChange> CellMembershipManager::adjustVoters(
    const wire::Membership& membership, MemberId self, TimePoint now) const {
  const wire::Member* learner = nullptr;
  const wire::Member* silent_voter = nullptr;
  for (const wire::Member& member : membership.members) {
    const Duration silent_for = silence(member, now);
    if (!member.voter && silent_for < kHelloTtl) {
      learner = &member;
    } else if (member.voter && member.id != self && silent_for > settings_.voter_timeout) {
      silent_voter = &member;
    }
  }
  const std::size_t voters = consensus::voterCount(membership);
  if (silent_voter != nullptr && voters > settings_.target_voters) {
    return change(control::MembershipAction::Remove, *silent_voter);
  }
  const bool vacancy = voters < settings_.target_voters || silent_voter != nullptr;
  if (learner != nullptr && vacancy) {
    return change(control::MembershipAction::Promote, *learner);
  }
  return std::nullopt;
}

std::optional<control::MembershipChange> CellMembershipManager::removeSilentLearner(
    const wire::Membership& membership, TimePoint now) const {
  for (const wire::Member& member : membership.members) {
    if (!member.voter && silence(member, now) > settings_.learner_timeout) {
      return change(control::MembershipAction::Remove, member);
    }
  }
  return std::nullopt;
}

}  // namespace ferryrock::services
