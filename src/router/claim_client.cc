#include "router/claim_client.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ferryrock::router {
namespace {

/// Commands made within this time of the last batch travel together.
constexpr Duration kBatchInterval = std::chrono::milliseconds(2);
constexpr Duration kFirstResend = std::chrono::milliseconds(250);
constexpr Duration kLongestResend = std::chrono::seconds(2);
constexpr std::uint32_t kMostDoublings = 3;
/// Sends to the known leader alone before every member is asked.
constexpr std::uint32_t kSendsToLeaderAlone = 1;
/// Claims of requests that have ended; beyond it the oldest is given up, and its key stays open.
constexpr std::size_t kMostAbandoned = 10'000;
/// A batch is closed beyond so many bytes of answers.
constexpr std::size_t kLargestBatchBytes = 1 << 20;

bool isFinal(const wire::CommandResult& result) {
  return result.code != ResultCode::NotLeader && result.code != ResultCode::NoQuorum;
}

bool wasGranted(const wire::ClaimCommand& claim, const wire::CommandResult& result) {
  return result.code == ResultCode::Ok && result.outcome == wire::ClaimOutcome::Open &&
         result.attempt == claim.attempt;
}

std::size_t bytesOf(const wire::Command& command) {
  const auto* record = std::get_if<wire::RecordOutcomeCommand>(&command);
  return record == nullptr ? 0 : record->answer.size();
}

Duration resendInterval(std::uint32_t sends) {
  const std::uint32_t doublings = std::min(sends == 0 ? 0 : sends - 1, kMostDoublings);
  return std::min(kLongestResend, kFirstResend * (1U << doublings));
}

}  // namespace

ClaimClient::ClaimClient(NodeName node, std::uint64_t incarnation)
    : node_(std::move(node)), incarnation_(incarnation) {}

std::uint64_t ClaimClient::add(wire::Command command, RequestNumber request, TimePoint now) {
  const std::uint64_t id = next_id_++;
  pending_[id] = Pending{std::move(command), request, 0, now};
  earliest_send_ = std::min(earliest_send_, now);
  return id;
}

void ClaimClient::claim(RequestNumber request, wire::ClaimCommand command, TimePoint now) {
  claim_of_[request] = add(std::move(command), request, now);
}

void ClaimClient::record(wire::RecordOutcomeCommand command, TimePoint now) {
  add(std::move(command), 0, now);
}

void ClaimClient::abandon(RequestNumber request) {
  const auto position = claim_of_.find(request);
  if (position == claim_of_.end()) {
    return;
  }
  const auto pending = pending_.find(position->second);
  claim_of_.erase(position);
  if (pending->second.sends == 0) {
    pending_.erase(pending);
    return;
  }
  pending->second.request = 0;
  ++abandoned_;
  if (abandoned_ > kMostAbandoned) {
    dropOldestAbandoned();
  }
}

void ClaimClient::dropOldestAbandoned() {
  const auto oldest = std::find_if(pending_.begin(), pending_.end(), [](const auto& item) {
    return item.second.request == 0 && std::holds_alternative<wire::ClaimCommand>(item.second.command);
  });
  if (oldest != pending_.end()) {
    pending_.erase(oldest);
    --abandoned_;
  }
}

std::vector<ClaimAnswer> ClaimClient::onReplies(const wire::CommandReplies& replies, TimePoint now) {
  std::vector<ClaimAnswer> answers;
  if (replies.incarnation != incarnation_) {
    return answers;
  }
  for (const auto& reply : replies.replies) {
    const auto position = pending_.find(reply.id);
    if (position == pending_.end()) {
      continue;
    }
    if (!isFinal(reply.result)) {
      continue;
    }
    const Pending pending = std::move(position->second);
    pending_.erase(position);
    const auto* claim = std::get_if<wire::ClaimCommand>(&pending.command);
    if (claim == nullptr) {
      continue;
    }
    if (pending.request != 0) {
      claim_of_.erase(pending.request);
      answers.push_back(ClaimAnswer{pending.request, *claim, reply.result});
      continue;
    }
    --abandoned_;
    if (wasGranted(*claim, reply.result)) {
      wire::RecordOutcomeCommand outcome;
      outcome.key = claim->key;
      outcome.attempt = claim->attempt;
      outcome.outcome = wire::ClaimOutcome::NotRun;
      outcome.time = claim->time;
      record(std::move(outcome), now);
    }
  }
  return answers;
}

std::vector<wire::SendEffect> ClaimClient::tick(const ControlLink& link, TimePoint now) {
  std::vector<wire::SendEffect> effects;
  if (now < nextDeadline()) {
    return effects;
  }
  wire::RouterCommands to_leader{node_, incarnation_, {}};
  wire::RouterCommands to_all{node_, incarnation_, {}};
  std::size_t bytes = 0;
  earliest_send_ = TimePoint::max();
  for (auto& [id, pending] : pending_) {
    if (pending.next_send <= now && bytes <= kLargestBatchBytes) {
      const bool leader_alone = link.leader() && link.available(now) && pending.sends < kSendsToLeaderAlone;
      auto& batch = leader_alone ? to_leader : to_all;
      batch.commands.push_back(wire::RouterCommand{id, pending.command});
      bytes += bytesOf(pending.command);
      ++pending.sends;
      pending.next_send = now + resendInterval(pending.sends);
    }
    earliest_send_ = std::min(earliest_send_, pending.next_send);
  }
  next_batch_ = now + kBatchInterval;
  if (!to_leader.commands.empty()) {
    effects.push_back(wire::SendEffect{*link.leader(), std::move(to_leader)});
  }
  if (!to_all.commands.empty()) {
    for (const auto& member : link.members()) {
      effects.push_back(wire::SendEffect{member, to_all});
    }
  }
  return effects;
}

TimePoint ClaimClient::nextDeadline() const {
  return pending_.empty() ? TimePoint::max() : std::max(earliest_send_, next_batch_);
}

}  // namespace ferryrock::router
