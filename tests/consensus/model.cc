#include "model.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

#include "common/hashing.h"
#include "quorum_log_inspector.h"

namespace ferryrock::consensus {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

NodeName nodeAt(std::size_t position) {
  return NodeName{"control-" + std::to_string(position + 1)};
}

MemberId memberAt(std::size_t position) {
  return MemberId{position + 1};
}

DiskId diskAt(std::size_t position) {
  return DiskId{100 + position};
}

std::size_t positionOf(const NodeName& node) {
  return static_cast<std::size_t>(node.value.back() - '1');
}

wire::Membership formedCell() {
  wire::Membership membership;
  for (std::size_t position = 0; position < kModelMembers; ++position) {
    membership.members.push_back({memberAt(position), nodeAt(position), "", "", true, diskAt(position)});
  }
  return membership;
}

/// Initial contents of a member's disk.
RecoveredState initialDisk(const ModelSettings& settings, std::size_t position) {
  RecoveredState disk;
  disk.hard_state = {Term{settings.terms[position]}, MemberId{}, diskAt(position)};
  disk.entries.push_back(
      {Term{1}, LogIndex{1}, wire::EntryKind::MembershipChange, wire::encodeMembership(formedCell())});
  for (const std::uint64_t term : settings.logs[position]) {
    const LogIndex next = disk.entries.back().index.next();
    disk.entries.push_back({Term{term}, next, wire::EntryKind::StateCommand, "of " + std::to_string(term)});
  }
  return disk;
}

void writeTo(RecoveredState& disk, const PersistEffect& write) {
  if (write.hard_state) {
    disk.hard_state = *write.hard_state;
  }
  if (write.truncate_from) {
    std::erase_if(disk.entries, [&write](const auto& entry) { return entry.index >= *write.truncate_from; });
  }
  disk.entries.insert(disk.entries.end(), write.entries.begin(), write.entries.end());
}

std::string diskFingerprint(const RecoveredState& disk) {
  std::string text =
      std::to_string(disk.hard_state.term.value) + "v" + std::to_string(disk.hard_state.voted_for.value);
  for (const wire::LogEntry& entry : disk.entries) {
    text += "," + std::to_string(entry.term.value) + entry.payload;
  }
  return text;
}

std::string memberFingerprint(const ModelMember& member) {
  return QuorumLogInspector::fingerprint(*member.log) + "|" + diskFingerprint(member.disk) + "|" +
         std::to_string(member.unsynced.size());
}

}  // namespace

ModelState::ModelState(std::shared_ptr<const ModelSettings> settings)
    : settings_(std::move(settings)),
      oracle_(std::make_shared<const CellOracle>()),
      remaining_(settings_->budget) {
  for (std::size_t position = 0; position < kModelMembers; ++position) {
    start(position, initialDisk(*settings_, position));
  }
}

QuorumLogSettings ModelState::memberSettings(std::size_t position) const {
  QuorumLogSettings settings;
  settings.id = memberAt(position);
  settings.node = nodeAt(position);
  // These timeouts disable timing: no member has leader contact, and no leader loses quorum contact. Steps
  // decide about elections.
  settings.heartbeat = Duration(1);
  settings.election_timeout_min = Duration{};
  settings.election_timeout_max = std::chrono::hours(1);
  settings.max_batch_bytes = 1;
  settings.defects = settings_->defects;
  return settings;
}

void ModelState::start(std::size_t position, RecoveredState disk) {
  auto member = std::make_shared<ModelMember>();
  member->disk = disk;
  member->log = std::make_shared<QuorumLogImpl>(memberSettings(position), std::move(disk), Random(1), kStart);
  member->fingerprint = memberFingerprint(*member);
  members_[position] = std::move(member);
}

