#include "service_process/call_dialect.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace ferryrock::service_process {
namespace {

constexpr std::array kHopByHopHeaders = {"Connection",
                                         "Keep-Alive",
                                         "Proxy-Connection",
                                         "Proxy-Authenticate",
                                         "Proxy-Authorization",
                                         "TE",
                                         "Trailer",
                                         "Transfer-Encoding",
                                         "Upgrade",
                                         "Content-Length",
                                         "Expect"};

bool equalsIgnoreCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() && ::strncasecmp(left.data(), right.data(), left.size()) == 0;
}

/// True if the comma-separated value of a Connection header contains the name, without regard to case.
bool listsHeader(std::string_view connection, std::string_view name) {
  while (!connection.empty()) {
    const std::size_t comma = connection.find(',');
    std::string_view token = connection.substr(0, comma);
    const std::size_t begin = token.find_first_not_of(" \t");
    token = begin == std::string_view::npos ? std::string_view() : token.substr(begin);
    token = token.substr(0, token.find_last_not_of(" \t") + 1);
    if (equalsIgnoreCase(token, name)) {
      return true;
    }
    connection = comma == std::string_view::npos ? std::string_view() : connection.substr(comma + 1);
  }
  return false;
}

}  // namespace

http::Headers endToEndHeaders(const http::Headers& headers, std::span<const char* const> kept_names) {
  const std::string connection = http::findHeader(headers, "Connection").value_or("");
  http::Headers kept;
  for (const http::Header& header : headers) {
    const auto named = [&header](const char* name) { return equalsIgnoreCase(header.name, name); };
    const bool hop = std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), named);
    const bool stays = std::any_of(kept_names.begin(), kept_names.end(), named);
    if (!hop && (stays || !listsHeader(connection, header.name))) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace ferryrock::service_process
