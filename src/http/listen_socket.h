#pragma once

#include <cstdint>
#include <string>

namespace ferryrock::http {

/// A listening TCP socket, non-blocking and closed on exec.
struct ListenSocket {
  int descriptor = -1;
  std::uint16_t port = 0;
};

/// Binds an IP address (v4 or v6) and listens. The system chooses the port if it is 0. Throws Error
/// AddressInUse.
ListenSocket openListenSocket(const std::string& address, std::uint16_t port, bool reuse_port);

}  // namespace ferryrock::http
