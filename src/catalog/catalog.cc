#include "catalog/catalog.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "common/hashing.h"
#include "wire/codec.h"

namespace ferryrock::catalog {
namespace {

using wire::ChangeTreeCommand;
using wire::CommandResult;

/// One accepted version and the edits from it to the version before.
struct KeptVersion {
  HistoryEntry entry;
  TreeEdits back;
  std::size_t nodes() const { return back.upserts.size() + back.removals.size(); }
  FERRYROCK_FIELDS(KeptVersion, entry, back)
};

/// The first outcome of a change identifier.
struct KeptOutcome {
  ChangeId change_id;
  std::uint64_t content_hash = 0;
  CommandResult result;
  FERRYROCK_FIELDS(KeptOutcome, change_id, content_hash, result)
};

}  // namespace

/// What a snapshot holds. Not in the unnamed namespace, where its comparison would be an unused function.
struct CatalogSnapshot {
  TreeVersion version;
  std::vector<wire::TreeNode> nodes;
  std::vector<KeptVersion> history;
  std::vector<KeptOutcome> outcomes;
  std::vector<ModelName> last_changed;
  FERRYROCK_FIELDS(CatalogSnapshot, version, nodes, history, outcomes, last_changed)
};

namespace {

/// Base, nodes and removals; not the time, the author's words or the files' places, which a resend may
/// change.
std::uint64_t contentHash(const ChangeTreeCommand& command) {
  std::vector<wire::TreeNode> nodes = command.upserts;
  for (wire::TreeNode& node : nodes) {
    node.source.clear();
  }
  std::uint64_t hash = stableHash(wire::encode(command.base_version));
  hash = stableHash(wire::encode(nodes), hash);
  return stableHash(wire::encode(command.removals), hash);
}

std::size_t bytesOf(const wire::TreeNode& node) {
  std::size_t bytes = node.name.size() + node.parent.size() + node.source.size();
  for (const wire::Setting& setting : node.settings) {
    bytes += setting.key.size() + setting.value.size();
  }
  return bytes;
}

bool tooLarge(const ChangeTreeCommand& command) {
  std::size_t bytes = 0;
  for (const wire::TreeNode& node : command.upserts) {
    bytes += bytesOf(node);
  }
  return command.upserts.size() + command.removals.size() > kMaximumChangedNodes ||
         bytes > kMaximumChangeBytes;
}

std::string faultSentence(const TreeFault& fault) {
  std::string sentence = fault.path + ": " + fault.detail;
  if (!fault.source.empty()) {
    sentence += " (" + fault.source + ")";
  }
  return sentence;
}

CommandResult refusal(ResultCode code, std::string detail, TreeVersion version) {
  CommandResult result;
  result.code = code;
  result.detail = std::move(detail);
  result.tree_version = version;
  return result;
}

CommandResult refusalOfFaults(std::vector<TreeFault> faults, TreeVersion version) {
  const std::size_t more = faults.size() - 1;
  std::string detail = faultSentence(faults.front());
  if (more > 0) {
    detail += "; and " + std::to_string(more) + " more";
  }
  CommandResult result = refusal(ResultCode::InvalidTree, std::move(detail), version);
  if (faults.size() > kMaximumFaults) {
    faults.resize(kMaximumFaults);
  }
  result.faults = std::move(faults);
  return result;
}

/// Names that the command gives twice, and removals of what isn't there.
std::vector<TreeFault> commandFaults(const ChangeTreeCommand& command, const SettingsTree& tree) {
  std::vector<TreeFault> faults;
  std::set<std::string> named;
  for (const wire::TreeNode& node : command.upserts) {
    if (!named.insert(node.name).second) {
      faults.push_back({ResultCode::InvalidTree, node.name, node.source, "the change names the node twice"});
    }
  }
  for (const std::string& name : command.removals) {
    if (!named.insert(name).second) {
      faults.push_back({ResultCode::InvalidTree, name, "", "the change names the node twice"});
    } else if (tree.find(name) == nullptr) {
      faults.push_back({ResultCode::UnknownNode, name, "", "the node to be removed isn't in the tree"});
    }
  }
  return faults;
}

/// The edits without those that alter nothing.
TreeEdits effectiveEdits(const ChangeTreeCommand& command, const SettingsTree& tree) {
  TreeEdits edits;
  edits.removals = command.removals;
  for (const wire::TreeNode& node : command.upserts) {
    wire::TreeNode sorted = normalized(node);
    const wire::TreeNode* current = tree.find(node.name);
    if (current == nullptr || !(*current == sorted)) {
      edits.upserts.push_back(std::move(sorted));
    }
  }
  return edits;
}

std::set<std::string> editedNames(const TreeEdits& edits) {
  std::set<std::string> names(edits.removals.begin(), edits.removals.end());
  for (const wire::TreeNode& node : edits.upserts) {
    names.insert(node.name);
  }
  return names;
}

using ResolvedModels = std::map<std::string, std::optional<wire::ResolvedModel>>;

ResolvedModels resolveAll(const SettingsTree& tree, const std::set<std::string>& names) {
  ResolvedModels models;
  for (const std::string& name : names) {
    models.emplace(name, tree.resolveModel(ModelName(name)));
  }
  return models;
}

std::vector<ModelName> changedNames(const ResolvedModels& before, const ResolvedModels& after) {
  std::set<std::string> names;
  for (const auto& [name, model] : after) {
    const auto old = before.find(name);
    if ((old == before.end() && model) || (old != before.end() && old->second != model)) {
      names.insert(name);
    }
  }
  for (const auto& [name, model] : before) {
    if (model && !after.contains(name)) {
      names.insert(name);
    }
  }
  return {names.begin(), names.end()};
}

}  // namespace

struct Catalog::State {
  SettingsTree tree;
  TreeVersion version;
  std::deque<KeptVersion> history;
  std::size_t history_nodes = 0;
  std::deque<KeptOutcome> outcomes;
  std::unordered_map<ChangeId, std::uint64_t> outcome_positions;  ///< counted from the first ever kept
  std::uint64_t dropped_outcomes = 0;
  std::vector<ModelName> last_changed;

