#include "common/settings_reader.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

namespace ferryrock {
namespace {

struct FaultCase {
  std::string name;
  std::string yaml;
  ResultCode code;
  std::string place;
};

void readExample(const std::string& yaml) {
  SettingsReader reader = SettingsReader::fromText(yaml, "node.yaml");
  reader.integer("port", 0, 65535);
  reader.duration("timeout", Duration::zero(), std::chrono::hours(1), std::chrono::seconds(1));
  SettingsReader limits = reader.section("limits");
  limits.bytes("memory", 0, 1'000'000, 1000);
  limits.finish();
  reader.finish();
}

TEST_CASE("each fault of a settings file is reported with its code and line") {
  const auto fault = GENERATE(values<FaultCase>({
      {"unknown key", "port: 1\nprot: 2\n", ResultCode::UnknownSetting, "node.yaml:2"},
      {"unknown nested key", "port: 1\nlimits:\n  memroy: 2B\n", ResultCode::UnknownSetting, "node.yaml:3"},
      {"wrong type", "port: many\n", ResultCode::WrongSettingType, "node.yaml:1"},
      {"trailing text", "port: 12x\n", ResultCode::WrongSettingType, "node.yaml:1"},
      {"out of range", "port: 70000\n", ResultCode::SettingOutOfRange, "node.yaml:1"},
      {"missing unit", "port: 1\ntimeout: 5\n", ResultCode::MissingUnit, "node.yaml:2"},
      {"nested missing unit", "port: 1\nlimits: {memory: 5}\n", ResultCode::MissingUnit, "node.yaml:2"},
      {"list for a value", "port: [1]\n", ResultCode::WrongSettingType, "node.yaml:1"},
      {"missing", "timeout: 5s\n", ResultCode::MissingSetting, "node.yaml:1"},
      {"broken file", "port: [1\n", ResultCode::InvalidYaml, "node.yaml:2"},
      {"not a mapping", "- 1\n", ResultCode::WrongSettingType, "node.yaml:1"},
  }));
  INFO(fault.name);
  try {
    readExample(fault.yaml);
    FAIL("the fault was accepted");
  } catch (const Error& error) {
    CHECK(error.code() == fault.code);
    CHECK(error.place() == fault.place);
  }
}

TEST_CASE("valid settings are read") {
  SettingsReader reader = SettingsReader::fromText("port: 8080\nzones: [a, b]\nmode: fast\n", "node.yaml");
  CHECK(reader.integer("port", 0, 65535) == 8080);
  CHECK(reader.textList("zones") == std::vector<std::string>{"a", "b"});
  CHECK(reader.choice("mode", {"fast", "safe"}, "safe") == "fast");
  CHECK(reader.duration("timeout", Duration::zero(), std::chrono::hours(1), std::chrono::seconds(3)) ==
        std::chrono::seconds(3));
  CHECK_NOTHROW(reader.finish());
}

}  // namespace
}  // namespace ferryrock
