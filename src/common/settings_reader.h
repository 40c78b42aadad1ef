#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/time.h"

namespace YAML {
class Node;
}

namespace ferryrock {

/// Reads one YAML mapping strictly: each getter marks its key as known, and finish() rejects all other keys.
/// Errors contain the code, "file:line", the dotted path of the key and the remedy. Not thread-safe.
class SettingsReader {
 public:
  /// Parses a file. Throws UnreadableFile or InvalidYaml.
  static SettingsReader fromFile(const std::string& file);
  /// Parses text; errors show name as the file name.
  static SettingsReader fromText(const std::string& text, const std::string& name);
  ~SettingsReader();
  SettingsReader(SettingsReader&&) noexcept;

  bool has(const std::string& key) const;
  /// Getters without a fallback throw MissingSetting if the key is absent; the others return the fallback.
  std::string text(const std::string& key);
  std::string text(const std::string& key, const std::string& fallback);
  /// Integer in [low, high]; other values throw SettingOutOfRange.
  std::int64_t integer(const std::string& key, std::int64_t low, std::int64_t high);
  std::int64_t integer(const std::string& key, std::int64_t low, std::int64_t high, std::int64_t fallback);
  double number(const std::string& key, double low, double high);
  double number(const std::string& key, double low, double high, double fallback);
  bool boolean(const std::string& key, bool fallback);
  /// Duration with its unit, e.g. "250ms", in [low, high].
  Duration duration(const std::string& key, Duration low, Duration high);
  Duration duration(const std::string& key, Duration low, Duration high, Duration fallback);
  /// Size with its unit, e.g. "64MB".
  std::uint64_t bytes(const std::string& key, std::uint64_t low, std::uint64_t high);
  std::uint64_t bytes(const std::string& key, std::uint64_t low, std::uint64_t high, std::uint64_t fallback);
  /// One of the allowed words.
  std::string choice(const std::string& key, const std::vector<std::string>& allowed,
                     const std::string& fallback);
  std::vector<std::string> textList(const std::string& key);
  /// Nested mapping; empty when the key is absent.
  SettingsReader section(const std::string& key);
  /// List of mappings; empty when the key is absent.
  std::vector<SettingsReader> sections(const std::string& key);
  /// Keys of this mapping in file order.
  std::vector<std::string> keys() const;
  /// Returns "file:line" of a key, or of the mapping if the key is empty.
  std::string place(const std::string& key = {}) const;
  /// Throws UnknownSetting for the first key that no getter has read.
  void finish() const;

 private:
  struct State;
  explicit SettingsReader(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

}  // namespace ferryrock
