#include "control/control_node.h"

#include <algorithm>
#include <map>
#include <utility>

#include "control/leadership.h"
#include "control/proposal_tracker.h"
#include "control/replicated_state.h"
#include "control/router_registry.h"

namespace ferryrock::control {
namespace {

/// Routers' commands beyond this many unsettled ones are left unanswered; routers send them again.
constexpr std::size_t kMaximumUnsettledProposals = 50'000;
/// How often silent routers are looked for.
constexpr Duration kRouterCheck = std::chrono::seconds(1);

/// Members write their snapshots at different entries, so that a quorum goes on syncing meanwhile.
consensus::QuorumLogSettings staggered(consensus::QuorumLogSettings settings) {
  constexpr std::size_t kSteps = 8;
  settings.snapshot_after_entries += settings.snapshot_after_entries * (settings.id.value % kSteps) / kSteps;
  return settings;
}

wire::CommandResult failure(ResultCode code, std::string detail) {
  wire::CommandResult result;
  result.code = code;
  result.detail = std::move(detail);
  return result;
}

bool mayComeFromRouter(const wire::Command& command) {
  return std::holds_alternative<wire::ClaimCommand>(command) ||
         std::holds_alternative<wire::RecordOutcomeCommand>(command);
}

class ControlNodeImpl : public ControlNode {
 public:
  ControlNodeImpl(const ControlSettings& settings, consensus::RecoveredState recovered, Random random,
                  TimeSource& time_source);

  Effects receive(const wire::Envelope& envelope, TimePoint now) override;
  Effects tick(TimePoint now) override;
  TimePoint nextDeadline() const override;
  Effects onPersisted(std::uint64_t sequence, TimePoint now) override;
  Effects propose(std::uint64_t proposal_id, wire::Command command, TimePoint now) override;
  Effects changeMembership(std::uint64_t proposal_id, const MembershipChange& change, TimePoint now) override;
  Effects confirmRead(std::uint64_t read_id, TimePoint now) override;
  Effects onEngineAnswer(const EngineAnswer& answer, TimePoint now) override;
  Effects onMachineList(const MachineList& list, TimePoint now) override;
  Effects beginStop(TimePoint now) override;

  const consensus::QuorumLog& log() const override { return *log_; }
  bool leads() const override { return leadership_ != nullptr; }
  const catalog::Catalog& catalog() const override { return state_.catalog(); }
  const placement::Ledger& ledger() const override { return state_.ledger(); }
  const HostedServices& hosted() const override { return state_.hosted(); }
  std::vector<RouterView> routers(TimePoint now) const override;
  placement::Explanation explain(const ModelName& model, TimePoint now) const override;

 private:
  struct WaitingRead {
    std::uint64_t read_id = 0;
    LogIndex index;
  };

  void onMessage(const NodeName& from, const wire::RouterStatus& status, TimePoint now);
  void onMessage(const NodeName& from, const wire::DemandReport& report, TimePoint now);
  void onMessage(const NodeName& from, const wire::RouterCommands& commands, TimePoint now);
  void onMessage(const NodeName&, const wire::TableUpdate&, TimePoint) {}
  void onMessage(const NodeName&, const wire::CommandReplies&, TimePoint) {}
  template <class ConsensusMessage>
  void onMessage(const NodeName& from, const ConsensusMessage& message, TimePoint now) {
    takeAll(log_->receive(from, message, now), now);
  }

  void takeAll(consensus::Effects effects, TimePoint now);
  void take(wire::SendEffect effect, TimePoint now);
  void take(consensus::PersistEffect effect, TimePoint now);
  void take(const consensus::ApplyEffect& effect, TimePoint now);
  void take(const consensus::RestoreEffect& effect, TimePoint now);
  void take(const consensus::SnapshotRequestEffect& effect, TimePoint now);
  void take(const consensus::RoleEffect& effect, TimePoint now);
  void take(const consensus::ReadReadyEffect& effect, TimePoint now);

  void applyEntry(const wire::LogEntry& entry, TimePoint now);
  void settle(const wire::LogEntry& entry, const wire::Command* command, const wire::CommandResult& result,
              TimePoint now);
  void beginLeadership(const wire::LogEntry& entry, TimePoint now);
  /// No other member can lead meanwhile.
  bool mayOrder(TimePoint now) const { return settings_.defects.order_without_lease || log_->hasLease(now); }
  void endLeadership();
  bool proposeTracked(const wire::Command& command, ProposalOrigin origin, TimePoint now);
  void reply(const RouterOrigin& origin, const wire::CommandResult& result);
  void answerOperator(std::uint64_t proposal_id, const wire::CommandResult& result);
  void finishReads();
  void forgetSilentRouters(TimePoint now);
  ResultCode noLeaderCode() const;
  Effects finish(TimePoint now);

