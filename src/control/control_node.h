#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "catalog/catalog.h"
#include "common/time.h"
#include "consensus/quorum_log.h"
#include "control/claim_table.h"
#include "control/defects.h"
#include "control/engine_orders.h"
#include "control/hosted_services.h"
#include "placement/ledger.h"
#include "placement/planner.h"
#include "wire/messages.h"

/// One control member as logic without input or output: quorum log, replicated state (settings, ledger,
/// claims), planner, engine orders and the routers' tables. Run by control_process and by the simulator.
namespace ferryrock::control {

struct ControlSettings {
  consensus::QuorumLogSettings log;
  RegionName region;
  Duration router_gone_after = std::chrono::seconds(10);
  Duration engine_poll_wait = std::chrono::seconds(2);
  Duration engine_unreachable_after = std::chrono::seconds(3);
  Duration machine_gone_margin = std::chrono::seconds(5);  ///< added to the platform's stated lag
  ClaimLimits claims;                                      ///< the same on every member
  Defects defects;                                         ///< never set by the product
};

/// Outcome of a command proposed through ControlNode::propose(); exactly one per accepted proposal, unless
/// the process stops first.
struct ProposalDoneEffect {
  std::uint64_t proposal_id = 0;
  wire::CommandResult
      result;  ///< NotLeader or NoQuorum: the command may still commit later; resend with its identity
};

enum class MembershipAction : std::uint8_t { AddLearner, Promote, Remove };

/// One change of the cell's membership; done once it is committed.
struct MembershipChange {
  MembershipAction action = MembershipAction::AddLearner;
  wire::Member member;  ///< Promote and Remove use only its id
};

/// The read may be answered from the state as it is now.
struct ReadDoneEffect {
  std::uint64_t read_id = 0;
  bool confirmed = false;
};

using Effect = std::variant<wire::SendEffect, consensus::PersistEffect, RaiseFenceEffect, OrderEffect,
                            PollEngineEffect, ProposalDoneEffect, ReadDoneEffect>;
using Effects = std::vector<Effect>;

/// What `ferryrock status` shows of one router.
struct RouterView {
  NodeName router;
  ZoneName zone;
  TreeVersion tree_version;
  LogIndex revision;
  Duration last_heard{};
};

/// Used by one thread.
class ControlNode {
 public:
  virtual ~ControlNode() = default;

  virtual Effects receive(const wire::Envelope& envelope, TimePoint now) = 0;
  virtual Effects tick(TimePoint now) = 0;
  virtual TimePoint nextDeadline() const = 0;
  virtual Effects onPersisted(std::uint64_t sequence, TimePoint now) = 0;
  /// Proposes a command for an operator; proposal_id is the caller's and comes back in ProposalDoneEffect.
  virtual Effects propose(std::uint64_t proposal_id, wire::Command command, TimePoint now) = 0;
  /// Changes the membership for an operator; ends in a ProposalDoneEffect as propose() does.
  virtual Effects changeMembership(std::uint64_t proposal_id, const MembershipChange& change,
                                   TimePoint now) = 0;
  virtual Effects confirmRead(std::uint64_t read_id, TimePoint now) = 0;
  virtual Effects onEngineAnswer(const EngineAnswer& answer, TimePoint now) = 0;
  virtual Effects onMachineList(const MachineList& list, TimePoint now) = 0;
  virtual Effects beginStop(TimePoint now) = 0;

  virtual const consensus::QuorumLog& log() const = 0;
  /// True once this member leads and has applied an entry of its own term: it may order, and tables may
  /// leave.
  virtual bool leads() const = 0;
  virtual const catalog::Catalog& catalog() const = 0;
  virtual const placement::Ledger& ledger() const = 0;
  virtual const HostedServices& hosted() const = 0;
  virtual std::vector<RouterView> routers(TimePoint now) const = 0;
  virtual placement::Explanation explain(const ModelName& model, TimePoint now) const = 0;
};

/// wall_time stamps commands; it is read when a command is made, never when one is applied.
std::unique_ptr<ControlNode> createControlNode(const ControlSettings& settings,
                                               consensus::RecoveredState recovered, Random random,
                                               TimeSource& time_source);

}  // namespace ferryrock::control
