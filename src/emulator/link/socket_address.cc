#include "emulator/link/socket_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

#include "common/error.h"

namespace ferryrock::emulator {

SocketAddress SocketAddress::parse(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  SocketAddress parsed;
  if (colon != std::string::npos) {
    parsed.host = text.substr(0, colon);
    const char* begin = text.data() + colon + 1;
    const char* end = text.data() + text.size();
    const auto [used, fault] = std::from_chars(begin, end, parsed.port);
    in_addr address{};
    if (fault == std::errc{} && used == end && ::inet_pton(AF_INET, parsed.host.c_str(), &address) == 1) {
      return parsed;
    }
  }
  throw Error(ResultCode::InvalidArgument, "'" + text + "' isn't an address such as 127.0.0.1:7000");
}

SocketAddress SocketAddress::of(const sockaddr_in& native) {
  std::array<char, INET_ADDRSTRLEN> host{};
  ::inet_ntop(AF_INET, &native.sin_addr, host.data(), host.size());
  return SocketAddress{host.data(), ntohs(native.sin_port)};
}

sockaddr_in SocketAddress::native() const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

}  // namespace ferryrock::emulator
