#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <variant>
#include <vector>

#include "common/identifiers.h"

namespace ferryrock::control {

/// A proposal of an operator; answered with a ProposalDoneEffect.
struct OperatorOrigin {
  std::uint64_t proposal_id = 0;
};

/// A command that a router sent; answered with a CommandReply.
struct RouterOrigin {
  NodeName router;
  std::uint64_t incarnation = 0;
  std::uint64_t id = 0;
};

struct PlannerOrigin {};

/// What the leader itself proposes, from engines' states or from the passing of time.
struct LeaderOrigin {};

using ProposalOrigin = std::variant<OperatorOrigin, RouterOrigin, PlannerOrigin, LeaderOrigin>;

/// Outcome of a proposal whose log position was applied.
struct SettledProposal {
  ProposalOrigin origin;
  bool committed = false;  ///< false: another leader's entry took the position
};

/// Remembers who proposed which log position, so that the result of applying it finds its way back.
class ProposalTracker {
 public:
  void add(LogIndex index, Term term, ProposalOrigin origin);
  /// True while a router's command is proposed and not yet settled; a resent one needs no second entry.
  bool inFlight(const RouterOrigin& origin) const;
  /// Call for each applied entry, in order.
  std::optional<SettledProposal> settle(LogIndex index, Term term);
  /// Forgets all and returns their origins: leadership was lost, or a snapshot replaced the log.
  std::vector<ProposalOrigin> abandonAll();
  std::size_t size() const { return proposals_.size(); }

 private:
  struct Proposal {
    Term term;
    ProposalOrigin origin;
  };
  using RouterCommandKey = std::tuple<NodeName, std::uint64_t, std::uint64_t>;

  static RouterCommandKey keyOf(const RouterOrigin& origin);

  std::map<LogIndex, Proposal> proposals_;
  std::set<RouterCommandKey> router_commands_;
};

}  // namespace ferryrock::control
