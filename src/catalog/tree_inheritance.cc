#include "catalog/tree_inheritance.h"

#include <algorithm>

#include "catalog/settings_schema.h"

namespace ferryrock::catalog {

Ancestry ancestryOf(const SettingsTree& tree, const wire::TreeNode& node) {
  Ancestry ancestry;
  const wire::TreeNode* current = &node;
  while (true) {
    const auto seen = std::find(ancestry.nodes.begin(), ancestry.nodes.end(), current);
    if (seen != ancestry.nodes.end()) {
      ancestry.state = AncestryState::Cycle;
      ancestry.starts_in_cycle = seen == ancestry.nodes.begin();
      return ancestry;
    }
    if (ancestry.nodes.size() == kMaximumDepth) {
      ancestry.state = AncestryState::TooDeep;
      return ancestry;
    }
    ancestry.nodes.push_back(current);
    if (current->parent.empty()) {
      return ancestry;
    }
    current = tree.find(current->parent);
    if (current == nullptr) {
      ancestry.state = AncestryState::UnknownParent;
      return ancestry;
    }
  }
}

const wire::TreeNode* nearestTypedAncestor(const Ancestry& ancestry) {
  for (std::size_t position = 1; position < ancestry.nodes.size(); ++position) {
    if (ancestry.nodes[position]->kind != wire::NodeKind::Defaults) {
      return ancestry.nodes[position];
    }
  }
  return nullptr;
}

const wire::TreeNode* nearestOfKind(const Ancestry& ancestry, wire::NodeKind kind) {
  for (const wire::TreeNode* node : ancestry.nodes) {
    if (node->kind == kind) {
      return node;
    }
  }
  return nullptr;
}

std::vector<InheritedValue> inheritedValues(const Ancestry& ancestry) {
  std::vector<InheritedValue> values(settingsSchema().size());
  for (const wire::TreeNode* node : ancestry.nodes) {
    for (const wire::Setting& setting : node->settings) {
      const auto position = findSetting(setting.key);
      if (position && values[*position].value == nullptr) {
        values[*position] = {&setting.value, node};
      }
    }
  }
  return values;
}

}  // namespace ferryrock::catalog
