#pragma once

#include <string>
#include <string_view>

#include "router/router_node.h"

namespace ferryrock::router {

/// The whole answer of a claimed request, as it is kept with its claim.
struct StoredAnswer {
  std::string text;
  std::string finish_reason;
  StreamEnd end;
};

std::string encodeStoredAnswer(const StoredAnswer& answer);
/// Throws Error MalformedMessage.
StoredAnswer decodeStoredAnswer(std::string_view bytes);

}  // namespace ferryrock::router
