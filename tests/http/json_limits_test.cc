#include "http/json_limits.h"

#include <catch2/catch.hpp>
#include <string>

#include "common/error.h"

namespace ferryrock::http {
namespace {

std::string listOf(const std::string& value, std::size_t count) {
  std::string text = "[";
  for (std::size_t i = 0; i < count; ++i) {
    text += (i == 0 ? "" : ",") + value;
  }
  return text + "]";
}

ResultCode resultOf(const std::string& text) {
  try {
    checkJsonSize(text);
    return ResultCode::Ok;
  } catch (const Error& fault) {
    return fault.code();
  }
}

TEST_CASE("A large JSON body is rejected before it is parsed if it has too many values or levels") {
  const std::string padding(100'000, ' ');
  const auto nested = [&padding](std::size_t depth) {
    return padding + std::string(depth, '[') + std::string(depth, ']');
  };
  CHECK(resultOf(listOf("0", kMaxJsonValues - 1)) == ResultCode::Ok);
  CHECK(resultOf(listOf("0", kMaxJsonValues)) == ResultCode::MalformedBody);
  CHECK(resultOf(listOf("[]", kMaxJsonValues)) == ResultCode::MalformedBody);
  CHECK(resultOf(listOf("{\"a\":1}", kMaxJsonValues / 2)) == ResultCode::MalformedBody);
  CHECK(resultOf(listOf("\"" + std::string(1000, 'x') + "\"", 1000)) == ResultCode::Ok);
  CHECK(resultOf(nested(kMaxJsonDepth)) == ResultCode::Ok);
  CHECK(resultOf(nested(kMaxJsonDepth + 1)) == ResultCode::MalformedBody);
  CHECK(resultOf(std::string(4'000'000, '[')) == ResultCode::MalformedBody);
  CHECK(resultOf(padding + "not JSON") == ResultCode::Ok);
}

}  // namespace
}  // namespace ferryrock::http
