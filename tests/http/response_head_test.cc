#include "http/response_head.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <regex>
#include <string>
#include <vector>

#include "http/response_cases.h"
#include "http/response_reader.h"

/// The check of a response's head against the grammar of RFC 9110 and RFC 9112, written a second time as
/// regular expressions.
namespace ferryrock::http {
namespace {

const std::regex kStatusLine("HTTP/1\\.[0-9] [2-5][0-9][0-9]( [\\t\\x20-\\x7e\\x80-\\xff]*)?");
const std::regex kFieldLine("[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*");
const std::regex kLengthLine("content-length:[\\t ]*[0-9]{1,18}[\\t ]*(,[\\t ]*[0-9]{1,18}[\\t ]*)*",
                             std::regex::icase);
const std::regex kAnyLengthLine("content-length:[^]*", std::regex::icase);
const std::regex kAnyCodingLine("transfer-encoding:[^]*", std::regex::icase);

std::vector<std::string> linesOf(std::string text) {
  std::vector<std::string> lines;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::size_t length = end == std::string::npos ? text.size() : end + 1;
    lines.push_back(text.substr(0, length));
    text.erase(0, length);
  }
  return lines;
}

/// A head without interim heads, equal lengths or transfer codings.
bool grammarAllows(const std::vector<std::string>& lines) {
  bool first = true;
  int lengths = 0;
  for (const std::string& line : lines) {
    const std::string text(withoutLineEnd(line));
    if (text.empty() && !first) {
      return true;
    }
    if (!std::regex_match(text, first ? kStatusLine : kFieldLine)) {
      return false;
    }
    if (!first && std::regex_match(text, kAnyLengthLine)) {
      ++lengths;
      if (!std::regex_match(text, kLengthLine) || lengths > 1) {
        return false;
      }
    }
    first = false;
  }
  return false;
}

bool accepts(const std::vector<std::string>& lines) {
  ResponseHead head;
  for (const std::string& line : lines) {
    if (!head.addLine(line)) {
      return false;
    }
    if (head.complete()) {
      return true;
    }
  }
  return false;
}

TEST_CASE("a head with any byte changed is accepted just if the grammar allows it") {
  const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Odd: \xc3\xa4 b\tc\r\nx_y: \r\n\r\n";
  REQUIRE(accepts(linesOf(sound)));
  for (std::size_t place = 0; place < sound.size(); ++place) {
    for (int byte = 0; byte < 256; ++byte) {
      std::string changed = sound;
      changed[place] = static_cast<char>(byte);
      const std::vector<std::string> lines = linesOf(changed);
      const bool coding = std::any_of(lines.begin(), lines.end(), [](const std::string& line) {
        return std::regex_match(std::string(withoutLineEnd(line)), kAnyCodingLine);
      });
      const bool list = changed.find("1,") != std::string::npos || changed.find(",2") != std::string::npos;
      if (!coding && !list && accepts(lines) != grammarAllows(lines)) {
        FAIL("byte " << byte << " at " << place << " is " << (accepts(lines) ? "accepted" : "rejected"));
      }
    }
  }
}

TEST_CASE("a head of random fields is accepted just if the grammar allows it") {
  const bool holds = rc::check([] {
    const auto sign = rc::gen::weightedOneOf<char>(
        {{20, rc::gen::elementOf(std::string("abXY-_:019~ \t"))}, {1, rc::gen::arbitrary<char>()}});
    const auto line = rc::gen::container<std::string>(sign);
    const auto fields = *rc::gen::container<std::vector<std::string>>(line);
    std::vector<std::string> lines = {"HTTP/1.1 200 OK\r\n"};
    for (const std::string& field : fields) {
      RC_PRE(field.find('\n') == std::string::npos && !field.empty() && field != "\r");
      lines.push_back(field + "\r\n");
    }
    lines.emplace_back("\r\n");
    RC_ASSERT(accepts(lines) == grammarAllows(lines));
  });
  CHECK(holds);
}

TEST_CASE("a complete head tells status, fields without blanks around their values, and length") {
  ResponseHead head;
  for (const std::string& line : linesOf("HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 404 No\r\nX-Odd: "
                                         "\t a b \r\nContent-Length: 7\r\n\r\n")) {
    REQUIRE(head.addLine(line));
  }
  CHECK(head.complete());
  CHECK(head.status() == 404);
  REQUIRE(head.headers().size() == 2);
  CHECK(head.headers()[0].name == "X-Odd");
  CHECK(head.headers()[0].value == "a b");
  CHECK(head.contentLength() == 7U);
}

TEST_CASE("a body of another length than its head announces is a fault, except where there is none") {
  struct Case {
    const char* status_line;
    bool head_request;
    std::size_t received;
    bool sound;
  };
  const Case cases[] = {{"HTTP/1.1 200 OK\r\n", false, 4, true},    {"HTTP/1.1 200 OK\r\n", false, 3, false},
                        {"HTTP/1.1 200 OK\r\n", false, 5, false},   {"HTTP/1.1 200 OK\r\n", true, 0, true},
                        {"HTTP/1.1 304 Same\r\n", false, 0, true},  {"HTTP/1.1 204 None\r\n", false, 0, true},
                        {"HTTP/1.1 500 Error\r\n", false, 0, false}};
  for (const Case& given : cases) {
    INFO(given.status_line << given.head_request << " " << given.received);
    constexpr std::size_t kNoLimit = 0;
    ResponseReader reader(given.head_request, kNoLimit);
    for (const std::string& line : linesOf(given.status_line + std::string("Content-Length: 4\r\n\r\n"))) {
      REQUIRE(reader.addLine(line));
    }
    const bool read = given.received == 0 || reader.addBody(given.received);
    reader.end();
    CHECK((read && reader.fault().empty()) == given.sound);
  }
}

TEST_CASE("a body without a head is a fault") {
  constexpr std::size_t kNoLimit = 0;
  ResponseReader reader(false, kNoLimit);
  CHECK_FALSE(reader.addBody(1));
  CHECK_FALSE(reader.fault().empty());
}

}  // namespace
}  // namespace ferryrock::http
