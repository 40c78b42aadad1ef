#include <algorithm>
#include <string>

#include "catalog/settings_schema.h"
#include "catalog/settings_tree.h"
#include "catalog/tree_inheritance.h"
#include "common/quantity.h"

namespace ferryrock::catalog {
namespace {

using wire::NodeKind;
using wire::TreeNode;

constexpr std::size_t kMaximumNameLength = 200;
constexpr std::string_view kNamePunctuation = "._-/:@+";
constexpr std::size_t kNamedChildren = 5;

/// Checks one node after another and collects what is wrong with each.
class Validator {
 public:
  Validator(const SettingsTree& tree, std::uint64_t largest_accelerator_bytes)
      : tree_(tree), largest_accelerator_bytes_(largest_accelerator_bytes) {}

  void checkNode(const TreeNode& node) {
    const std::size_t faults_before = faults_.size();
    checkName(node);
    const Ancestry ancestry = ancestryOf(tree_, node);
    if (!checkAncestry(node, ancestry)) {
      return;
    }
    const TreeNode* typed_ancestor = nearestTypedAncestor(ancestry);
    checkParentKind(node, typed_ancestor);
    checkSettings(node, typed_ancestor);
    if (faults_.size() == faults_before && node.kind != NodeKind::Defaults) {
      checkCombination(node, ancestry);
    }
  }

  void checkRemoval(const std::string& name) {
    const std::set<std::string>& children = tree_.children(name);
    if (tree_.find(name) != nullptr || children.empty()) {
      return;
    }
    std::string list;
    std::size_t named = 0;
    for (const std::string& child : children) {
      if (named == kNamedChildren) {
        list += " and " + std::to_string(children.size() - named) + " more";
        break;
      }
      list += (list.empty() ? "" : ", ") + child;
      ++named;
    }
    add(ResultCode::InvalidTree, name, "",
        "can't be removed while these nodes have it as their parent: " + list +
            "; move or remove them as well");
  }

  std::vector<TreeFault> takeFaults() { return std::move(faults_); }

 private:
  void add(ResultCode code, std::string path, std::string source, std::string detail) {
    faults_.push_back({code, std::move(path), std::move(source), std::move(detail)});
  }

  void addStructural(const TreeNode& node, const std::string& key, std::string detail) {
    add(ResultCode::InvalidTree, key.empty() ? node.name : node.name + "." + key, node.source,
        std::move(detail));
  }

  void checkName(const TreeNode& node) {
    const auto allowed = [](char letter) {
      return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
             kNamePunctuation.find(letter) != std::string::npos;
    };
    if (node.name.empty() || node.name.size() > kMaximumNameLength) {
      addStructural(node, "name", "a name has 1 to " + std::to_string(kMaximumNameLength) + " letters");
    } else if (!std::all_of(node.name.begin(), node.name.end(), allowed)) {
      addStructural(node, "name", "a name is made of letters, digits and " + std::string(kNamePunctuation));
    }
  }

  bool checkAncestry(const TreeNode& node, const Ancestry& ancestry) {
    switch (ancestry.state) {
      case AncestryState::Complete:
        return true;
      case AncestryState::UnknownParent:
        if (ancestry.nodes.size() == 1) {
          addStructural(node, "parent", "the tree has no node '" + node.parent + "'");
        }
        return false;
      case AncestryState::Cycle:
        if (ancestry.starts_in_cycle) {
          addStructural(node, "parent", "a cycle of parents: " + cycleText(ancestry));
        }
        return false;
      case AncestryState::TooDeep:
        addStructural(node, "parent",
                      "the node lies more than " + std::to_string(kMaximumDepth) + " levels deep");
        return false;
    }
    return false;
  }

  static std::string cycleText(const Ancestry& ancestry) {
    std::string text;
    for (const TreeNode* node : ancestry.nodes) {
      text += node->name + " > ";
    }
    return text + ancestry.nodes.front()->name;
  }

  void checkParentKind(const TreeNode& node, const TreeNode* typed_ancestor) {
    const NodeKind above = typed_ancestor == nullptr ? NodeKind::Defaults : typed_ancestor->kind;
    switch (node.kind) {
      case NodeKind::Defaults:
        return;
      case NodeKind::Model:
        if (above != NodeKind::Defaults && above != NodeKind::Model) {
          addStructural(node, "parent",
                        "a model can't lie below a node of kind " + std::string(nodeKindName(above)));
        }
        return;
      case NodeKind::Adapter:
        if (above != NodeKind::Model && above != NodeKind::Adapter) {
          addStructural(node, "parent", "an adapter needs a model above it, and no service in between");
        }
        return;
      case NodeKind::Service:
        if (above == NodeKind::Defaults) {
          addStructural(node, "parent", "a service needs the model or adapter that serves it above it");
        }
        return;
    }
    addStructural(node, "kind", "the kind is unknown");
  }