std::vector<Step> ModelState::steps() const {
  std::vector<Step> steps;
  for (std::size_t packet = 0; packet < packets_.size(); ++packet) {
    const bool same_as_before = packet > 0 && packets_[packet]->key == packets_[packet - 1]->key;
    if (same_as_before) {
      continue;
    }
    steps.push_back({StepKind::Deliver, packet});
    if (remaining_.duplicates > 0) {
      steps.push_back({StepKind::DeliverCopy, packet});
    }
  }
  for (std::size_t position = 0; position < kModelMembers; ++position) {
    const ModelMember& member = *members_[position];
    const bool leads = member.log->role() == Role::Leader;
    if (!member.unsynced.empty()) {
      steps.push_back({StepKind::Sync, position});
    }
    if (remaining_.crashes > 0) {
      steps.push_back({StepKind::Crash, position});
      if (!member.unsynced.empty()) {
        steps.push_back({StepKind::CrashAfterWrite, position});
      }
    }
    const bool first_election = remaining_.elections == settings_->budget.elections;
    const bool may_start_election = !first_election || position < settings_->first_candidate_count;
    if (remaining_.elections > 0 && !leads && may_start_election) {
      steps.push_back({StepKind::StartElection, position});
    }
    if (remaining_.proposals > 0 && leads) {
      steps.push_back({StepKind::Propose, position});
    }
    if (remaining_.heartbeats > 0 && leads) {
      steps.push_back({StepKind::Heartbeat, position});
    }
  }
  return steps;
}

ModelState ModelState::after(const Step& step) const {
  ModelState next = *this;
  switch (step.kind) {
    case StepKind::Deliver:
      next.deliver(step.position, false);
      break;
    case StepKind::DeliverCopy:
      --next.remaining_.duplicates;
      next.deliver(step.position, true);
      break;
    case StepKind::Sync:
      next.sync(step.position);
      break;
    case StepKind::Crash:
      next.crash(step.position, false);
      break;
    case StepKind::CrashAfterWrite:
      next.crash(step.position, true);
      break;
    case StepKind::StartElection:
      --next.remaining_.elections;
      next.act(step.position, [&](QuorumLogImpl& log) {
        return log.receive(nodeAt(step.position), wire::TimeoutNow{log.term(), MemberId{}}, kStart);
      });
      break;
    case StepKind::Propose:
      --next.remaining_.proposals;
      next.act(step.position, [](QuorumLogImpl& log) { return log.propose("command", kStart).effects; });
      break;
    case StepKind::Heartbeat:
      --next.remaining_.heartbeats;
      next.act(step.position, [](QuorumLogImpl& log) { return log.tick(log.nextDeadline()); });
      break;
  }
  next.applyForcedSteps();
  next.checkLogsMatch();
  return next;
}

template <class Action>
void ModelState::act(std::size_t position, const Action& action) {
  auto member = std::make_shared<ModelMember>(*members_[position]);
  auto log = std::make_shared<QuorumLogImpl>(*member->log);
  Effects effects = action(*log);
  member->log = std::move(log);
  applyEffects(position, std::move(effects), *member);
  member->fingerprint = memberFingerprint(*member);
  members_[position] = std::move(member);
}

void ModelState::applyEffects(std::size_t position, Effects effects, ModelMember& member) {
  for (Effect& effect : effects) {
    if (auto* send = std::get_if<wire::SendEffect>(&effect)) {
      auto packet = std::make_shared<Packet>();
      packet->to = positionOf(send->to);
      packet->from = nodeAt(position);
      packet->key = send->to.value + wire::encodeEnvelope({packet->from, send->message});
      packet->message = std::move(send->message);
      const auto place =
          std::lower_bound(packets_.begin(), packets_.end(), packet,
                           [](const auto& left, const auto& right) { return left->key < right->key; });
      packets_.insert(place, std::move(packet));
    } else if (auto* persist = std::get_if<PersistEffect>(&effect)) {
      member.unsynced.push_back(std::move(*persist));
    } else if (const auto* apply = std::get_if<ApplyEffect>(&effect)) {
      auto oracle = std::make_shared<CellOracle>(*oracle_);
      for (const wire::LogEntry& entry : apply->entries) {
        const std::uint64_t before = oracle->digestAt(LogIndex{entry.index.value - 1});
        oracle->onApply(memberAt(position), member.log->term(), entry, before);
      }
      oracle_ = std::move(oracle);
    } else if (const auto* role = std::get_if<RoleEffect>(&effect)) {
      if (role->role == Role::Leader) {
        auto oracle = std::make_shared<CellOracle>(*oracle_);
        oracle->onLeader(memberAt(position), role->term, member.log->lastIndex());
        oracle_ = std::move(oracle);
        leaders_[role->term.value] = position;
      }
    }
  }
}

