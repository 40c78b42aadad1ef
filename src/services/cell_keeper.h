#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/time.h"
#include "control/control_node.h"
#include "wire/messages.h"

namespace ferryrock::services {

struct CellKeeperSettings {
  /// Voters that the cell should have: 2 x (losses to be borne) + 1.
  std::size_t wanted_voters = 3;
  /// A voter that is silent for longer gives its place to a learner that has caught up.
  Duration replaced_after = std::chrono::seconds(5);
  /// A learner that is silent for longer is dropped.
  Duration learner_dropped_after = std::chrono::seconds(10);
};

/// Decides how the cell's membership is mended: processes that ask are taken in as learners, learners become
/// voters while voters are missing, and a voter is replaced when its disk was lost or when it is silent and
/// a learner stands ready. One change at a time. Used by one thread.
class CellKeeper {
 public:
  CellKeeper(const CellKeeperSettings& settings, TimePoint now) : settings_(settings), started_(now) {}

  void onHello(const wire::MemberHello& hello, TimePoint now);
  /// Leadership began: what was heard before may be old.
  void onLeadership(TimePoint now) { started_ = now; }
  /// The change to make next; nullopt: none.
  std::optional<control::MembershipChange> nextChange(const wire::Membership& membership, MemberId self,
                                                      TimePoint now) const;
  /// The member's latest hello; nullptr: none.
  const wire::MemberHello* helloOf(const NodeName& node) const;
  /// HTTP addresses of the other members that said hello of late and hear a leader, in a stable order.
  std::vector<std::string> servingMembers(const wire::Membership& membership, TimePoint now) const;

 private:
  struct Contact {
    wire::MemberHello hello;
    TimePoint heard{};
  };

  Duration silence(const wire::Member& member, TimePoint now) const;
  std::optional<control::MembershipChange> replaceLostDisk(const wire::Membership& membership,
                                                           TimePoint now) const;
  std::optional<control::MembershipChange> admitNewcomer(const wire::Membership& membership,
                                                         TimePoint now) const;
  std::optional<control::MembershipChange> useLearner(const wire::Membership& membership, MemberId self,
                                                      TimePoint now) const;
  std::optional<control::MembershipChange> dropSilentLearner(const wire::Membership& membership,
                                                             TimePoint now) const;

  CellKeeperSettings settings_;
  TimePoint started_;
  std::map<NodeName, Contact> contacts_;
};

}  // namespace ferryrock::services
