#pragma once

#include <nlohmann/json_fwd.hpp>

#include "catalog/settings_tree.h"

/// The settings tree in the JSON of the operators' interface, for both of its ends.
namespace ferryrock::catalog {

/// {"name", "kind", "parent", "settings": {key: value}, "source"}
nlohmann::json nodeToJson(const wire::TreeNode& node);
/// Values may be texts, numbers, booleans or lists of texts. Throws InvalidField.
wire::TreeNode nodeFromJson(const nlohmann::json& value);

/// {"change_id", "base_version", "author", "message", "upserts": [node], "removals": [name]}
nlohmann::json changeToJson(const wire::ChangeTreeCommand& command);
/// The time isn't part of it. Throws InvalidField.
wire::ChangeTreeCommand changeFromJson(const nlohmann::json& value);

/// {"version"} of an accepted change, else {"code", "name", "message", "remedy"}, with "winning_version"
/// after a conflict and "faults": [{"code", "path", "source", "detail"}] of an invalid tree.
nlohmann::json changeResultToJson(const wire::CommandResult& result);

nlohmann::json faultToJson(const TreeFault& fault);
/// Throws InvalidField.
TreeFault faultFromJson(const nlohmann::json& value);

}  // namespace ferryrock::catalog