  const KeptOutcome* findOutcome(const ChangeId& change_id) const {
    const auto found = outcome_positions.find(change_id);
    return found == outcome_positions.end() ? nullptr : &outcomes[found->second - dropped_outcomes];
  }

  void keepOutcome(KeptOutcome outcome) {
    outcome_positions.emplace(outcome.change_id, dropped_outcomes + outcomes.size());
    outcomes.push_back(std::move(outcome));
    if (outcomes.size() > kMaximumOutcomes) {
      outcome_positions.erase(outcomes.front().change_id);
      outcomes.pop_front();
      ++dropped_outcomes;
    }
  }

  void keepVersion(KeptVersion kept) {
    history_nodes += kept.nodes();
    history.push_back(std::move(kept));
    while (history.size() > kMaximumHistory || (history_nodes > kMaximumHistoryNodes && history.size() > 1)) {
      history_nodes -= history.front().nodes();
      history.pop_front();
    }
  }

  CommandResult conflict(const ChangeTreeCommand& command) const;
  CommandResult change(const ChangeTreeCommand& command, std::uint64_t largest_accelerator_bytes);
  CommandResult accept(const ChangeTreeCommand& command, const TreeEdits& edits, TreeEdits back);
};

CommandResult Catalog::State::conflict(const ChangeTreeCommand& command) const {
  if (command.base_version > version) {
    return refusal(ResultCode::VersionConflict,
                   "version " + std::to_string(command.base_version.value) +
                       " doesn't exist yet; the tree is at " + std::to_string(version.value),
                   version);
  }
  const TreeVersion winner = command.base_version.next();
  std::string detail = "version " + std::to_string(winner.value);
  if (!history.empty() && winner >= history.front().entry.version) {
    const HistoryEntry& entry = history[winner.value - history.front().entry.version.value].entry;
    detail += " (change " + entry.change_id.value + " by " + entry.author + ": " + entry.message + ")";
  }
  detail += " was made from version " + std::to_string(command.base_version.value) +
            " first; the tree is at version " + std::to_string(version.value);
  return refusal(ResultCode::VersionConflict, std::move(detail), winner);
}

CommandResult Catalog::State::change(const ChangeTreeCommand& command,
                                     std::uint64_t largest_accelerator_bytes) {
  if (command.base_version != version) {
    return conflict(command);
  }
  if (tooLarge(command)) {
    return refusal(ResultCode::TreeTooLarge,
                   "a change has at most " + std::to_string(kMaximumChangedNodes) + " nodes and " +
                       std::to_string(kMaximumChangeBytes) + " bytes",
                   version);
  }
  if (std::vector<TreeFault> faults = commandFaults(command, tree); !faults.empty()) {
    return refusalOfFaults(std::move(faults), version);
  }
  const TreeEdits edits = effectiveEdits(command, tree);
  if (edits.empty()) {
    last_changed.clear();
    return refusal(ResultCode::Ok, "the change alters nothing", version);
  }
  const std::set<std::string> names = editedNames(edits);
  const ResolvedModels before = resolveAll(tree, tree.withDescendants(names));
  TreeEdits back = tree.applyEdits(edits);
  std::vector<TreeFault> faults = tree.validateEdits(edits, largest_accelerator_bytes);
  if (!faults.empty()) {
    tree.applyEdits(back);
    return refusalOfFaults(std::move(faults), version);
  }
  last_changed = changedNames(before, resolveAll(tree, tree.withDescendants(names)));
  return accept(command, edits, std::move(back));
}

CommandResult Catalog::State::accept(const ChangeTreeCommand& command, const TreeEdits& edits,
                                     TreeEdits back) {
  version = version.next();
  HistoryEntry entry;
  entry.version = version;
  entry.change_id = command.change_id;
  entry.author = command.author;
  entry.message = command.message;
  entry.time = command.time;
  entry.upserts = static_cast<std::uint32_t>(edits.upserts.size());
  entry.removals = static_cast<std::uint32_t>(edits.removals.size());
  keepVersion({std::move(entry), std::move(back)});
  return refusal(ResultCode::Ok, "", version);
}

Catalog::Catalog() : state_(std::make_unique<State>()) {}
Catalog::~Catalog() = default;
Catalog::Catalog(Catalog&&) noexcept = default;
Catalog& Catalog::operator=(Catalog&&) noexcept = default;

CommandResult Catalog::apply(const ChangeTreeCommand& command, std::uint64_t largest_accelerator_bytes) {
  if (command.change_id.empty()) {
    return refusal(ResultCode::InvalidArgument, "the change has no identifier", state_->version);
  }
  const std::uint64_t content_hash = contentHash(command);
  if (const KeptOutcome* first = state_->findOutcome(command.change_id)) {
    if (first->content_hash != content_hash) {
      return refusal(ResultCode::ChangeIdReused,
                     "change " + command.change_id.value + " was sent before with another content",
                     first->result.tree_version);
    }
    return first->result;
  }
  CommandResult result = state_->change(command, largest_accelerator_bytes);
  state_->keepOutcome({command.change_id, content_hash, result});
  return result;
}

const SettingsTree& Catalog::tree() const {
  return state_->tree;
}

TreeVersion Catalog::version() const {
  return state_->version;
}

std::vector<HistoryEntry> Catalog::history() const {
  std::vector<HistoryEntry> entries;
  for (const KeptVersion& kept : state_->history) {
    entries.push_back(kept.entry);
  }
  return entries;
}

SettingsTree Catalog::treeAt(TreeVersion version) const {
  const std::uint64_t steps = state_->version.value - version.value;
  if (version > state_->version || steps > state_->history.size()) {
    throw Error(ResultCode::UnknownVersion, "version " + std::to_string(version.value) +
                                                " isn't kept; the tree is at " +
                                                std::to_string(state_->version.value));
  }
  SettingsTree tree = state_->tree;
  for (std::uint64_t step = 0; step < steps; ++step) {
    tree.applyEdits(state_->history[state_->history.size() - 1 - step].back);
  }
  return tree;
}

const std::vector<ModelName>& Catalog::lastChangedModels() const {
  return state_->last_changed;
}

std::string Catalog::serialize(bool with_change_outcomes) const {
  CatalogSnapshot snapshot;
  snapshot.version = state_->version;
  for (const auto& [name, node] : state_->tree.nodes()) {
    snapshot.nodes.push_back(node);
  }
  snapshot.history.assign(state_->history.begin(), state_->history.end());
  if (with_change_outcomes) {
    snapshot.outcomes.assign(state_->outcomes.begin(), state_->outcomes.end());
  }
  snapshot.last_changed = state_->last_changed;
  return wire::encode(snapshot);
}

void Catalog::restore(std::string_view bytes) {
  CatalogSnapshot snapshot = wire::decode<CatalogSnapshot>(bytes);
  auto restored = std::make_unique<State>();
  restored->version = snapshot.version;
  restored->tree = SettingsTree(std::move(snapshot.nodes));
  for (KeptVersion& kept : snapshot.history) {
    restored->keepVersion(std::move(kept));
  }
  for (KeptOutcome& outcome : snapshot.outcomes) {
    restored->keepOutcome(std::move(outcome));
  }
  restored->last_changed = std::move(snapshot.last_changed);
  state_ = std::move(restored);
}

}  // namespace ferryrock::catalog
