#include "http/connection_table.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>

namespace ferryrock::http {
namespace {

using NameFunction = int (*)(int, sockaddr*, socklen_t*);

/// Reads one end of the socket's connection. Returns false if there is none.
bool readEnd(NameFunction name, int socket, std::string& address, int& port) {
  sockaddr_storage storage{};
  socklen_t size = sizeof storage;
  if (name(socket, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    return false;
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  const void* bytes = nullptr;
  if (storage.ss_family == AF_INET) {
    const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&storage);
    bytes = &ipv4->sin_addr;
    port = ntohs(ipv4->sin_port);
  } else if (storage.ss_family == AF_INET6) {
    const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    bytes = &ipv6->sin6_addr;
    port = ntohs(ipv6->sin6_port);
  }
  if (bytes == nullptr || ::inet_ntop(storage.ss_family, bytes, text.data(), text.size()) == nullptr) {
    return false;
  }
  address = text.data();
  return true;
}

std::optional<ConnectionEndpoints> endpointsOf(int socket) {
  ConnectionEndpoints ends;
  const bool known = readEnd(&::getsockname, socket, ends.local_address, ends.local_port) &&
                     readEnd(&::getpeername, socket, ends.peer_address, ends.peer_port);
  return known ? std::optional(ends) : std::nullopt;
}

}  // namespace

int ConnectionTable::open(int family, int type, int protocol) {
  const int socket = ::socket(family, type | SOCK_CLOEXEC, protocol);
  if (socket >= 0) {
    connecting_.insert(socket);
  }
  return socket;
}

int ConnectionTable::close(int socket) {
  if (connecting_.erase(socket) == 0) {
    std::erase_if(connected_, [socket](const auto& item) { return item.second == socket; });
  }
  return ::close(socket);
}

int ConnectionTable::find(const ConnectionEndpoints& endpoints) {
  const auto known = connected_.find(endpoints);
  if (known != connected_.end()) {
    return known->second;
  }
  for (const int socket : connecting_) {
    if (endpointsOf(socket) == endpoints) {
      connecting_.erase(socket);
      connected_[endpoints] = socket;
      return socket;
    }
  }
  return -1;
}

ConnectionState ConnectionTable::stateOf(const ConnectionEndpoints& endpoints) {
  const int socket = find(endpoints);
  if (socket < 0) {
    return ConnectionState::Usable;
  }
  char byte = 0;
  const ssize_t count = ::recv(socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) {
    return ConnectionState::UnreadBytes;
  }
  const bool nothing_to_read = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return nothing_to_read ? ConnectionState::Usable : ConnectionState::Ended;
}

}  // namespace ferryrock::http