void ModelState::sync(std::size_t position) {
  auto written = std::make_shared<ModelMember>(*members_[position]);
  std::uint64_t sequence = 0;
  for (const PersistEffect& write : written->unsynced) {
    writeTo(written->disk, write);
    sequence = write.sequence;
  }
  written->unsynced.clear();
  members_[position] = std::move(written);
  act(position, [sequence](QuorumLogImpl& log) { return log.onPersisted(sequence, kStart); });
}

void ModelState::crash(std::size_t position, bool after_write) {
  --remaining_.crashes;
  RecoveredState disk = members_[position]->disk;
  if (after_write) {
    for (const PersistEffect& write : members_[position]->unsynced) {
      writeTo(disk, write);
    }
  }
  start(position, std::move(disk));
}

void ModelState::deliver(std::size_t packet, bool keep) {
  const std::shared_ptr<const Packet> delivered = packets_[packet];
  if (!keep) {
    packets_.erase(packets_.begin() + static_cast<std::ptrdiff_t>(packet));
  }
  act(delivered->to,
      [&delivered](QuorumLogImpl& log) { return log.receive(delivered->from, delivered->message, kStart); });
}

/// Syncs pending writes if no crash can follow, and drops obsolete messages.
void ModelState::applyForcedSteps() {
  if (remaining_.crashes == 0) {
    for (std::size_t position = 0; position < kModelMembers; ++position) {
      while (!members_[position]->unsynced.empty()) {
        sync(position);
      }
    }
  }
  dropObsoletePackets();
}

void ModelState::dropObsoletePackets() {
  std::erase_if(packets_, [this](const auto& packet) { return isObsolete(*packet); });
}

bool ModelState::isObsolete(const Packet& packet) const {
  const Term synced_term = members_[packet.to]->disk.hard_state.term;
  if (const auto* vote = std::get_if<wire::VoteResponse>(&packet.message)) {
    return vote->term < synced_term;
  }
  if (const auto* answer = std::get_if<wire::AppendResponse>(&packet.message)) {
    return answer->term < synced_term;
  }
  const auto* request = std::get_if<wire::AppendRequest>(&packet.message);
  return request != nullptr && request->entries.empty() && settings_->budget.heartbeats == 0;
}

void ModelState::checkLogsMatch() const {
  for (std::size_t one = 0; one < kModelMembers; ++one) {
    for (std::size_t other = one + 1; other < kModelMembers; ++other) {
      const EntryLog& left = QuorumLogInspector::entries(*members_[one]->log);
      const EntryLog& right = QuorumLogInspector::entries(*members_[other]->log);
      bool same_above = false;
      for (LogIndex index = std::min(left.lastIndex(), right.lastIndex()); index > LogIndex{};
           index = LogIndex{index.value - 1}) {
        const bool same = left.at(index) == right.at(index);
        const bool same_term = left.at(index).term == right.at(index).term;
        if ((same_above || same_term) && !same) {
          throw InvariantViolation("log matching: members " + std::to_string(one + 1) + " and " +
                                   std::to_string(other + 1) + " differ at entry " +
                                   std::to_string(index.value));
        }
        same_above |= same;
      }
    }
  }
}

