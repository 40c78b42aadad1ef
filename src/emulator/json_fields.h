#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ferryrock::emulator {

/// Checked reads of one JSON object. Throws Error MalformedBody for text that isn't an object, InvalidField
/// for a missing member or one of the wrong type; the place is the member's name.
class JsonFields {
 public:
  explicit JsonFields(std::string_view text);
  /// Of a value that is parsed already.
  static JsonFields of(const nlohmann::json& value);
  ~JsonFields();
  JsonFields(JsonFields&&) noexcept;

  bool has(const char* key) const;
  std::string text(const char* key) const;
  std::string text(const char* key, const std::string& fallback) const;
  std::uint64_t number(const char* key) const;
  std::uint64_t number(const char* key, std::uint64_t fallback) const;
  double real(const char* key, double fallback) const;
  bool boolean(const char* key, bool fallback) const;
  /// Empty when the member is absent.
  std::vector<std::uint32_t> indexes(const char* key) const;
  std::vector<std::string> texts(const char* key) const;
  const nlohmann::json& object() const { return *object_; }

 private:
  explicit JsonFields(std::unique_ptr<nlohmann::json> object);
  const nlohmann::json* find(const char* key) const;
  std::unique_ptr<nlohmann::json> object_;
};

/// Parsed text; throws Error MalformedBody.
nlohmann::json parseJson(std::string_view text);

/// JSON text; bytes that aren't UTF-8 are replaced.
std::string dumpJson(const nlohmann::json& value);

}  // namespace ferryrock::emulator
