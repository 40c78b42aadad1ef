#include "fake_control.h"

#include <algorithm>
#include <set>
#include <variant>

namespace ferryrock::router_process {
namespace {

const NodeName kName("control-1");
const NodeName kRouter("router-1");
constexpr Duration kGreetingInterval = std::chrono::milliseconds(10);

}  // namespace

FakeControl::FakeControl(event::Dispatcher& dispatcher) {
  transport::TransportSettings settings;
  settings.node = kName;
  settings.listen_address = "127.0.0.1:0";
  transport_ = transport::createZeroMqTransport(
      dispatcher, settings, [this](const wire::Envelope& envelope) { receive(envelope); });
  transport_->setPeers({{kRouter, "", ""}});
  last_status_.router = kRouter;
  last_status_.all_interests = true;
  greeting_ = dispatcher.createTimer([this] { greet(); });
  greeting_->enable(kGreetingInterval);
}

void FakeControl::greet() {
  answerStatus(last_status_);
  greeting_->enable(kGreetingInterval);
}

void FakeControl::raiseTreeVersion() {
  tree_version_ = tree_version_.next();
  answerStatus(last_status_);
}

transport::Peer FakeControl::peer() const {
  return {kName, transport_->boundAddress(), ""};
}

void FakeControl::setEntry(wire::RouteEntry entry) {
  ++revision_;
  const ModelName name = entry.settings.name;
  entries_[name] = std::move(entry);
}

void FakeControl::receive(const wire::Envelope& envelope) {
  if (const auto* status = std::get_if<wire::RouterStatus>(&envelope.message)) {
    reported_version_ = std::max(reported_version_, status->tree_version);
    greeting_->disable();
    last_status_ = *status;
    answerStatus(*status);
  } else if (const auto* commands = std::get_if<wire::RouterCommands>(&envelope.message)) {
    answerCommands(*commands);
  }
}

/// Always the whole table of the names asked for. A revision of its own makes it replace the one before.
void FakeControl::answerStatus(const wire::RouterStatus& status) {
  wire::TableUpdate update;
  update.term = Term(1);
  update.leader = MemberId(1);
  update.revision = LogIndex(++revision_);
  update.tree_version = tree_version_;
  update.full = true;
  update.requests_interests = !status.all_interests;
  for (const ModelName& name : status.added_interests) {
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
      update.removed.push_back(name);
      update.digest ^= wire::absentDigest(name);
    } else {
      update.entries.push_back(found->second);
      update.digest ^= wire::entryDigest(found->second);
    }
  }
  transport_->send(status.router, update);
}

void FakeControl::answerCommands(const wire::RouterCommands& commands) {
  wire::CommandReplies replies;
  replies.incarnation = commands.incarnation;
  for (const wire::RouterCommand& command : commands.commands) {
    if (const auto* claimed = std::get_if<wire::ClaimCommand>(&command.command)) {
      replies.replies.push_back({command.id, claim(*claimed)});
    } else if (const auto* recorded = std::get_if<wire::RecordOutcomeCommand>(&command.command)) {
      replies.replies.push_back({command.id, record(*recorded)});
    }
  }
  transport_->send(commands.router, replies);
}

wire::CommandResult FakeControl::claim(const wire::ClaimCommand& command) {
  Claim& claim = claims_[command.key];
  const bool fresh = claim.attempt == 0;
  const bool next = claim.outcome == wire::ClaimOutcome::NotRun && command.attempt == claim.attempt + 1;
  if (fresh || next) {
    claim = {command.attempt, command.request, wire::ClaimOutcome::Open, {}};
  }
  wire::CommandResult result;
  result.attempt = claim.attempt;
  result.outcome = claim.outcome;
  result.answer = claim.answer;
  if (claim.outcome == wire::ClaimOutcome::Open && claim.holder != command.request) {
    result.code = ResultCode::ClaimInProgress;
  } else if (claim.outcome == wire::ClaimOutcome::Unknown) {
    result.code = ResultCode::OutcomeUnknown;
  }
  return result;
}

wire::CommandResult FakeControl::record(const wire::RecordOutcomeCommand& command) {
  Claim& claim = claims_[command.key];
  claim.outcome = command.outcome;
  claim.answer = command.answer;
  return {};
}

}  // namespace ferryrock::router_process
