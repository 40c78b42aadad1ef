#include "common/quantity.h"

#include <catch2/catch.hpp>
#include <string>

#include "common/error.h"

namespace ferryrock {
namespace {

ResultCode codeOfDuration(const std::string& text) {
  try {
    parseDuration(text);
  } catch (const Error& error) {
    return error.code();
  }
  return ResultCode::Ok;
}

TEST_CASE("durations are parsed with their unit") {
  CHECK(parseDuration("250ms") == std::chrono::milliseconds(250));
  CHECK(parseDuration("1.5s") == std::chrono::milliseconds(1500));
  CHECK(parseDuration("7d") == std::chrono::hours(168));
}

TEST_CASE("malformed quantities are rejected with the matching result code") {
  CHECK(codeOfDuration("250") == ResultCode::MissingUnit);
  CHECK(codeOfDuration("") == ResultCode::WrongSettingType);
  CHECK(codeOfDuration("-1s") == ResultCode::WrongSettingType);
  CHECK(codeOfDuration("5parsecs") == ResultCode::WrongSettingType);
  CHECK(codeOfDuration("1e30d") == ResultCode::SettingOutOfRange);
  CHECK(codeOfDuration("nans") == ResultCode::WrongSettingType);
}

TEST_CASE("a formatted quantity parses to the same value") {
  const auto text = GENERATE(as<std::string>{}, "250ms", "90s", "2h", "1ns", "0ns", "36h");
  CHECK(parseDuration(formatDuration(parseDuration(text))) == parseDuration(text));
}

TEST_CASE("bytes distinguish decimal and binary units") {
  CHECK(parseBytes("17KB") == 17'000);
  CHECK(parseBytes("16KiB") == 16'384);
  CHECK(formatBytes(parseBytes("80GiB")) == "80GiB");
}

}  // namespace
}  // namespace ferryrock