  ControlSettings settings_;
  TimeSource& time_source_;
  std::unique_ptr<consensus::QuorumLog> log_;
  ReplicatedState state_;
  LogIndex applied_;
  std::uint64_t applied_bytes_ = 0;   ///< of the entries applied since the last snapshot
  std::uint64_t snapshot_bytes_ = 0;  ///< of the last snapshot
  RouterRegistry registry_;
  ProposalTracker proposals_;
  std::unique_ptr<Leadership> leadership_;
  std::vector<WaitingRead> reads_;
  std::map<NodeName, wire::CommandReplies> replies_;
  TimePoint next_router_check_;
  Effects effects_;
};

ControlNodeImpl::ControlNodeImpl(const ControlSettings& settings, consensus::RecoveredState recovered,
                                 Random random, TimeSource& time_source)
    : settings_(settings),
      time_source_(time_source),
      log_(consensus::createQuorumLog(staggered(settings.log), std::move(recovered), std::move(random),
                                      time_source.monotonicTime())),
      state_(settings.claims),
      next_router_check_(time_source.monotonicTime() + kRouterCheck) {}

Effects ControlNodeImpl::receive(const wire::Envelope& envelope, TimePoint now) {
  std::visit([&](const auto& message) { onMessage(envelope.from, message, now); }, envelope.message);
  return finish(now);
}

void ControlNodeImpl::onMessage(const NodeName& from, const wire::RouterStatus& status, TimePoint now) {
  if (from != status.router) {
    return;
  }
  const auto news = registry_.accept(status, now);
  if (news && leadership_) {
    leadership_->onStatus(*registry_.find(status.router), *news, now);
  }
}

void ControlNodeImpl::onMessage(const NodeName& from, const wire::DemandReport& report, TimePoint now) {
  if (leadership_ && from == report.router) {
    leadership_->onDemand(report, now);
  }
}

void ControlNodeImpl::onMessage(const NodeName& from, const wire::RouterCommands& commands, TimePoint now) {
  if (!leadership_ || from != commands.router) {
    return;
  }
  for (const wire::RouterCommand& command : commands.commands) {
    const RouterOrigin origin{commands.router, commands.incarnation, command.id};
    if (!mayComeFromRouter(command.command)) {
      reply(origin, failure(ResultCode::Forbidden, "routers may only claim and record outcomes"));
    } else if (!proposals_.inFlight(origin) && proposals_.size() < kMaximumUnsettledProposals) {
      proposeTracked(command.command, origin, now);
    }
  }
}

Effects ControlNodeImpl::tick(TimePoint now) {
  takeAll(log_->tick(now), now);
  if (now >= next_router_check_) {
    next_router_check_ = now + kRouterCheck;
    forgetSilentRouters(now);
  }
  return finish(now);
}

void ControlNodeImpl::forgetSilentRouters(TimePoint now) {
  for (const NodeName& router : registry_.removeSilentSince(now - settings_.router_gone_after)) {
    if (leadership_) {
      leadership_->onRouterGone(router, now);
    }
  }
}

TimePoint ControlNodeImpl::nextDeadline() const {
  TimePoint deadline = std::min(log_->nextDeadline(), next_router_check_);
  if (leadership_) {
    deadline = std::min(deadline, leadership_->nextDeadline());
  }
  return deadline;
}

Effects ControlNodeImpl::onPersisted(std::uint64_t sequence, TimePoint now) {
  takeAll(log_->onPersisted(sequence, now), now);
  return finish(now);
}

Effects ControlNodeImpl::propose(std::uint64_t proposal_id, wire::Command command, TimePoint now) {
  if (auto* change = std::get_if<wire::ChangeTreeCommand>(&command)) {
    change->time = time_source_.wallTime();
  }
  if (!proposeTracked(command, OperatorOrigin{proposal_id}, now)) {
    answerOperator(proposal_id, failure(noLeaderCode(), "this member doesn't lead the cell"));
  }
  return finish(now);
}

Effects ControlNodeImpl::changeMembership(std::uint64_t proposal_id, const MembershipChange& change,
                                          TimePoint now) {
  consensus::Proposal proposal;
  switch (change.action) {
    case MembershipAction::AddLearner:
      proposal = log_->addLearner(change.member, now);
      break;
    case MembershipAction::Promote:
      proposal = log_->promote(change.member.id, now);
      break;
    case MembershipAction::Remove:
      proposal = log_->remove(change.member.id, now);
      break;
  }
  if (proposal.accepted) {
    proposals_.add(proposal.index, proposal.term, OperatorOrigin{proposal_id});
  } else {
    const bool not_leader = proposal.code == ResultCode::NotLeader;
    answerOperator(proposal_id,
                   failure(not_leader ? noLeaderCode() : proposal.code, "the membership wasn't changed"));
  }
  takeAll(std::move(proposal.effects), now);
  return finish(now);
}

bool ControlNodeImpl::proposeTracked(const wire::Command& command, ProposalOrigin origin, TimePoint now) {
  consensus::Proposal proposal = log_->propose(wire::encodeCommand(command), now);
  if (proposal.accepted) {
    proposals_.add(proposal.index, proposal.term, std::move(origin));
  }
  takeAll(std::move(proposal.effects), now);
  return proposal.accepted;
}

Effects ControlNodeImpl::confirmRead(std::uint64_t read_id, TimePoint now) {
  takeAll(log_->confirmRead(read_id, now), now);
  return finish(now);
}

Effects ControlNodeImpl::onEngineAnswer(const EngineAnswer& answer, TimePoint now) {
  if (leadership_) {
    leadership_->onEngineAnswer(answer, mayOrder(now), now);
  }
  return finish(now);
}

Effects ControlNodeImpl::onMachineList(const MachineList& list, TimePoint now) {
  if (leadership_) {
    leadership_->onMachineList(list, mayOrder(now), now);
  }
  return finish(now);
}

Effects ControlNodeImpl::beginStop(TimePoint now) {
  takeAll(log_->transferLeadership(now), now);
  return finish(now);
}

void ControlNodeImpl::takeAll(consensus::Effects effects, TimePoint now) {
  for (consensus::Effect& effect : effects) {
    std::visit([this, now](auto& typed) { take(std::move(typed), now); }, effect);
  }
}

void ControlNodeImpl::take(wire::SendEffect effect, TimePoint) {
  effects_.emplace_back(std::move(effect));
}

void ControlNodeImpl::take(consensus::PersistEffect effect, TimePoint) {
  effects_.emplace_back(std::move(effect));
}

void ControlNodeImpl::take(const consensus::ApplyEffect& effect, TimePoint now) {
  for (const wire::LogEntry& entry : effect.entries) {
    applyEntry(entry, now);
  }
  finishReads();
}

void ControlNodeImpl::applyEntry(const wire::LogEntry& entry, TimePoint now) {
  applied_ = entry.index;
  applied_bytes_ += entry.payload.size();
  if (entry.kind == wire::EntryKind::StateCommand) {
    const wire::Command command = wire::decodeCommand(entry.payload);
    const AppliedChange change = state_.apply(command);
    if (leadership_) {
      leadership_->onApplied(command, change, now);
    }
    settle(entry, &command, change.result, now);
  } else {
    settle(entry, nullptr, {}, now);
  }
  beginLeadership(entry, now);
}

void ControlNodeImpl::settle(const wire::LogEntry& entry, const wire::Command* command,
                             const wire::CommandResult& result, TimePoint now) {
  const auto settled = proposals_.settle(entry.index, entry.term);
  if (!settled) {
    return;
  }
  if (const auto* origin = std::get_if<OperatorOrigin>(&settled->origin)) {
    answerOperator(origin->proposal_id,
                   settled->committed
                       ? result
                       : failure(ResultCode::NotLeader, "another leader's entry took the place of this one"));
  } else if (const auto* router = std::get_if<RouterOrigin>(&settled->origin)) {
    if (settled->committed) {
      reply(*router, result);
    }
  } else if (std::holds_alternative<PlannerOrigin>(settled->origin) && leadership_ && command != nullptr) {
    if (result.code != ResultCode::Ok) {
      leadership_->onProposalRefused(*command, now);
    }
  }
}

void ControlNodeImpl::beginLeadership(const wire::LogEntry& entry, TimePoint now) {
  const bool own_term = log_->role() == consensus::Role::Leader && entry.term == log_->term();
  if (!own_term || leadership_) {
    return;
  }
  EngineControllerSettings engines;
  engines.poll_wait = settings_.engine_poll_wait;
  engines.unreachable_after = settings_.engine_unreachable_after;
  engines.machine_gone_margin = settings_.machine_gone_margin;
  engines.defects = settings_.defects;
  leadership_ = std::make_unique<Leadership>(log_->term(), settings_.log.id, engines, state_, registry_, now);
}

void ControlNodeImpl::take(const consensus::RestoreEffect& effect, TimePoint) {
  endLeadership();
  state_.restore(effect.snapshot.bytes);
  snapshot_bytes_ = effect.snapshot.bytes.size();
  applied_bytes_ = 0;
  applied_ = effect.snapshot.last_index;
  finishReads();
}

/// The log may grow to the size of the last snapshot first, so that snapshots cost no more than the entries
/// that they replace. The log asks again.
void ControlNodeImpl::take(const consensus::SnapshotRequestEffect&, TimePoint now) {
  if (applied_bytes_ < snapshot_bytes_) {
    return;
  }
  std::string state = state_.serialize(!settings_.defects.forget_changes_at_snapshot);
  snapshot_bytes_ = state.size();
  applied_bytes_ = 0;
  takeAll(log_->compact(applied_, std::move(state), now), now);
}

void ControlNodeImpl::take(const consensus::RoleEffect& effect, TimePoint) {
  const bool leads_on =
      effect.role == consensus::Role::Leader && leadership_ && leadership_->term() == effect.term;
  if (!leads_on) {
    endLeadership();
  }
}

void ControlNodeImpl::take(const consensus::ReadReadyEffect& effect, TimePoint) {
  if (!effect.confirmed) {
    effects_.emplace_back(ReadDoneEffect{effect.read_id, false});
    return;
  }
  reads_.push_back({effect.read_id, effect.index});
  finishReads();
}

void ControlNodeImpl::finishReads() {
  std::erase_if(reads_, [this](const WaitingRead& read) {
    const bool done = read.index <= applied_;
    if (done) {
      effects_.emplace_back(ReadDoneEffect{read.read_id, true});
    }
    return done;
  });
}

void ControlNodeImpl::endLeadership() {
  leadership_.reset();
  for (const ProposalOrigin& origin : proposals_.abandonAll()) {
    if (const auto* from_operator = std::get_if<OperatorOrigin>(&origin)) {
      answerOperator(from_operator->proposal_id,
                     failure(noLeaderCode(), "leadership was lost before the outcome was known"));
    }
  }
}

void ControlNodeImpl::reply(const RouterOrigin& origin, const wire::CommandResult& result) {
  wire::CommandReplies& replies = replies_[origin.router];
  if (!replies.replies.empty() && replies.incarnation != origin.incarnation) {
    replies.replies.clear();
  }
  replies.incarnation = origin.incarnation;
  replies.replies.push_back({origin.id, result});
}

void ControlNodeImpl::answerOperator(std::uint64_t proposal_id, const wire::CommandResult& result) {
  effects_.emplace_back(ProposalDoneEffect{proposal_id, result});
}

ResultCode ControlNodeImpl::noLeaderCode() const {
  return log_->leader().empty() ? ResultCode::NoQuorum : ResultCode::NotLeader;
}

Effects ControlNodeImpl::finish(TimePoint now) {
  // Proposals can be applied at once in a cell of one; the rounds end because each settles what the last one
  // proposed.
  constexpr int kMaximumRounds = 8;
  for (int round = 0; leadership_ && round < kMaximumRounds; ++round) {
    LeaderOutput output = leadership_->step(mayOrder(now), now);
    for (EngineEffect& effect : output.engine_effects) {
      std::visit([this](auto& typed) { effects_.emplace_back(std::move(typed)); }, effect);
    }
    std::move(output.sends.begin(), output.sends.end(), std::back_inserter(effects_));
    if (output.proposals.empty()) {
      break;
    }
    for (LeaderProposal& proposal : output.proposals) {
      proposeTracked(proposal.command, std::move(proposal.origin), now);
    }
  }
  for (auto& [router, replies] : replies_) {
    effects_.emplace_back(wire::SendEffect{router, std::move(replies)});
  }
  replies_.clear();
  return std::exchange(effects_, {});
}

std::vector<RouterView> ControlNodeImpl::routers(TimePoint now) const {
  std::vector<RouterView> views;
  for (const auto& [name, record] : registry_.routers()) {
    views.push_back({name, record.zone, record.tree_version, record.revision, now - record.last_heard});
  }
  return views;
}

placement::Explanation ControlNodeImpl::explain(const ModelName& model, TimePoint now) const {
  if (leadership_) {
    return leadership_->planner().explain(model, now);
  }
  placement::Explanation explanation;
  explanation.model = model;
  explanation.decided = static_cast<std::uint32_t>(state_.ledger().slotsOf(model).size());
  explanation.reasons.push_back("This member doesn't lead the cell; ask the leader.");
  return explanation;
}

}  // namespace

std::unique_ptr<ControlNode> createControlNode(const ControlSettings& settings,
                                               consensus::RecoveredState recovered, Random random,
                                               TimeSource& time_source) {
  return std::make_unique<ControlNodeImpl>(settings, std::move(recovered), std::move(random), time_source);
}

}  // namespace ferryrock::control
