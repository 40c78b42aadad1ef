#include "emulator/json_fields.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "common/error.h"

namespace ferryrock::emulator {
namespace {

using nlohmann::json;

/// Deeper nesting than any message of the protocol has.
constexpr int kMaxDepth = 32;

[[noreturn]] void wrongField(const char* key, const std::string& expected) {
  throw Error(ResultCode::InvalidField, "'" + std::string(key) + "' must be " + expected, key);
}

}  // namespace

json parseJson(std::string_view text) {
  bool too_deep = false;
  const auto limit_depth = [&](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  json value = json::parse(text, limit_depth, false);
  if (value.is_discarded() || too_deep) {
    throw Error(ResultCode::MalformedBody,
                too_deep ? "the JSON is nested too deeply" : "the text isn't JSON");
  }
  return value;
}

std::string dumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

JsonFields::JsonFields(std::unique_ptr<json> object) : object_(std::move(object)) {
  if (!object_->is_object()) {
    throw Error(ResultCode::MalformedBody, "the body and its nested members must be JSON objects");
  }
}

JsonFields::JsonFields(std::string_view text) : JsonFields(std::make_unique<json>(parseJson(text))) {}

JsonFields JsonFields::of(const json& value) {
  return JsonFields(std::make_unique<json>(value));
}

JsonFields::~JsonFields() = default;
JsonFields::JsonFields(JsonFields&&) noexcept = default;

const json* JsonFields::find(const char* key) const {
  const auto found = object_->find(key);
  return found == object_->end() || found->is_null() ? nullptr : &*found;
}

bool JsonFields::has(const char* key) const {
  return find(key) != nullptr;
}

std::string JsonFields::text(const char* key) const {
  const json* value = find(key);
  if (value == nullptr || !value->is_string()) {
    wrongField(key, "a text");
  }
  return value->get<std::string>();
}

std::string JsonFields::text(const char* key, const std::string& fallback) const {
  return has(key) ? text(key) : fallback;
}

std::uint64_t JsonFields::number(const char* key) const {
  const json* value = find(key);
  if (value == nullptr || !value->is_number_integer() || (!value->is_number_unsigned() && *value < 0)) {
    wrongField(key, "a whole number from 0 on");
  }
  return value->get<std::uint64_t>();
}

std::uint64_t JsonFields::number(const char* key, std::uint64_t fallback) const {
  return has(key) ? number(key) : fallback;
}

double JsonFields::real(const char* key, double fallback) const {
  const json* value = find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number()) {
    wrongField(key, "a number");
  }
  return value->get<double>();
}

bool JsonFields::boolean(const char* key, bool fallback) const {
  const json* value = find(key);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    wrongField(key, "true or false");
  }
  return value->get<bool>();
}

std::vector<std::uint32_t> JsonFields::indexes(const char* key) const {
  std::vector<std::uint32_t> list;
  const json* value = find(key);
  if (value == nullptr) {
    return list;
  }
  if (!value->is_array()) {
    wrongField(key, "a list of whole numbers");
  }
  for (const json& item : *value) {
    if (!item.is_number_unsigned() || item.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
      wrongField(key, "a list of whole numbers");
    }
    list.push_back(item.get<std::uint32_t>());
  }
  return list;
}

std::vector<std::string> JsonFields::texts(const char* key) const {
  std::vector<std::string> list;
  const json* value = find(key);
  if (value == nullptr) {
    return list;
  }
  if (!value->is_array()) {
    wrongField(key, "a list of texts");
  }
  for (const json& item : *value) {
    if (!item.is_string()) {
      wrongField(key, "a list of texts");
    }
    list.push_back(item.get<std::string>());
  }
  return list;
}

}  // namespace ferryrock::emulator
