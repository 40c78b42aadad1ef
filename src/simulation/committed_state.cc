#include "simulation/committed_state.h"

#include <algorithm>

#include "common/hashing.h"

namespace ferryrock::simulation {

CommittedState::CommittedState() : state_(control::ClaimLimits{}) {}

CommittedState::EntryIdentity CommittedState::identityOf(const wire::LogEntry& entry) {
  return {entry.term, stableHash(entry.payload, static_cast<std::uint64_t>(entry.kind))};
}

std::optional<CommittedState::EntryIdentity> CommittedState::entryAt(LogIndex index) const {
  if (index.value == 0 || index > last_index_) {
    return std::nullopt;
  }
  return entries_[index.value - 1];
}

std::optional<std::string> CommittedState::commit(const wire::LogEntry& entry) {
  entries_.push_back(identityOf(entry));
  last_index_ = entry.index;
  last_freed_.clear();
  if (entry.kind != wire::EntryKind::StateCommand) {
    return std::nullopt;
  }
  const wire::Command command = wire::decodeCommand(entry.payload);
  const control::AppliedChange applied = state_.apply(command);
  if (const auto* change = std::get_if<wire::ChangeTreeCommand>(&command)) {
    return commitChange(*change, applied.result);
  }
  noteFreed(applied.changed_slots);
  return checkLedger(applied.changed_slots);
}

ModelOutcome CommittedState::expectedOutcome(const wire::ChangeTreeCommand& change) {
  if (change.base_version != version_) {
    return {ResultCode::VersionConflict, change.base_version.next()};
  }
  const std::map<std::string, wire::TreeNode> before = nodes_;
  for (const std::string& name : change.removals) {
    nodes_.erase(name);
  }
  for (const wire::TreeNode& node : change.upserts) {
    nodes_[node.name] = node;
  }
  if (nodes_ != before) {
    version_ = version_.next();
  }
  return {ResultCode::Ok, version_};
}

bool CommittedState::sameTree() const {
  const auto& nodes = catalog().tree().nodes();
  return std::equal(nodes.begin(), nodes.end(), nodes_.begin(), nodes_.end(),
                    [](const auto& left, const auto& right) { return left.second == right.second; });
}

std::optional<std::string> CommittedState::commitChange(const wire::ChangeTreeCommand& change,
                                                        const wire::CommandResult& result) {
  const auto known = outcomes_.find(change.change_id);
  const ModelOutcome expected = known != outcomes_.end() ? known->second : expectedOutcome(change);
  outcomes_[change.change_id] = expected;
  if (!sameTree()) {
    return "after change " + change.change_id.value + " the tree differs from the model's";
  }
  const ModelOutcome got{result.code, result.tree_version};
  if (got == expected) {
    return std::nullopt;
  }
  return "change " + change.change_id.value + " came to " + std::to_string(static_cast<int>(got.code)) +
         " at version " + std::to_string(got.version.value) + ", the model says " +
         std::to_string(static_cast<int>(expected.code)) + " at version " +
         std::to_string(expected.version.value) + " (" + result.detail + ")";
}

void CommittedState::noteFreed(const std::vector<SlotId>& changed) {
  for (const SlotId slot : changed) {
    const auto found = ledger().slots().find(slot);
    if (found == ledger().slots().end() || found->second.state == wire::SlotState::Freed) {
      live_slots_.erase(slot);
      last_freed_.push_back(slot);
    } else {
      live_slots_[slot] = found->second;
    }
  }
}

std::optional<std::string> CommittedState::checkLedger(const std::vector<SlotId>& changed) {
  for (const SlotId slot : changed) {
    const auto found = live_slots_.find(slot);
    if (found == live_slots_.end()) {
      continue;
    }
    const auto engine = ledger().engines().find(found->second.engine);
    if (engine == ledger().engines().end()) {
      return "slot " + std::to_string(slot.value) + " is on an engine that isn't registered";
    }
    std::map<std::uint32_t, std::uint64_t> held;
    for (const auto& [other_id, other] : live_slots_) {
      if (other.engine == found->second.engine) {
        for (const std::uint32_t accelerator : other.accelerators) {
          held[accelerator] += other.bytes_per_accelerator + other.adapter_bytes;
        }
      }
    }
    for (const auto& [accelerator, bytes] : held) {
      if (accelerator >= engine->second.accelerators || bytes > engine->second.bytes_per_accelerator) {
        return "the ledger overcommits " + engine->first.value + " accelerator " +
               std::to_string(accelerator);
      }
    }
  }
  return std::nullopt;
}

std::optional<ModelOutcome> CommittedState::changeOutcome(const ChangeId& change) const {
  const auto found = outcomes_.find(change);
  return found == outcomes_.end() ? std::nullopt : std::optional<ModelOutcome>(found->second);
}

}  // namespace ferryrock::simulation
