#include "http/response_head.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <limits>

namespace ferryrock::http {
namespace {

constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kEndOfStatuses = 600;
constexpr std::string_view kBlanks = " \t";

bool isDigit(char byte) {
  return byte >= '0' && byte <= '9';
}

/// RFC 9110, section 5.6.2: a byte of a token.
bool isTokenByte(char byte) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return isDigit(byte) || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
         kMarks.find(byte) != std::string_view::npos;
}

/// RFC 9110, section 5.5: a byte of a field's value, obs-text included.
bool isValueByte(char byte) {
  constexpr unsigned char kDelete = 0x7F;
  const auto code = static_cast<unsigned char>(byte);
  return byte == '\t' || (code >= ' ' && code != kDelete);
}

std::string_view trimmed(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kBlanks);
  return begin == std::string_view::npos ? std::string_view()
                                         : text.substr(begin, text.find_last_not_of(kBlanks) + 1 - begin);
}

bool equalsIgnoreCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() && ::strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string atColumn(const char* fault, std::size_t index) {
  return std::string(fault) + " at column " + std::to_string(index + 1);
}

/// Splits a comma-separated list and passes on each element without blanks.
template <typename Visitor>
void forEachElement(std::string_view list, const Visitor& visit) {
  std::size_t begin = 0;
  while (begin <= list.size()) {
    const std::size_t comma = std::min(list.find(',', begin), list.size());
    visit(trimmed(list.substr(begin, comma - begin)));
    begin = comma + 1;
  }
}

/// A length in decimal digits that fits the types which count bytes.
std::optional<std::uint64_t> readLength(std::string_view text) {
  constexpr auto kMaxLength = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  std::uint64_t length = 0;
  const char* end = text.data() + text.size();
  const auto [read_to, fault] = std::from_chars(text.data(), end, length);
  return fault == std::errc{} && read_to == end && length <= kMaxLength ? std::optional(length)
                                                                        : std::nullopt;
}

}  // namespace

std::string_view withoutLineEnd(std::string_view line) {
  if (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

std::string excerpt(std::string_view text) {
  constexpr std::size_t kMaxBytes = 60;
  std::string quoted = "'";
  for (const char byte : text.substr(0, kMaxBytes)) {
    if (byte >= ' ' && byte <= '~' && byte != '\\') {
      quoted += byte;
    } else {
      std::array<char, 5> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\x%02X",
                    static_cast<unsigned>(static_cast<unsigned char>(byte)));
      quoted += escaped.data();
    }
  }
  return quoted + (text.size() > kMaxBytes ? "'..." : "'");
}

std::string fieldLineFault(std::string_view line) {
  if (line.empty() || kBlanks.find(line.front()) != std::string_view::npos) {
    return "begins with a blank, as a folded header field does";
  }
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  const auto* name_fault = std::find_if_not(name.begin(), name.end(), isTokenByte);
  if (name_fault != name.end()) {
    return atColumn("has a byte that no header name may hold",
                    static_cast<std::size_t>(name_fault - line.begin()));
  }
  if (colon == std::string_view::npos) {
    return "has no colon";
  }
  if (name.empty()) {
    return "has no header name";
  }
  const std::string_view value = line.substr(colon + 1);
  const auto* value_fault = std::find_if_not(value.begin(), value.end(), isValueByte);
  if (value_fault != value.end()) {
    return atColumn("has a control byte in the value", static_cast<std::size_t>(value_fault - line.begin()));
  }
  return "";
}

bool ResponseHead::addLine(std::string_view line) {
  if (!fault_.empty()) {
    return false;
  }
  ++lines_;
  const std::string_view text = withoutLineEnd(line);
  const std::string fault = readLine(text);
  if (!fault.empty()) {
    fault_ = "line " + std::to_string(lines_) + " of the response's head " + fault + ": " + excerpt(text);
  }
  return fault_.empty();
}

std::string ResponseHead::readLine(std::string_view line) {
  if (!has_status_line_) {
    return readStatusLine(line);
  }
  return line.empty() ? endHead() : readField(line);
}

std::string ResponseHead::readStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusBegin = kVersion.size() + 2;
  constexpr std::size_t kStatusEnd = kStatusBegin + 3;
  const bool well_formed = line.size() >= kStatusEnd && line.starts_with(kVersion) &&
                           isDigit(line[kVersion.size()]) && line[kStatusBegin - 1] == ' ' &&
                           std::all_of(line.begin() + kStatusBegin, line.begin() + kStatusEnd, isDigit) &&
                           (line.size() == kStatusEnd || line[kStatusEnd] == ' ');
  if (!well_formed) {
    return "isn't a status line of HTTP/1";
  }
  const auto* control_byte = std::find_if_not(line.begin(), line.end(), isValueByte);
  if (control_byte != line.end()) {
    return atColumn("has a control byte", static_cast<std::size_t>(control_byte - line.begin()));
  }
  std::from_chars(line.data() + kStatusBegin, line.data() + kStatusEnd, status_);
  if (status_ < kFirstStatus || status_ >= kEndOfStatuses) {
    return "has a status outside 100 to 599";
  }
  if (status_ == kSwitchingProtocols) {
    return "switches to another protocol, which the request doesn't ask for";
  }
  has_status_line_ = true;
  allows_chunks_ = line[kVersion.size()] != '0';
  return "";
}

