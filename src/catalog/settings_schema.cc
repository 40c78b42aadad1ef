#include "catalog/settings_schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream>
#include <unordered_map>

#include "common/error.h"
#include "common/quantity.h"

namespace ferryrock::catalog {
namespace {

using wire::ResolvedModel;

constexpr double kMegabyte = 1e6;
constexpr double kTerabyte = 1e12;
constexpr double kMillisecond = 1e6;
constexpr double kSecond = 1e9;
constexpr double kDay = 86400e9;
constexpr std::size_t kMaximumTextLength = 1024;

std::optional<std::int64_t> parseInteger(std::string_view value) {
  std::int64_t number = 0;
  const auto [end, fault] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (fault != std::errc{} || end != value.data() + value.size()) {
    return std::nullopt;
  }
  return number;
}

std::optional<double> parseNumber(std::string_view value) {
  double number = 0;
  const auto [end, fault] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (fault != std::errc{} || end != value.data() + value.size() || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

template <auto Member>
void assignBytes(ResolvedModel& model, const std::string& value) {
  model.*Member = parseBytes(value);
}

template <auto Member>
void assignDuration(ResolvedModel& model, const std::string& value) {
  model.*Member = toMilliseconds(parseDuration(value));
}

template <auto Member>
void assignInteger(ResolvedModel& model, const std::string& value) {
  using Value = std::remove_reference_t<decltype(model.*Member)>;
  model.*Member = static_cast<Value>(parseInteger(value).value_or(0));
}

template <auto Member>
void assignNumber(ResolvedModel& model, const std::string& value) {
  model.*Member = parseNumber(value).value_or(0);
}

void assignRepeatable(ResolvedModel& model, const std::string& value) {
  model.repeatable = value == "true";
}

void assignVersion(ResolvedModel& model, const std::string& value) {
  model.version = ModelVersion(value);
}

void assignZones(ResolvedModel& model, const std::string& value) {
  model.zones = splitList(value);
}

constexpr std::array kSchema = std::to_array<SettingDefinition>({
    {"version", SettingType::Text, SettingScope::Replica, "1", false, 0, 0,
     "Version of the model's checkpoint. A new version is loaded beside the old one before that leaves.",
     assignVersion},
    {"weights", SettingType::Bytes, SettingScope::Replica, "", true, 1, 100 * kTerabyte,
     "Memory of the model's weights on each accelerator of a replica.",
     assignBytes<&ResolvedModel::weight_bytes>},
    {"cache_reserve", SettingType::Bytes, SettingScope::Replica, "0B", false, 0, 100 * kTerabyte,
     "Memory kept for the KV cache on each accelerator of a replica.",
     assignBytes<&ResolvedModel::cache_reserve_bytes>},
    {"accelerators", SettingType::Integer, SettingScope::Replica, "1", false, 1, 64,
     "Accelerators of one replica.", assignInteger<&ResolvedModel::accelerators>},
    {"min_replicas", SettingType::Integer, SettingScope::Replica, "0", false, 0, 10'000,
     "Replicas that stay loaded without demand.", assignInteger<&ResolvedModel::min_replicas>},
    {"max_replicas", SettingType::Integer, SettingScope::Replica, "1", false, 0, 10'000,
     "Replicas that are never exceeded; 0 turns the model off.", assignInteger<&ResolvedModel::max_replicas>},
    {"concurrency", SettingType::Integer, SettingScope::Replica, "8", false, 1, 100'000,
     "Requests that one replica runs at once.", assignInteger<&ResolvedModel::concurrency>},
    {"zones", SettingType::TextList, SettingScope::Replica, "", false, 0, 0,
     "Zones where replicas may be loaded; an empty list allows all.", assignZones},
    {"cold_start_weight", SettingType::Number, SettingScope::Replica, "0.5", false, 0, 1,
     "What keep-alive is priced by: 1 counts only tail cold-start time, 0 only idle accelerator hours.",
     assignNumber<&ResolvedModel::cold_start_weight>},
    {"keep_alive_min", SettingType::Duration, SettingScope::Replica, "0s", false, 0, 30 * kDay,
     "An idle replica stays loaded at least this long.", assignDuration<&ResolvedModel::keep_alive_min_ms>},
    {"keep_alive_max", SettingType::Duration, SettingScope::Replica, "1h", false, 0, 30 * kDay,
     "An idle replica above min_replicas is unloaded at the latest after this time.",
     assignDuration<&ResolvedModel::keep_alive_max_ms>},
    {"adapter_size", SettingType::Bytes, SettingScope::Adapter, "0B", false, 0, kTerabyte,
     "Memory of an adapter on each accelerator of a replica.", assignBytes<&ResolvedModel::adapter_bytes>},
    {"deadline", SettingType::Duration, SettingScope::Request, "30s", false, 10 * kMillisecond, kDay,
     "Time limit of a request whose caller sets none.", assignDuration<&ResolvedModel::deadline_ms>},
    {"priority", SettingType::Integer, SettingScope::Request, "0", false, -1000, 1000,
     "Priority of a request whose caller sets none; higher goes first.",
     assignInteger<&ResolvedModel::priority>},
    {"max_queue", SettingType::Integer, SettingScope::Request, "1000", false, 0, 1'000'000,
     "Requests that may wait at one router.", assignInteger<&ResolvedModel::max_queue>},
    {"max_queue_bytes", SettingType::Bytes, SettingScope::Request, "64MB", false, 0, 16'000 * kMegabyte,
     "Memory of the requests that wait at one router.", assignBytes<&ResolvedModel::max_queue_bytes>},
    {"max_requests_per_second", SettingType::Number, SettingScope::Request, "0", false, 0, 1e6,
     "Rate limit at one router; 0 sets none.", assignNumber<&ResolvedModel::max_requests_per_second>},
    {"retry_budget", SettingType::Number, SettingScope::Request, "0.1", false, 0, 1,
     "Retries per request, averaged over the requests of one router.",
     assignNumber<&ResolvedModel::retry_budget>},
    {"repeatable", SettingType::Boolean, SettingScope::Request, "true", false, 0, 0,
     "false: every request needs an idempotency key and runs at most once.", assignRepeatable},
    {"answer_retention", SettingType::Duration, SettingScope::Request, "10m", false, kSecond, 7 * kDay,
     "How long the answer to a request that may not be repeated is kept for its key.",
     assignDuration<&ResolvedModel::answer_retention_ms>},
});

std::string limitText(SettingType type, double limit) {
  if (type == SettingType::Bytes) {
    return formatBytes(static_cast<std::uint64_t>(limit));
  }
  if (type == SettingType::Duration) {
    return formatDuration(Duration(static_cast<std::int64_t>(limit)));
  }
  std::ostringstream text;
  text.precision(12);
  text << limit;
  return text.str();
}

ValueFault wrongType(const SettingDefinition& definition, const std::string& value) {
  return {ResultCode::WrongSettingType, "'" + value + "' isn't " + std::string(typeName(definition.type))};
}

std::optional<ValueFault> checkRange(const SettingDefinition& definition, const std::string& value,
                                     double number) {
  if (number < definition.low || number > definition.high) {
    return ValueFault{ResultCode::SettingOutOfRange, "'" + value + "' isn't " + rangeText(definition)};
  }
  return std::nullopt;
}

/// Letters that names and versions may hold besides letters and digits.
constexpr std::string_view kNamePunctuation = "._-/:@+";

std::optional<ValueFault> checkWord(const SettingDefinition& definition, const std::string& word) {
  const auto allowed = [](char letter) {
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
           kNamePunctuation.find(letter) != std::string::npos;
  };
  if (word.empty() || !std::all_of(word.begin(), word.end(), allowed)) {
    return wrongType(definition, word);
  }
  return std::nullopt;
}

std::optional<ValueFault> checkList(const SettingDefinition& definition, const std::string& value) {
  for (const std::string& word : splitList(value)) {
    if (auto fault = checkWord(definition, word)) {
      return fault;
    }
  }
  return std::nullopt;
}

std::optional<ValueFault> checkQuantity(const SettingDefinition& definition, const std::string& value) {
  try {
    const double number = definition.type == SettingType::Bytes
                              ? static_cast<double>(parseBytes(value))
                              : static_cast<double>(parseDuration(value).count());
    return checkRange(definition, value, number);
  } catch (const Error& fault) {
    return ValueFault{fault.code(), fault.detail()};
  }
}

template <class Number>
std::optional<ValueFault> checkNumber(const SettingDefinition& definition, const std::string& value,
                                      std::optional<Number> number) {
  if (!number) {
    return wrongType(definition, value);
  }
  return checkRange(definition, value, static_cast<double>(*number));
}

}  // namespace

std::span<const SettingDefinition> settingsSchema() {
  return kSchema;
}

std::optional<std::size_t> findSetting(std::string_view key) {
  static const std::unordered_map<std::string_view, std::size_t> positions = [] {
    std::unordered_map<std::string_view, std::size_t> map;
    for (std::size_t position = 0; position < kSchema.size(); ++position) {
      map.emplace(kSchema[position].key, position);
    }
    return map;
  }();
  const auto found = positions.find(key);
  return found == positions.end() ? std::nullopt : std::optional(found->second);
}

std::optional<ValueFault> checkValue(const SettingDefinition& definition, const std::string& value) {
  if (value.size() > kMaximumTextLength) {
    return ValueFault{ResultCode::SettingOutOfRange,
                      "the value is longer than " + std::to_string(kMaximumTextLength) + " bytes"};
  }
  switch (definition.type) {
    case SettingType::Bytes:
    case SettingType::Duration:
      return checkQuantity(definition, value);
    case SettingType::Integer:
      return checkNumber(definition, value, parseInteger(value));
    case SettingType::Number:
      return checkNumber(definition, value, parseNumber(value));
    case SettingType::Boolean:
      return value == "true" || value == "false" ? std::nullopt : std::optional(wrongType(definition, value));
    case SettingType::Text:
      return checkWord(definition, value);
    case SettingType::TextList:
      return checkList(definition, value);
  }
  return std::nullopt;
}

bool allowsScope(wire::NodeKind kind, SettingScope scope) {
  switch (kind) {
    case wire::NodeKind::Adapter:
      return scope != SettingScope::Replica;
    case wire::NodeKind::Service:
      return scope == SettingScope::Request;
    case wire::NodeKind::Defaults:
    case wire::NodeKind::Model:
      break;
  }
  return true;
}

std::string_view typeName(SettingType type) {
  switch (type) {
    case SettingType::Bytes:
      return "a size";
    case SettingType::Duration:
      return "a duration";
    case SettingType::Integer:
      return "a whole number";
    case SettingType::Number:
      return "a number";
    case SettingType::Boolean:
      return "true or false";
    case SettingType::Text:
      return "a word of letters, digits and ._-/:@+";
    case SettingType::TextList:
      return "a list of words of letters, digits and ._-/:@+";
  }
  return "";
}

std::string_view scopeName(SettingScope scope) {
  switch (scope) {
    case SettingScope::Replica:
      return "defaults, model";
    case SettingScope::Adapter:
      return "defaults, model, adapter";
    case SettingScope::Request:
      return "defaults, model, adapter, service";
  }
  return "";
}

std::string rangeText(const SettingDefinition& definition) {
  const bool limited = definition.type != SettingType::Boolean && definition.type != SettingType::Text &&
                       definition.type != SettingType::TextList;
  if (!limited) {
    return "";
  }
  return "between " + limitText(definition.type, definition.low) + " and " +
         limitText(definition.type, definition.high);
}

std::vector<std::string> splitList(std::string_view value) {
  std::vector<std::string> words;
  std::size_t begin = 0;
  while (begin <= value.size() && !value.empty()) {
    const std::size_t end = std::min(value.find(',', begin), value.size());
    std::string_view word = value.substr(begin, end - begin);
    const std::size_t first = std::min(word.find_first_not_of(' '), word.size());
    word.remove_prefix(first);
    word = word.substr(0, word.find_last_not_of(' ') + 1);
    words.emplace_back(word);
    begin = end + 1;
  }
  return words;
}

std::string joinList(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

std::string_view nodeKindName(wire::NodeKind kind) {
  switch (kind) {
    case wire::NodeKind::Model:
      return "model";
    case wire::NodeKind::Adapter:
      return "adapter";
    case wire::NodeKind::Service:
      return "service";
    case wire::NodeKind::Defaults:
      return "defaults";
  }
  return "unknown";
}

std::optional<wire::NodeKind> parseNodeKind(std::string_view name) {
  for (const auto kind :
       {wire::NodeKind::Model, wire::NodeKind::Adapter, wire::NodeKind::Service, wire::NodeKind::Defaults}) {
    if (nodeKindName(kind) == name) {
      return kind;
    }
  }
  return std::nullopt;
}

}  // namespace ferryrock::catalog
