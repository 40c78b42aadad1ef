#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/replicated_state.h"
#include "wire/messages.h"

namespace ferryrock::simulation {

/// Outcome of a change by the sequential model.
struct ModelOutcome {
  ResultCode code = ResultCode::Ok;
  TreeVersion version;  ///< accepted: the new version; conflict: the version that won
  friend bool operator==(const ModelOutcome&, const ModelOutcome&) = default;
};

/// The committed entries in order, each once, and what they come to: a deliberately simple sequential model
/// of the settings tree beside an own copy of the replicated state for the slots.
class CommittedState {
 public:
  CommittedState();

  LogIndex lastIndex() const { return last_index_; }
  /// Term and payload hash of a committed entry; nullopt if it isn't committed yet.
  struct EntryIdentity {
    Term term;
    std::uint64_t payload_hash = 0;
    friend bool operator==(const EntryIdentity&, const EntryIdentity&) = default;
  };
  std::optional<EntryIdentity> entryAt(LogIndex index) const;
  static EntryIdentity identityOf(const wire::LogEntry& entry);

  /// The entry after lastIndex(). Returns the violation, if it breaks a promise.
  std::optional<std::string> commit(const wire::LogEntry& entry);

  /// Of a change that is committed; nullopt before.
  std::optional<ModelOutcome> changeOutcome(const ChangeId& change) const;
  TreeVersion treeVersion() const { return version_; }
  const placement::Ledger& ledger() const { return state_.ledger(); }
  const catalog::Catalog& catalog() const { return state_.catalog(); }
  /// Slots that were freed by the last entry.
  const std::vector<SlotId>& lastFreed() const { return last_freed_; }

 private:
  std::optional<std::string> commitChange(const wire::ChangeTreeCommand& change,
                                          const wire::CommandResult& result);
  /// What the model expects of a change that it hasn't seen before; takes it into the model's tree.
  ModelOutcome expectedOutcome(const wire::ChangeTreeCommand& change);
  bool sameTree() const;
  std::optional<std::string> checkLedger(const std::vector<SlotId>& changed);
  void noteFreed(const std::vector<SlotId>& changed);

  control::ReplicatedState state_;
  std::vector<EntryIdentity> entries_;
  LogIndex last_index_;
  std::map<ChangeId, ModelOutcome> outcomes_;
  TreeVersion version_;
  std::map<std::string, wire::TreeNode> nodes_;  ///< the model's own tree
  std::vector<SlotId> last_freed_;
  std::map<SlotId, wire::Slot> live_slots_;
};

}  // namespace ferryrock::simulation