std::string ResponseHead::readField(std::string_view line) {
  std::string fault = fieldLineFault(line);
  if (!fault.empty()) {
    return fault;
  }
  const std::size_t colon = line.find(':');
  const Header& header = headers_.emplace_back(
      Header{std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1)))});
  if (equalsIgnoreCase(header.name, "Content-Length")) {
    return readContentLength(header.value);
  }
  if (equalsIgnoreCase(header.name, "Transfer-Encoding")) {
    return readTransferEncoding(header.value);
  }
  return "";
}

/// RFC 9110, section 8.6: equal lengths may be repeated.
std::string ResponseHead::readContentLength(std::string_view value) {
  std::string fault;
  forEachElement(value, [this, &fault](std::string_view element) {
    const std::optional<std::uint64_t> length = readLength(element);
    if (!length) {
      fault = "has a length that isn't a whole number of bytes";
    } else if (content_length_.value_or(*length) != *length) {
      fault = "has another length than " + std::to_string(*content_length_);
    } else {
      content_length_ = length;
    }
  });
  return fault;
}

/// Requests name no coding that they accept, so that chunks are the only one.
std::string ResponseHead::readTransferEncoding(std::string_view value) {
  std::string fault;
  int codings = 0;
  forEachElement(value, [&fault, &codings](std::string_view element) {
    codings += element.empty() ? 0 : 1;
    if (!element.empty() && !equalsIgnoreCase(element, "chunked")) {
      fault = "has a transfer coding that isn't 'chunked'";
    }
  });
  transfer_codings_ += codings;
  if (fault.empty() && (codings == 0 || transfer_codings_ > 1)) {
    fault = codings == 0 ? "has no transfer coding" : "has a second transfer coding";
  }
  return fault;
}

std::string ResponseHead::endHead() {
  const bool interim = status_ < kFirstFinalStatus;
  if (interim && (content_length_ || transfer_codings_ > 0)) {
    return "ends an interim head that announces a body";
  }
  if (transfer_codings_ > 0 && content_length_) {
    return "ends a head with both a length and a transfer coding";
  }
  if (transfer_codings_ > 0 && !allows_chunks_) {
    return "ends a head of HTTP/1.0 with a transfer coding";
  }
  if (interim) {
    has_status_line_ = false;
    status_ = 0;
    headers_.clear();
  }
  complete_ = !interim;
  return "";
}

}  // namespace ferryrock::http
