#include "common/settings_reader.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "common/quantity.h"

namespace ferryrock {

struct SettingsReader::State {
  YAML::Node node;
  std::string file;
  std::string path;  ///< dotted path of this mapping; empty at the root
  std::set<std::string> known;

  std::string pathOf(const std::string& key) const { return path.empty() ? key : path + "." + key; }
  std::string placeOf(const YAML::Node& value) const {
    return file + ":" + std::to_string(value.Mark().line + 1);
  }
};

namespace {

[[noreturn]] void wrongType(const std::string& path, const std::string& expected, const std::string& place) {
  throw Error(ResultCode::WrongSettingType, "'" + path + "' must be " + expected, place);
}

template <class Value>
Value inRange(Value value, Value low, Value high, const std::string& path, const std::string& range,
              const std::string& place) {
  if (value < low || value > high) {
    throw Error(ResultCode::SettingOutOfRange, "'" + path + "' must be between " + range, place);
  }
  return value;
}

std::string rangeText(const std::string& low, const std::string& high) {
  return low + " and " + high;
}

}  // namespace

SettingsReader::SettingsReader(std::unique_ptr<State> state) : state_(std::move(state)) {}
SettingsReader::~SettingsReader() = default;
SettingsReader::SettingsReader(SettingsReader&&) noexcept = default;

SettingsReader SettingsReader::fromFile(const std::string& file) {
  std::ifstream input(file);
  std::ostringstream text;
  if (!input || !(text << input.rdbuf())) {
    throw Error(ResultCode::UnreadableFile, "'" + file + "' can't be read or is empty", file);
  }
  return fromText(text.str(), file);
}

SettingsReader SettingsReader::fromText(const std::string& text, const std::string& name) {
  auto state = std::make_unique<State>();
  state->file = name;
  try {
    state->node = YAML::Load(text);
  } catch (const YAML::Exception& fault) {
    throw Error(ResultCode::InvalidYaml, fault.msg, name + ":" + std::to_string(fault.mark.line + 1));
  }
  if (state->node.IsNull()) {
    state->node = YAML::Node(YAML::NodeType::Map);
  }
  if (!state->node.IsMap()) {
    wrongType("the file", "a mapping of settings", name + ":1");
  }
  return SettingsReader(std::move(state));
}

bool SettingsReader::has(const std::string& key) const {
  return static_cast<bool>(std::as_const(state_->node)[key]);
}

std::string SettingsReader::text(const std::string& key) {
  state_->known.insert(key);
  const YAML::Node value = std::as_const(state_->node)[key];
  if (!value) {
    throw Error(ResultCode::MissingSetting, "'" + state_->pathOf(key) + "' is missing", place());
  }
  if (!value.IsScalar()) {
    wrongType(state_->pathOf(key), "a single value", place(key));
  }
  return value.Scalar();
}

std::string SettingsReader::text(const std::string& key, const std::string& fallback) {
  state_->known.insert(key);
  return has(key) ? text(key) : fallback;
}

std::int64_t SettingsReader::integer(const std::string& key, std::int64_t low, std::int64_t high) {
  const std::string value = text(key);
  std::size_t used = 0;
  std::int64_t number = 0;
  try {
    number = std::stoll(value, &used);
  } catch (const std::exception&) {
    used = 0;
  }
  if (used == 0 || used != value.size()) {
    wrongType(state_->pathOf(key), "a whole number", place(key));
  }
  return inRange(number, low, high, state_->pathOf(key), rangeText(std::to_string(low), std::to_string(high)),
                 place(key));
}

std::int64_t SettingsReader::integer(const std::string& key, std::int64_t low, std::int64_t high,
                                     std::int64_t fallback) {
  state_->known.insert(key);
  return has(key) ? integer(key, low, high) : fallback;
}

double SettingsReader::number(const std::string& key, double low, double high) {
  const std::string value = text(key);
  std::size_t used = 0;
  double number = 0;
  try {
    number = std::stod(value, &used);
  } catch (const std::exception&) {
    used = 0;
  }
  if (used == 0 || used != value.size()) {
    wrongType(state_->pathOf(key), "a number", place(key));
  }
  if (!(number >= low && number <= high)) {
    std::ostringstream range;
    range << low << " and " << high;
    throw Error(ResultCode::SettingOutOfRange, "'" + state_->pathOf(key) + "' must be between " + range.str(),
                place(key));
  }
  return number;
}

double SettingsReader::number(const std::string& key, double low, double high, double fallback) {
  state_->known.insert(key);
  return has(key) ? number(key, low, high) : fallback;
}

bool SettingsReader::boolean(const std::string& key, bool fallback) {
  state_->known.insert(key);
  if (!has(key)) {
    return fallback;
  }
  const std::string value = text(key);
  if (value != "true" && value != "false") {
    wrongType(state_->pathOf(key), "true or false", place(key));
  }
  return value == "true";
}

Duration SettingsReader::duration(const std::string& key, Duration low, Duration high) {
  const std::string value = text(key);
  try {
    return inRange(parseDuration(value), low, high, state_->pathOf(key),
                   rangeText(formatDuration(low), formatDuration(high)), place(key));
  } catch (const Error& fault) {
    if (!fault.place().empty()) {
      throw;
    }
    throw Error(fault.code(), "'" + state_->pathOf(key) + "': " + fault.detail(), place(key));
  }
}

Duration SettingsReader::duration(const std::string& key, Duration low, Duration high, Duration fallback) {
  state_->known.insert(key);
  return has(key) ? duration(key, low, high) : fallback;
}

std::uint64_t SettingsReader::bytes(const std::string& key, std::uint64_t low, std::uint64_t high) {
  const std::string value = text(key);
  try {
    return inRange(parseBytes(value), low, high, state_->pathOf(key),
                   rangeText(formatBytes(low), formatBytes(high)), place(key));
  } catch (const Error& fault) {
    if (!fault.place().empty()) {
      throw;
    }
    throw Error(fault.code(), "'" + state_->pathOf(key) + "': " + fault.detail(), place(key));
  }
}

std::uint64_t SettingsReader::bytes(const std::string& key, std::uint64_t low, std::uint64_t high,
                                    std::uint64_t fallback) {
  state_->known.insert(key);
  return has(key) ? bytes(key, low, high) : fallback;
}

std::string SettingsReader::choice(const std::string& key, const std::vector<std::string>& allowed,
                                   const std::string& fallback) {
  std::string value = text(key, fallback);
  if (std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
    std::string list;
    for (const std::string& word : allowed) {
      list += (list.empty() ? "" : ", ") + word;
    }
    throw Error(ResultCode::SettingOutOfRange, "'" + state_->pathOf(key) + "' must be one of " + list,
                place(key));
  }
  return value;
}

std::vector<std::string> SettingsReader::textList(const std::string& key) {
  state_->known.insert(key);
  std::vector<std::string> list;
  const YAML::Node value = std::as_const(state_->node)[key];
  if (!value) {
    return list;
  }
  if (!value.IsSequence()) {
    wrongType(state_->pathOf(key), "a list", place(key));
  }
  for (const YAML::Node& item : value) {
    if (!item.IsScalar()) {
      wrongType(state_->pathOf(key), "a list of single values", state_->placeOf(item));
    }
    list.push_back(item.Scalar());
  }
  return list;
}

SettingsReader SettingsReader::section(const std::string& key) {
  state_->known.insert(key);
  auto nested = std::make_unique<State>();
  nested->file = state_->file;
  nested->path = state_->pathOf(key);
  const YAML::Node value = std::as_const(state_->node)[key];
  nested->node = value && !value.IsNull() ? value : YAML::Node(YAML::NodeType::Map);
  if (!nested->node.IsMap()) {
    wrongType(nested->path, "a mapping of settings", place(key));
  }
  return SettingsReader(std::move(nested));
}

std::vector<SettingsReader> SettingsReader::sections(const std::string& key) {
  state_->known.insert(key);
  std::vector<SettingsReader> list;
  const YAML::Node value = std::as_const(state_->node)[key];
  if (!value || value.IsNull()) {
    return list;
  }
  if (!value.IsSequence()) {
    wrongType(state_->pathOf(key), "a list of mappings", place(key));
  }
  for (const YAML::Node& item : value) {
    auto nested = std::make_unique<State>();
    nested->file = state_->file;
    nested->path = state_->pathOf(key) + "[" + std::to_string(list.size()) + "]";
    nested->node = item;
    if (!item.IsMap()) {
      wrongType(nested->path, "a mapping of settings", state_->placeOf(item));
    }
    list.push_back(SettingsReader(std::move(nested)));
  }
  return list;
}

std::vector<std::string> SettingsReader::keys() const {
  std::vector<std::string> list;
  for (const auto& item : state_->node) {
    list.push_back(item.first.Scalar());
  }
  return list;
}

std::string SettingsReader::place(const std::string& key) const {
  const YAML::Node value = key.empty() ? state_->node : std::as_const(state_->node)[key];
  return state_->placeOf(value);
}

void SettingsReader::finish() const {
  for (const auto& item : state_->node) {
    const std::string key = item.first.Scalar();
    if (!state_->known.contains(key)) {
      std::string list;
      for (const std::string& known : state_->known) {
        list += (list.empty() ? "" : ", ") + known;
      }
      throw Error(ResultCode::UnknownSetting,
                  "'" + state_->pathOf(key) + "' isn't a known setting; known settings are " + list,
                  state_->placeOf(item.first));
    }
  }
}

}  // namespace ferryrock
