#include "control/claim_upkeep.h"

#include <algorithm>

namespace ferryrock::control {
namespace {

/// Time between steps of the claim clock; ClaimTable allows for one lost step and one that is late.
constexpr Duration kClockStep = std::chrono::seconds(5);
/// Outcomes recorded per step.
constexpr std::size_t kMaximumRecords = 256;

}  // namespace

std::vector<wire::Command> ClaimUpkeep::tick(TimePoint now) {
  std::vector<wire::Command> commands;
  if (now < nextDeadline()) {
    return commands;
  }
  // A pause of this process must not end retentions: at most one late step is counted.
  const Duration passed = std::min(now - last_step_, 2 * kClockStep);
  last_step_ = now;
  if (claims_.size() > 0) {
    commands.emplace_back(wire::ExpireClaimsCommand{claims_.clock() + toMilliseconds(passed)});
  }
  recordUnknown(commands);
  return commands;
}

void ClaimUpkeep::recordUnknown(std::vector<wire::Command>& commands) {
  while (!gone_routers_.empty()) {
    const NodeName router = gone_routers_.front();
    const std::vector<ClaimAttempt> open = claims_.openClaimsOf(router, kMaximumRecords);
    for (const ClaimAttempt& attempt : open) {
      wire::RecordOutcomeCommand command;
      command.key = attempt.key;
      command.attempt = attempt.attempt;
      command.outcome = wire::ClaimOutcome::Unknown;
      commands.emplace_back(command);
    }
    if (open.size() == kMaximumRecords) {
      return;
    }
    gone_routers_.pop_front();
  }
}

TimePoint ClaimUpkeep::nextDeadline() const {
  return last_step_ + kClockStep;
}

}  // namespace ferryrock::control
