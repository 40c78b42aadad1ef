#include "catalog/tree_json.h"

#include <nlohmann/json.hpp>

#include "catalog/settings_schema.h"

namespace ferryrock::catalog {
namespace {

using nlohmann::json;

[[noreturn]] void invalidField(const std::string& field, const std::string& detail) {
  throw Error(ResultCode::InvalidField, "'" + field + "' " + detail, field);
}

std::string textField(const json& value, const std::string& field, bool required) {
  const auto found = value.find(field);
  if (found == value.end() || found->is_null()) {
    if (required) {
      invalidField(field, "is missing");
    }
    return "";
  }
  if (!found->is_string()) {
    invalidField(field, "must be a text");
  }
  return found->get<std::string>();
}

std::uint64_t numberField(const json& value, const std::string& field) {
  const auto found = value.find(field);
  if (found == value.end() || !found->is_number_unsigned()) {
    invalidField(field, "must be a whole number that isn't negative");
  }
  return found->get<std::uint64_t>();
}

/// An absent list is empty.
json listField(const json& value, const std::string& field) {
  const auto found = value.find(field);
  if (found == value.end()) {
    return json::array();
  }
  if (!found->is_array()) {
    invalidField(field, "must be a list");
  }
  return *found;
}

void requireObject(const json& value, const std::string& what) {
  if (!value.is_object()) {
    invalidField(what, "must be an object");
  }
}

std::string settingValue(const std::string& key, const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_number() || value.is_boolean()) {
    return value.dump();
  }
  if (!value.is_array()) {
    invalidField("settings." + key, "must be a text, a number, true, false or a list of texts");
  }
  std::vector<std::string> words;
  for (const json& word : value) {
    if (!word.is_string()) {
      invalidField("settings." + key, "must hold texts only");
    }
    words.push_back(word.get<std::string>());
  }
  return joinList(words);
}

std::vector<wire::Setting> settingsField(const json& value) {
  std::vector<wire::Setting> settings;
  const auto found = value.find("settings");
  if (found == value.end()) {
    return settings;
  }
  requireObject(*found, "settings");
  for (const auto& [key, setting] : found->items()) {
    settings.push_back({key, settingValue(key, setting)});
  }
  return settings;
}

}  // namespace

json nodeToJson(const wire::TreeNode& node) {
  json settings = json::object();
  for (const wire::Setting& setting : node.settings) {
    settings[setting.key] = setting.value;
  }
  return {{"name", node.name},
          {"kind", std::string(nodeKindName(node.kind))},
          {"parent", node.parent},
          {"settings", std::move(settings)},
          {"source", node.source}};
}

wire::TreeNode nodeFromJson(const json& value) {
  requireObject(value, "node");
  wire::TreeNode node;
  node.name = textField(value, "name", true);
  const std::string kind_name = textField(value, "kind", true);
  const auto kind = parseNodeKind(kind_name);
  if (!kind) {
    invalidField("kind", "must be one of defaults, model, adapter, service, and is '" + kind_name + "'");
  }
  node.kind = *kind;
  node.parent = textField(value, "parent", false);
  node.settings = settingsField(value);
  node.source = textField(value, "source", false);
  return normalized(std::move(node));
}

/// Reads the upsert at this position; the place of a fault names it.
wire::TreeNode upsertFromJson(const json& value, std::size_t position) {
  try {
    return nodeFromJson(value);
  } catch (const Error& fault) {
    throw Error(fault.code(), fault.detail(), "upserts[" + std::to_string(position) + "]." + fault.place());
  }
}

json changeToJson(const wire::ChangeTreeCommand& command) {
  json upserts = json::array();
  for (const wire::TreeNode& node : command.upserts) {
    upserts.push_back(nodeToJson(node));
  }
  return {{"change_id", command.change_id.value},
          {"base_version", command.base_version.value},
          {"author", command.author},
          {"message", command.message},
          {"upserts", std::move(upserts)},
          {"removals", command.removals}};
}

wire::ChangeTreeCommand changeFromJson(const json& value) {
  requireObject(value, "change");
  wire::ChangeTreeCommand command;
  command.change_id = ChangeId(textField(value, "change_id", true));
  command.base_version = TreeVersion(numberField(value, "base_version"));
  command.author = textField(value, "author", false);
  command.message = textField(value, "message", false);
  for (const json& node : listField(value, "upserts")) {
    command.upserts.push_back(upsertFromJson(node, command.upserts.size()));
  }
  for (const json& name : listField(value, "removals")) {
    if (!name.is_string()) {
      invalidField("removals", "must hold names");
    }
    command.removals.push_back(name.get<std::string>());
  }
  return command;
}

json changeResultToJson(const wire::CommandResult& result) {
  if (result.code == ResultCode::Ok) {
    return {{"version", result.tree_version.value}};
  }
  const ResultCodeInfo& info = resultCodeInfo(result.code);
  json answer = {{"code", static_cast<int>(result.code)},
                 {"name", std::string(info.name)},
                 {"message", result.detail},
                 {"remedy", std::string(info.remedy)}};
  if (result.code == ResultCode::VersionConflict) {
    answer["winning_version"] = result.tree_version.value;
  }
  if (!result.faults.empty()) {
    answer["faults"] = json::array();
    for (const TreeFault& fault : result.faults) {
      answer["faults"].push_back(faultToJson(fault));
    }
  }
  return answer;
}

json faultToJson(const TreeFault& fault) {
  return {{"code", static_cast<int>(fault.code)},
          {"path", fault.path},
          {"source", fault.source},
          {"detail", fault.detail}};
}

TreeFault faultFromJson(const json& value) {
  requireObject(value, "fault");
  TreeFault fault;
  const auto code = value.find("code");
  if (code != value.end() && code->is_number_integer()) {
    fault.code = static_cast<ResultCode>(code->get<int>());
  }
  fault.path = textField(value, "path", false);
  fault.source = textField(value, "source", false);
  fault.detail = textField(value, "detail", false);
  return fault;
}

}  // namespace ferryrock::catalog
