#include "control/proposal_tracker.h"

#include <utility>

namespace ferryrock::control {

ProposalTracker::RouterCommandKey ProposalTracker::keyOf(const RouterOrigin& origin) {
  return {origin.router, origin.incarnation, origin.id};
}

void ProposalTracker::add(LogIndex index, Term term, ProposalOrigin origin) {
  if (const auto* router = std::get_if<RouterOrigin>(&origin)) {
    router_commands_.insert(keyOf(*router));
  }
  proposals_[index] = Proposal{term, std::move(origin)};
}

bool ProposalTracker::inFlight(const RouterOrigin& origin) const {
  return router_commands_.contains(keyOf(origin));
}

std::optional<SettledProposal> ProposalTracker::settle(LogIndex index, Term term) {
  const auto found = proposals_.find(index);
  if (found == proposals_.end()) {
    return std::nullopt;
  }
  SettledProposal settled{std::move(found->second.origin), found->second.term == term};
  proposals_.erase(found);
  if (const auto* router = std::get_if<RouterOrigin>(&settled.origin)) {
    router_commands_.erase(keyOf(*router));
  }
  return settled;
}

std::vector<ProposalOrigin> ProposalTracker::abandonAll() {
  std::vector<ProposalOrigin> origins;
  origins.reserve(proposals_.size());
  for (auto& [index, proposal] : proposals_) {
    origins.push_back(std::move(proposal.origin));
  }
  proposals_.clear();
  router_commands_.clear();
  return origins;
}

}  // namespace ferryrock::control
