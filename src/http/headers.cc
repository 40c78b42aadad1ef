#include <strings.h>

#include <algorithm>

#include "http/http.h"

namespace ferryrock::http {

std::optional<std::string> findHeader(const Headers& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(), [name](const Header& header) {
    return header.name.size() == name.size() &&
           ::strncasecmp(header.name.data(), name.data(), name.size()) == 0;
  });
  return found == headers.end() ? std::nullopt : std::optional<std::string>(found->value);
}

bool endsWithConnection(const Headers& headers) {
  return !findHeader(headers, "Content-Length") && !findHeader(headers, "Transfer-Encoding");
}

}  // namespace ferryrock::http
