#include "catalog/settings_tree.h"

#include <algorithm>
#include <utility>

#include "catalog/settings_schema.h"
#include "catalog/tree_inheritance.h"

namespace ferryrock::catalog {
namespace {

bool byKey(const wire::Setting& left, const wire::Setting& right) {
  return left.key < right.key;
}

/// The model or adapter that a node is served by.
const wire::TreeNode* servedNode(const Ancestry& ancestry) {
  for (const wire::TreeNode* node : ancestry.nodes) {
    if (node->kind == wire::NodeKind::Model || node->kind == wire::NodeKind::Adapter) {
      return node;
    }
  }
  return nullptr;
}

}  // namespace

SettingsTree::SettingsTree(std::vector<wire::TreeNode> nodes) {
  for (wire::TreeNode& node : nodes) {
    remove(node.name);
    insert(std::move(node));
  }
}

const wire::TreeNode* SettingsTree::find(const std::string& name) const {
  const auto found = nodes_.find(name);
  return found == nodes_.end() ? nullptr : &found->second;
}

const std::set<std::string>& SettingsTree::children(const std::string& name) const {
  static const std::set<std::string> none;
  const auto found = children_.find(name);
  return found == children_.end() ? none : found->second;
}

void SettingsTree::insert(wire::TreeNode node) {
  node = normalized(std::move(node));
  children_[node.parent].insert(node.name);
  std::string name = node.name;
  nodes_.insert_or_assign(std::move(name), std::move(node));
}

std::optional<wire::TreeNode> SettingsTree::remove(const std::string& name) {
  const auto found = nodes_.find(name);
  if (found == nodes_.end()) {
    return std::nullopt;
  }
  wire::TreeNode node = std::move(found->second);
  nodes_.erase(found);
  const auto siblings = children_.find(node.parent);
  siblings->second.erase(name);
  if (siblings->second.empty()) {
    children_.erase(siblings);
  }
  return node;
}

TreeEdits SettingsTree::applyEdits(const TreeEdits& edits) {
  std::map<std::string, std::optional<wire::TreeNode>> previous;
  for (const std::string& name : edits.removals) {
    previous.emplace(name, remove(name));
  }
  for (const wire::TreeNode& node : edits.upserts) {
    previous.emplace(node.name, remove(node.name));
    insert(node);
  }
  TreeEdits back;
  for (auto& [name, node] : previous) {
    if (node) {
      back.upserts.push_back(std::move(*node));
    } else {
      back.removals.push_back(name);
    }
  }
  return back;
}

SettingsTree SettingsTree::withEdits(const std::vector<wire::TreeNode>& upserts,
                                     const std::vector<std::string>& removals) const {
  SettingsTree edited = *this;
  edited.applyEdits({upserts, removals});
  return edited;
}

std::set<std::string> SettingsTree::withDescendants(const std::set<std::string>& names) const {
  std::set<std::string> found;
  std::vector<std::string> open(names.begin(), names.end());
  while (!open.empty()) {
    const std::string name = std::move(open.back());
    open.pop_back();
    if (!nodes_.contains(name) || !found.insert(name).second) {
      continue;
    }
    const std::set<std::string>& below = children(name);
    open.insert(open.end(), below.begin(), below.end());
  }
  return found;
}

std::vector<ResolvedSetting> SettingsTree::resolveSettings(const std::string& node) const {
  const wire::TreeNode* start = find(node);
  if (start == nullptr) {
    throw Error(ResultCode::UnknownNode, "the tree has no node '" + node + "'");
  }
  const std::vector<InheritedValue> values = inheritedValues(ancestryOf(*this, *start));
  std::vector<ResolvedSetting> settings;
  settings.reserve(values.size());
  for (std::size_t position = 0; position < values.size(); ++position) {
    const SettingDefinition& definition = settingsSchema()[position];
    const InheritedValue& inherited = values[position];
    if (inherited.value != nullptr) {
      settings.push_back({std::string(definition.key), *inherited.value, inherited.origin->name});
    } else {
      settings.push_back({std::string(definition.key), std::string(definition.fallback), ""});
    }
  }
  return settings;
}

std::optional<wire::ResolvedModel> SettingsTree::resolveModel(const ModelName& name) const {
  const wire::TreeNode* node = find(name.value);
  if (node == nullptr || node->kind == wire::NodeKind::Defaults) {
    return std::nullopt;
  }
  const Ancestry ancestry = ancestryOf(*this, *node);
  const wire::TreeNode* served = servedNode(ancestry);
  const wire::TreeNode* base = nearestOfKind(ancestry, wire::NodeKind::Model);
  if (served == nullptr || base == nullptr) {
    return std::nullopt;
  }
  wire::ResolvedModel model;
  const std::vector<InheritedValue> values = inheritedValues(ancestry);
  for (std::size_t position = 0; position < values.size(); ++position) {
    const SettingDefinition& definition = settingsSchema()[position];
    if (values[position].value != nullptr) {
      definition.assign(model, *values[position].value);
    } else if (!definition.required) {
      definition.assign(model, std::string(definition.fallback));
    }
  }
  model.name = name;
  model.base = ModelName(base->name);
  model.served = ModelName(served->name);
  model.is_adapter = served->kind == wire::NodeKind::Adapter;
  if (!model.is_adapter) {
    model.adapter_bytes = 0;
  }
  return model;
}

std::vector<ModelName> SettingsTree::addressableNames() const {
  std::vector<ModelName> names;
  for (const auto& [name, node] : nodes_) {
    if (node.kind != wire::NodeKind::Defaults) {
      names.emplace_back(name);
    }
  }
  return names;
}

std::vector<ModelName> SettingsTree::changedModels(const SettingsTree& before, const SettingsTree& after) {
  std::set<std::string> names;
  for (const auto& [name, node] : before.nodes()) {
    names.insert(name);
  }
  for (const auto& [name, node] : after.nodes()) {
    names.insert(name);
  }
  std::vector<ModelName> changed;
  for (const std::string& name : names) {
    if (before.resolveModel(ModelName(name)) != after.resolveModel(ModelName(name))) {
      changed.emplace_back(name);
    }
  }
  return changed;
}

wire::TreeNode normalized(wire::TreeNode node) {
  std::stable_sort(node.settings.begin(), node.settings.end(), byKey);
  return node;
}

TreeEdits editsBetween(const SettingsTree& before, const SettingsTree& after) {
  TreeEdits edits;
  for (const auto& [name, node] : after.nodes()) {
    const wire::TreeNode* old = before.find(name);
    if (old == nullptr || !(*old == node)) {
      edits.upserts.push_back(node);
    }
  }
  for (const auto& [name, node] : before.nodes()) {
    if (after.find(name) == nullptr) {
      edits.removals.push_back(name);
    }
  }
  return edits;
}

}  // namespace ferryrock::catalog