  void checkSettings(const TreeNode& node, const TreeNode* typed_ancestor) {
    const std::string* previous_key = nullptr;
    for (const wire::Setting& setting : node.settings) {
      if (previous_key != nullptr && *previous_key == setting.key) {
        addStructural(node, setting.key, "the key is set twice");
      }
      previous_key = &setting.key;
      checkSetting(node, setting, typed_ancestor);
    }
  }

  void checkSetting(const TreeNode& node, const wire::Setting& setting, const TreeNode* typed_ancestor) {
    const std::string path = node.name + "." + setting.key;
    const auto position = findSetting(setting.key);
    if (!position) {
      add(ResultCode::UnknownSetting, path, node.source,
          "the settings tree has no key '" + setting.key + "'");
      return;
    }
    const SettingDefinition& definition = settingsSchema()[*position];
    if (!allowsScope(effectiveKind(node, typed_ancestor), definition.scope)) {
      addStructural(node, setting.key, scopeDetail(node, definition));
      return;
    }
    if (const auto fault = checkValue(definition, setting.value)) {
      add(fault->code, path, node.source, fault->detail);
    }
  }

  /// Below a model, Defaults hold settings for adapters and services only.
  static NodeKind effectiveKind(const TreeNode& node, const TreeNode* typed_ancestor) {
    if (node.kind != NodeKind::Defaults || typed_ancestor == nullptr) {
      return node.kind;
    }
    return typed_ancestor->kind == NodeKind::Model ? NodeKind::Adapter : NodeKind::Service;
  }

  static std::string scopeDetail(const TreeNode& node, const SettingDefinition& definition) {
    std::string detail = "the key is for nodes of kind " + std::string(scopeName(definition.scope)) +
                         ", and this is of kind " + std::string(nodeKindName(node.kind));
    return node.kind == NodeKind::Defaults ? detail + " below a model" : detail;
  }

  void checkCombination(const TreeNode& node, const Ancestry& ancestry) {
    const std::vector<InheritedValue> values = inheritedValues(ancestry);
    for (std::size_t position = 0; position < values.size(); ++position) {
      const SettingDefinition& definition = settingsSchema()[position];
      if (definition.required && values[position].value == nullptr) {
        add(ResultCode::MissingSetting, node.name + "." + std::string(definition.key), node.source,
            "neither this node nor a node above it sets the key");
        return;
      }
      if (values[position].value != nullptr && checkValue(definition, *values[position].value)) {
        return;  // told at the node that sets it
      }
    }
    const auto model = tree_.resolveModel(ModelName(node.name));
    if (model) {
      checkReplicas(node, *model);
      checkMemory(node, *model);
      checkTimes(node, *model);
    }
  }

  void checkReplicas(const TreeNode& node, const wire::ResolvedModel& model) {
    if (node.kind == NodeKind::Model && model.min_replicas > model.max_replicas) {
      addStructural(node, "min_replicas",
                    std::to_string(model.min_replicas) + " is more than max_replicas, which is " +
                        std::to_string(model.max_replicas));
    }
  }

  void checkMemory(const TreeNode& node, const wire::ResolvedModel& model) {
    const std::uint64_t needed = model.weight_bytes + model.cache_reserve_bytes + model.adapter_bytes;
    if (largest_accelerator_bytes_ == 0 || needed <= largest_accelerator_bytes_ ||
        node.kind == NodeKind::Service) {
      return;
    }
    const std::string key = node.kind == NodeKind::Adapter ? "adapter_size" : "weights";
    addStructural(node, key,
                  "weights, cache_reserve and adapter_size need " + formatBytes(needed) +
                      " on each accelerator, and the largest has " + formatBytes(largest_accelerator_bytes_));
  }

  void checkTimes(const TreeNode& node, const wire::ResolvedModel& model) {
    if (node.kind == NodeKind::Model && model.keep_alive_min_ms > model.keep_alive_max_ms) {
      addStructural(node, "keep_alive_min", "it is longer than keep_alive_max");
    }
    if (!model.repeatable && model.answer_retention_ms < model.deadline_ms) {
      addStructural(node, "answer_retention",
                    "it is shorter than the deadline of a request that may not be repeated");
    }
  }

  const SettingsTree& tree_;
  const std::uint64_t largest_accelerator_bytes_;
  std::vector<TreeFault> faults_;
};

}  // namespace

std::vector<TreeFault> SettingsTree::validate(std::uint64_t largest_accelerator_bytes) const {
  Validator validator(*this, largest_accelerator_bytes);
  for (const auto& [name, node] : nodes_) {
    validator.checkNode(node);
  }
  return validator.takeFaults();
}

std::vector<TreeFault> SettingsTree::validateEdits(const TreeEdits& edits,
                                                   std::uint64_t largest_accelerator_bytes) const {
  Validator validator(*this, largest_accelerator_bytes);
  std::set<std::string> edited;
  for (const wire::TreeNode& node : edits.upserts) {
    edited.insert(node.name);
  }
  for (const std::string& name : withDescendants(edited)) {
    validator.checkNode(nodes_.at(name));
  }
  for (const std::string& name : edits.removals) {
    validator.checkRemoval(name);
  }
  return validator.takeFaults();
}

}  // namespace ferryrock::catalog
