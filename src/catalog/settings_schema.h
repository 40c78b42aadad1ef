#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/result_code.h"
#include "wire/model_types.h"

/// The settings that a tree may hold: one table that checks values, fills wire::ResolvedModel and is shown in
/// docs/SETTINGS_TREE.md.
namespace ferryrock::catalog {

enum class SettingType { Bytes, Duration, Integer, Number, Boolean, Text, TextList };

/// Which nodes may set a key. A Defaults node follows its nearest ancestor of another kind; above all models
/// it may set any key.
enum class SettingScope {
  Replica,  ///< what a replica of the base model is made of: models
  Adapter,  ///< what an adapter adds to a replica: models, adapters
  Request,  ///< how requests are handled: models, adapters, services
};

/// One row of the table. Limits are bytes, nanoseconds or plain numbers, after the type; unused for other
/// types.
struct SettingDefinition {
  std::string_view key;
  SettingType type;
  SettingScope scope;
  std::string_view fallback;  ///< value where no node sets it
  bool required = false;      ///< every model needs a value from a node
  double low = 0;
  double high = 0;
  std::string_view meaning;
  /// Stores a checked value.
  void (*assign)(wire::ResolvedModel&, const std::string& value);
};

/// What is wrong with a value.
struct ValueFault {
  ResultCode code;
  std::string detail;
};

/// The whole table, in the order of the page.
std::span<const SettingDefinition> settingsSchema();
/// Position in settingsSchema(); nullopt for an unknown key.
std::optional<std::size_t> findSetting(std::string_view key);
/// Checks type, unit and range.
std::optional<ValueFault> checkValue(const SettingDefinition& definition, const std::string& value);
/// Whether a node of this kind may set keys of the scope; for Defaults, as above all models.
bool allowsScope(wire::NodeKind kind, SettingScope scope);

/// "duration", "bytes", ... as the page and messages write it.
std::string_view typeName(SettingType type);
std::string_view scopeName(SettingScope scope);
/// "between 1ms and 1d"; empty for types without limits.
std::string rangeText(const SettingDefinition& definition);

/// Words of a TextList value, which is written with commas: "hall-1, hall-2".
std::vector<std::string> splitList(std::string_view value);
std::string joinList(const std::vector<std::string>& words);

/// "defaults", "model", "adapter", "service".
std::string_view nodeKindName(wire::NodeKind kind);
std::optional<wire::NodeKind> parseNodeKind(std::string_view name);

}  // namespace ferryrock::catalog
