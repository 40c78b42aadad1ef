#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "common/time.h"
#include "control/claim_table.h"

namespace ferryrock::control {

/// The leader's upkeep of the claim table: advances the claim clock by the time that it measured itself, and
/// records as unknown what routers that are gone left open.
class ClaimUpkeep {
 public:
  ClaimUpkeep(const ClaimTable& claims, TimePoint now) : claims_(claims), last_step_(now) {}

  void onRouterGone(const NodeName& router) { gone_routers_.push_back(router); }
  std::vector<wire::Command> tick(TimePoint now);
  TimePoint nextDeadline() const;

 private:
  void recordUnknown(std::vector<wire::Command>& commands);

  const ClaimTable& claims_;
  TimePoint last_step_;
  std::deque<NodeName> gone_routers_;
};

}  // namespace ferryrock::control
