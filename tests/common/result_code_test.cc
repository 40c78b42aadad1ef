#include "common/result_code.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace ferryrock {
namespace {

std::string tableRow(const ResultCodeInfo& info) {
  std::ostringstream row;
  row << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << info.http_status << " | "
      << info.meaning << " | " << info.remedy << " |";
  return row.str();
}

TEST_CASE("docs/RESULT_CODES.md matches the result code table") {
  std::ifstream page(std::string(FERRYROCK_SOURCE_DIR) + "/docs/RESULT_CODES.md");
  REQUIRE(page);
  std::vector<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| ") && line.size() > 2 && std::isdigit(static_cast<unsigned char>(line[2])) != 0) {
      rows.push_back(line);
    }
  }
  std::vector<std::string> expected;
  for (const ResultCodeInfo& info : resultCodeTable()) {
    expected.push_back(tableRow(info));
  }
  CHECK(rows == expected);
}

TEST_CASE("docs/OPERATIONS.md names result codes by their correct numbers and covers all 2xxx codes") {
  std::ifstream file(std::string(FERRYROCK_SOURCE_DIR) + "/docs/OPERATIONS.md");
  REQUIRE(file);
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  const std::regex named("(\\d{4}) `([A-Za-z]+)`");
  std::set<int> found;
  for (auto match = std::sregex_iterator(page.begin(), page.end(), named); match != std::sregex_iterator();
       ++match) {
    const int number = std::stoi((*match)[1]);
    INFO((*match)[0]);
    const auto info =
        std::find_if(resultCodeTable().begin(), resultCodeTable().end(),
                     [number](const ResultCodeInfo& each) { return static_cast<int>(each.code) == number; });
    REQUIRE(info != resultCodeTable().end());
    CHECK((*match)[2] == std::string(info->name));
    found.insert(number);
  }
  for (const ResultCodeInfo& info : resultCodeTable()) {
    const int number = static_cast<int>(info.code);
    INFO(info.name);
    CHECK((number / 1000 != 2 || found.contains(number)));
  }
}

TEST_CASE("result code numbers are strictly increasing and thus unique") {
  int previous = -1;
  for (const ResultCodeInfo& info : resultCodeTable()) {
    CHECK(static_cast<int>(info.code) > previous);
    previous = static_cast<int>(info.code);
  }
}

}  // namespace
}  // namespace ferryrock
