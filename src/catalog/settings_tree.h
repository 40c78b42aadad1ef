#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/identifiers.h"
#include "wire/commands.h"

/// The settings tree: inheritance, validation, edits. Logic only.
namespace ferryrock::catalog {

/// One fault found in a tree; a change with any is refused as a whole.
using TreeFault = wire::ChangeFault;

/// A value after inheritance and the node that set it (empty: the schema's default).
struct ResolvedSetting {
  std::string key;
  std::string value;
  std::string origin;
};

/// Nodes to put in place of those of the same name (or to add), and names to remove.
struct TreeEdits {
  std::vector<wire::TreeNode> upserts;
  std::vector<std::string> removals;
  bool empty() const { return upserts.empty() && removals.empty(); }
  FERRYROCK_FIELDS(TreeEdits, upserts, removals)
};

/// One version of the tree. Not thread-safe while it is edited.
class SettingsTree {
 public:
  SettingsTree() = default;
  explicit SettingsTree(std::vector<wire::TreeNode> nodes);

  const std::map<std::string, wire::TreeNode>& nodes() const { return nodes_; }
  /// nullptr for an unknown name.
  const wire::TreeNode* find(const std::string& name) const;
  /// Names of the nodes whose parent is this one; empty for unknown names.
  const std::set<std::string>& children(const std::string& name) const;

  /// Every fault: unknown parents, cycles, unknown keys, types, ranges, references, unusable combinations.
  /// largest_accelerator_bytes is the largest memory of any accelerator, 0 if unknown.
  std::vector<TreeFault> validate(std::uint64_t largest_accelerator_bytes) const;
  /// Every fault that the edits, already in this tree, can have brought into a valid one. Costs the edited
  /// nodes and their descendants, not the whole tree.
  std::vector<TreeFault> validateEdits(const TreeEdits& edits, std::uint64_t largest_accelerator_bytes) const;

  /// All settings of a node after inheritance, in the schema's order. Throws UnknownNode.
  std::vector<ResolvedSetting> resolveSettings(const std::string& node) const;
  /// Typed settings of an addressable node; nullopt for Defaults nodes and unknown names. The tree must be
  /// valid.
  std::optional<wire::ResolvedModel> resolveModel(const ModelName& name) const;
  /// All addressable names.
  std::vector<ModelName> addressableNames() const;

  /// Puts the edits in and returns those that lead back. Removals of unknown names do nothing.
  TreeEdits applyEdits(const TreeEdits& edits);
  /// This tree with the edits applied; not validated.
  SettingsTree withEdits(const std::vector<wire::TreeNode>& upserts,
                         const std::vector<std::string>& removals) const;
  /// The named nodes that exist and all below them, sorted.
  std::set<std::string> withDescendants(const std::set<std::string>& names) const;
  /// Names whose resolved settings differ between the trees, sorted (removed and added names included).
  static std::vector<ModelName> changedModels(const SettingsTree& before, const SettingsTree& after);

 private:
  void insert(wire::TreeNode node);
  std::optional<wire::TreeNode> remove(const std::string& name);

  std::map<std::string, wire::TreeNode> nodes_;
  std::map<std::string, std::set<std::string>> children_;  ///< by the parent's name, which need not exist
};

/// The node with its settings sorted by key, as a tree keeps it.
wire::TreeNode normalized(wire::TreeNode node);

/// The edits that lead from one tree to another.
TreeEdits editsBetween(const SettingsTree& before, const SettingsTree& after);

}  // namespace ferryrock::catalog
