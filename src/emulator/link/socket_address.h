#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace ferryrock::emulator {

/// An IPv4 address and a port.
struct SocketAddress {
  std::string host;
  std::uint16_t port = 0;

  /// Parses "127.0.0.1:7000". Throws Error InvalidArgument.
  static SocketAddress parse(const std::string& text);
  static SocketAddress of(const sockaddr_in& native);
  sockaddr_in native() const;
  std::string text() const { return host + ":" + std::to_string(port); }
};

}  // namespace ferryrock::emulator
