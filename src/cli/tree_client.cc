#include "cli/tree_client.h"

#include <cxxopts.hpp>
#include <map>
#include <nlohmann/json.hpp>

#include "catalog/settings_schema.h"
#include "catalog/tree_json.h"

namespace ferryrock::cli {
namespace {

using SettingValues = std::map<std::string, std::string>;

SettingValues valuesOf(const wire::TreeNode& node) {
  SettingValues values;
  values["kind"] = catalog::nodeKindName(node.kind);
  values["parent"] = node.parent.empty() ? "(root)" : node.parent;
  for (const wire::Setting& setting : node.settings) {
    values["settings." + setting.key] = setting.value;
  }
  return values;
}

void printChangedNode(const wire::TreeNode& before, const wire::TreeNode& after, std::ostream& out) {
  const SettingValues old_values = valuesOf(before);
  const SettingValues new_values = valuesOf(after);
  for (const auto& [key, value] : old_values) {
    const auto found = new_values.find(key);
    if (found == new_values.end()) {
      out << "    - " << key << ": " << value << "\n";
    } else if (found->second != value) {
      out << "    ~ " << key << ": " << value << " -> " << found->second << "\n";
    }
  }
  for (const auto& [key, value] : new_values) {
    if (!old_values.contains(key)) {
      out << "    + " << key << ": " << value << "\n";
    }
  }
}

void printAddedNode(const wire::TreeNode& node, std::ostream& out) {
  for (const auto& [key, value] : valuesOf(node)) {
    out << "    + " << key << ": " << value << "\n";
  }
}

}  // namespace

FetchedTree fetchTree(OperatorClient& client, std::optional<TreeVersion> version) {
  const std::string query = version ? "?version=" + std::to_string(version->value) : "";
  const nlohmann::json answer(client.get("/api/tree" + query));
  std::vector<wire::TreeNode> nodes;
  for (const nlohmann::json& node : answer.at("nodes")) {
    nodes.push_back(catalog::nodeFromJson(node));
  }
  return {TreeVersion(answer.at("version").get<std::uint64_t>()), catalog::SettingsTree(std::move(nodes))};
}

void declareChangeOptions(cxxopts::Options& options) {
  options.add_options()("change-id", "Identifier of the change; resending one gets the first outcome",
                        cxxopts::value<std::string>()->default_value(""), "ID")(
      "author", "Who makes the change (else USER)", cxxopts::value<std::string>()->default_value(""), "NAME")(
      "m,message", "Why, for the history", cxxopts::value<std::string>()->default_value(""), "TEXT");
}

ChangeDescription describeChange(const CommandInput& input) {
  ChangeDescription description;
  description.change_id = ChangeId(input.options["change-id"].as<std::string>());
  if (description.change_id.empty()) {
    description.change_id = ChangeId("change-" + input.environment.unique_text());
  }
  description.author = input.options["author"].as<std::string>();
  if (description.author.empty()) {
    description.author = input.environment.variable("USER").value_or("operator");
  }
  description.message = input.options["message"].as<std::string>();
  return description;
}

TreeVersion submitChange(OperatorClient& client, const ChangeDescription& description, TreeVersion base,
                         const catalog::TreeEdits& edits) {
  wire::ChangeTreeCommand command;
  command.change_id = description.change_id;
  command.base_version = base;
  command.upserts = edits.upserts;
  command.removals = edits.removals;
  command.author = description.author;
  command.message = description.message;
  try {
    const nlohmann::ordered_json answer = client.post("/api/changes", catalog::changeToJson(command));
    return TreeVersion(answer.at("version").get<std::uint64_t>());
  } catch (const Error& fault) {
    const bool outcome_unknown = fault.code() == ResultCode::PeerUnreachable ||
                                 fault.code() == ResultCode::NoQuorum ||
                                 fault.code() == ResultCode::NotLeader;
    if (!outcome_unknown) {
      throw;
    }
    throw Error(fault.code(), fault.detail() +
                                  "; whether the change was accepted isn't known, and the same command "
                                  "with --change-id " +
                                  description.change_id.value + " --base-version " +
                                  std::to_string(base.value) + " tells");
  }
}

void printEdits(const catalog::SettingsTree& before, const catalog::TreeEdits& edits, std::ostream& out) {
  for (const wire::TreeNode& node : edits.upserts) {
    const wire::TreeNode* old = before.find(node.name);
    out << (old == nullptr ? "+ " : "~ ") << node.name << "\n";
    if (old == nullptr) {
      printAddedNode(node, out);
    } else {
      printChangedNode(*old, node, out);
    }
  }
  for (const std::string& name : edits.removals) {
    out << "- " << name << "\n";
  }
}

}  // namespace ferryrock::cli
