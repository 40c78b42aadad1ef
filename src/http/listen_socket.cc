#include "http/listen_socket.h"

#include <netdb.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <memory>

#include "common/error.h"

namespace ferryrock::http {
namespace {

constexpr int kBacklog = 1024;

[[noreturn]] void throwUnusable(const std::string& address, std::uint16_t port, const std::string& reason) {
  throw Error(ResultCode::AddressInUse,
              "'" + address + ":" + std::to_string(port) + "' can't be bound: " + reason);
}

std::uint16_t boundPort(int descriptor) {
  sockaddr_storage bound{};
  socklen_t length = sizeof bound;
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length);
  return ntohs(bound.ss_family == AF_INET6 ? reinterpret_cast<const sockaddr_in6&>(bound).sin6_port
                                           : reinterpret_cast<const sockaddr_in&>(bound).sin_port);
}

bool bindAndListen(int descriptor, const addrinfo& address, bool reuse_port) {
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (reuse_port && ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) != 0) {
    return false;
  }
  return ::bind(descriptor, address.ai_addr, address.ai_addrlen) == 0 && ::listen(descriptor, kBacklog) == 0;
}

}  // namespace

ListenSocket openListenSocket(const std::string& address, std::uint16_t port, bool reuse_port) {
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
  addrinfo* found = nullptr;
  const int fault = ::getaddrinfo(address.c_str(), std::to_string(port).c_str(), &hints, &found);
  if (fault != 0) {
    throwUnusable(address, port, ::gai_strerror(fault));
  }
  const std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)> owner(found, &::freeaddrinfo);
  const int descriptor = ::socket(found->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    throwUnusable(address, port, std::strerror(errno));
  }
  if (!bindAndListen(descriptor, *found, reuse_port)) {
    const std::string reason = std::strerror(errno);
    ::close(descriptor);
    throwUnusable(address, port, reason);
  }
  return ListenSocket{descriptor, boundPort(descriptor)};
}

}  // namespace ferryrock::http
