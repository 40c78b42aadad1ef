#pragma once

#include <functional>
#include <optional>
#include <ostream>
#include <string>

#include "common/time.h"
#include "http/http.h"

namespace ferryrock::cli {

/// What a command uses of the world; replaced in tests.
struct Environment {
  std::ostream& out;
  std::ostream& err;
  /// One HTTP exchange. Throws Error PeerUnreachable.
  std::function<http::ClientResponse(const http::ClientRequest&)> call;
  std::function<std::optional<std::string>(const std::string& name)> variable;
  std::function<void(Duration)> sleep;
  /// A text that no other call of any process returns.
  std::function<std::string()> unique_text;
};

/// The operating system's environment, standard streams and http::blockingCall.
Environment systemEnvironment();

}  // namespace ferryrock::cli
