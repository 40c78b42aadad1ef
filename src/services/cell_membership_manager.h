#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/time.h"
#include "control/control_node.h"
#include "wire/messages.h"

namespace ferryrock::services {

struct CellMembershipSettings {
  /// Target number of voters: 2 x (tolerated disk losses) + 1.
  std::size_t target_voters = 3;
  /// A voter without a hello for longer than this is replaced by a learner that has caught up: three hellos
  /// in a row are missing. The cell never has fewer voters than its target for it, and a voter that restarts
  /// comes back as a learner, so that replacing it in error costs two log entries.
  Duration voter_timeout = std::chrono::milliseconds(1700);
  /// A learner without a hello for longer than this is removed.
  Duration learner_timeout = std::chrono::seconds(10);
};

/// Decides which membership change the cell needs next: processes that request to join are added as learners,
/// learners are promoted while the cell has too few voters, and a voter is replaced when its disk was lost,
/// or when it is leaving or silent and a learner is available. One change at a time. Used by one thread.
class CellMembershipManager {
 public:
  CellMembershipManager(const CellMembershipSettings& settings, TimePoint now)
      : settings_(settings), observing_since_(now) {}

  void onHello(const wire::MemberHello& hello, TimePoint now);
  /// Called when this member becomes leader, or wakes after a pause. Hellos received earlier may be outdated,
  /// so silence is measured from `now` at the earliest.
  void observeFrom(TimePoint now) { observing_since_ = now; }
  /// Returns the next membership change to propose; nullopt: none.
  std::optional<control::MembershipChange> nextChange(const wire::Membership& membership, MemberId self,
                                                      TimePoint now) const;
  /// True if the cell can replace the voter: it has more voters than it needs, or another process that isn't
  /// leaving could take over the vote.
  bool canReplace(const wire::Membership& membership, MemberId voter, TimePoint now) const;
  /// Returns the latest hello of the process at the node; nullptr: none was received.
  const wire::MemberHello* helloOf(const NodeName& node) const;
  /// HTTP addresses of the other members that sent a hello within the last 2 s and have contact with a
  /// leader, in a stable order.
  std::vector<std::string> servingMembers(const wire::Membership& membership, TimePoint now) const;

 private:
  struct Contact {
    wire::MemberHello hello;
    TimePoint last_contact{};
  };

  /// Returns the member's latest hello; nullptr: none was received since its disk identity is in use.
  const Contact* contactOf(const wire::Member& member) const;
  Duration silence(const wire::Member& member, TimePoint now) const;
  bool isLeaving(const wire::Member& member) const;
  std::optional<control::MembershipChange> removeMemberWithLostDisk(const wire::Membership& membership,
                                                                    TimePoint now) const;
  std::optional<control::MembershipChange> addJoiningLearner(const wire::Membership& membership,
                                                             TimePoint now) const;
  std::optional<control::MembershipChange> adjustVoters(const wire::Membership& membership, MemberId self,
                                                        TimePoint now) const;
  std::optional<control::MembershipChange> removeSilentLearner(const wire::Membership& membership,
                                                               TimePoint now) const;

  CellMembershipSettings settings_;
  TimePoint observing_since_;
  std::map<NodeName, Contact> contacts_;
};

}  // namespace ferryrock::services
