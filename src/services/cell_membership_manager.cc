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

const CellMembershipManager::Contact* CellMembershipManager::contactOf(const wire::Member& member) const {
  const auto contact = contacts_.find(member.node);
  const bool received = contact != contacts_.end() && contact->second.hello.id == member.id;
  return received ? &contact->second : nullptr;
}

Duration CellMembershipManager::silence(const wire::Member& member, TimePoint now) const {
  const Contact* contact = contactOf(member);
  return now - (contact != nullptr ? std::max(contact->last_contact, observing_since_) : observing_since_);
}

bool CellMembershipManager::isLeaving(const wire::Member& member) const {
  const Contact* contact = contactOf(member);
  return contact != nullptr && contact->hello.leaving;
}

bool CellMembershipManager::canReplace(const wire::Membership& membership, MemberId voter,
                                       TimePoint now) const {
  return consensus::voterCount(membership) > settings_.target_voters ||
         std::any_of(contacts_.begin(), contacts_.end(), [&](const auto& item) {
           const Contact& contact = item.second;
           const wire::Member* member = consensus::findMember(membership, contact.hello.id);
           const bool votes = member != nullptr && member->voter;
           return !votes && contact.hello.id != voter && !contact.hello.leaving &&
                  now - contact.last_contact < kHelloTtl;
         });
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
    if (!known && !contact.hello.leaving && now - contact.last_contact < kHelloTtl) {
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

/// Promotes a learner before the voter that it replaces is removed: promotion requires that the learner has
/// caught up, so a voter is only removed once a replacement holds the log. The leader itself hands over its
/// leadership before it leaves.
std::optional<control::MembershipChange> CellMembershipManager::adjustVoters(
    const wire::Membership& membership, MemberId self, TimePoint now) const {
  const wire::Member* learner = nullptr;
  const wire::Member* departing_voter = nullptr;
  Duration longest_silence = Duration::min();
  for (const wire::Member& member : membership.members) {
    const Duration silent_for = silence(member, now);
    const bool leaving = isLeaving(member);
    const bool departs =
        member.voter && member.id != self && (leaving || silent_for > settings_.voter_timeout);
    if (!member.voter && silent_for < kHelloTtl && !leaving) {
      learner = &member;
    } else if (departs && silent_for > longest_silence) {
      departing_voter = &member;
      longest_silence = silent_for;
    }
  }
  const std::size_t voters = consensus::voterCount(membership);
  if (departing_voter != nullptr && voters > settings_.target_voters) {
    return change(control::MembershipAction::Remove, *departing_voter);
  }
  const bool vacancy = voters < settings_.target_voters || departing_voter != nullptr;
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
