#pragma once

#include <cstddef>
#include <vector>

#include "catalog/settings_tree.h"

/// Walks from a node to the root: which node sets a value, which kind of node a Defaults node stands in for.
namespace ferryrock::catalog {

/// Longest way from a node to the root.
inline constexpr std::size_t kMaximumDepth = 16;

enum class AncestryState { Complete, UnknownParent, Cycle, TooDeep };

/// The node itself, then its parent, and so on as far as the way leads.
struct Ancestry {
  std::vector<const wire::TreeNode*> nodes;
  AncestryState state = AncestryState::Complete;
  /// Whether the node that the walk began at is part of the cycle.
  bool starts_in_cycle = false;
};

Ancestry ancestryOf(const SettingsTree& tree, const wire::TreeNode& node);

/// Nearest ancestor that isn't of kind Defaults, the node itself not included; nullptr if there is none.
const wire::TreeNode* nearestTypedAncestor(const Ancestry& ancestry);

/// Nearest node of the kind, the node itself included; nullptr if there is none.
const wire::TreeNode* nearestOfKind(const Ancestry& ancestry, wire::NodeKind kind);

/// One value per row of the schema, in its order.
struct InheritedValue {
  const std::string* value = nullptr;      ///< nullptr: no node sets it
  const wire::TreeNode* origin = nullptr;  ///< the node that sets it
};
std::vector<InheritedValue> inheritedValues(const Ancestry& ancestry);

}  // namespace ferryrock::catalog