std::string ModelState::fingerprint() const {
  std::string text;
  for (const auto& member : members_) {
    text += member->fingerprint + "#";
  }
  for (const auto& packet : packets_) {
    text += packet->key + "#";
  }
  for (const auto& [term, position] : leaders_) {
    text += std::to_string(term) + ":" + std::to_string(position) + ",";
  }
  text += std::to_string(oracle_->committed().value) + "/" +
          std::to_string(oracle_->digestAt(oracle_->committed()));
  for (const std::uint8_t left : {remaining_.elections, remaining_.crashes, remaining_.proposals,
                                  remaining_.heartbeats, remaining_.duplicates}) {
    text += "," + std::to_string(left);
  }
  return text;
}

std::string ModelState::describe(const Step& step) const {
  static constexpr std::array kNames{"deliver",           "deliver a copy of", "sync",    "crash",
                                     "crash after write", "start election",    "propose", "heartbeat"};
  static constexpr std::array kMessages{"VoteRequest",    "VoteResponse",  "AppendRequest",
                                        "AppendResponse", "SnapshotChunk", "SnapshotResponse",
                                        "TimeoutNow"};
  std::string text = kNames.at(static_cast<std::size_t>(step.kind));
  if (step.kind == StepKind::Deliver || step.kind == StepKind::DeliverCopy) {
    const Packet& packet = *packets_.at(step.position);
    return text + " " + kMessages.at(packet.message.index()) + " from " + packet.from.value + " to " +
           nodeAt(packet.to).value;
  }
  return text + " at " + nodeAt(step.position).value;
}

namespace {

/// 128-bit hash of a state's fingerprint, which makes collisions negligible.
struct StateKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend bool operator==(const StateKey&, const StateKey&) = default;
};

struct StateKeyHash {
  std::size_t operator()(const StateKey& key) const { return key.low; }
};

StateKey keyOf(const ModelState& state) {
  const std::string text = state.fingerprint();
  return {stableHash(text, 1), stableHash(text, 2)};
}

/// Predecessor and step by which a state was first reached.
struct Origin {
  StateKey from;
  Step step;
};

using Origins = std::unordered_map<StateKey, Origin, StateKeyHash>;

std::vector<std::string> traceTo(const ModelState& first, const Origins& origins, StateKey key) {
  std::vector<Step> steps;
  for (const StateKey start = keyOf(first); !(key == start); key = origins.at(key).from) {
    steps.push_back(origins.at(key).step);
  }
  std::reverse(steps.begin(), steps.end());
  std::vector<std::string> trace;
  ModelState state = first;
  for (const Step& step : steps) {
    trace.push_back(state.describe(step));
    state = state.after(step);
  }
  return trace;
}

}  // namespace

Exploration explore(const ModelSettings& settings, std::uint64_t max_states) {
  Exploration result;
  const ModelState first(std::make_shared<const ModelSettings>(settings));
  Origins origins{{keyOf(first), {}}};
  std::deque<std::pair<ModelState, std::size_t>> frontier{{first, 0}};
  while (!frontier.empty() && origins.size() < max_states) {
    const auto [state, depth] = std::move(frontier.front());
    frontier.pop_front();
    result.depth = depth;
    const StateKey key = keyOf(state);
    for (const Step& step : state.steps()) {
      ++result.steps;
      try {
        ModelState next = state.after(step);
        if (origins.emplace(keyOf(next), Origin{key, step}).second) {
          frontier.emplace_back(std::move(next), depth + 1);
        }
      } catch (const InvariantViolation& violation) {
        result.violation = violation.what();
        result.trace = traceTo(first, origins, key);
        result.trace.push_back(state.describe(step));
        result.states = origins.size();
        return result;
      }
    }
  }
  result.states = origins.size();
  result.complete = frontier.empty();
  return result;
}

}  // namespace ferryrock::consensus
