#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace ferryrock::http {

/// Addresses and ports of both ends of a TCP connection.
struct ConnectionEndpoints {
  std::string local_address;
  int local_port = 0;
  std::string peer_address;
  int peer_port = 0;

  bool operator==(const ConnectionEndpoints&) const = default;
  bool operator<(const ConnectionEndpoints& other) const {
    return std::tie(local_address, local_port, peer_address, peer_port) <
           std::tie(other.local_address, other.local_port, other.peer_address, other.peer_port);
  }
};

/// What a connection can be used for when a request is about to be sent on it.
enum class ConnectionState {
  Usable,       ///< open, and nothing is there to be read
  UnreadBytes,  ///< the peer has sent bytes that no request asked for
  Ended,        ///< closed or reset by the peer
};

/// The sockets of an HTTP client's connections. libcurl names the connection that a request is about to use
/// by its endpoints alone; the table finds its socket. Owns the sockets between open() and close(); used by
/// one thread.
class ConnectionTable {
 public:
  /// Returns a new socket as socket(2) does.
  int open(int family, int type, int protocol);
  int close(int socket);
  /// Connections that the table doesn't know are considered usable.
  ConnectionState stateOf(const ConnectionEndpoints& endpoints);

 private:
  int find(const ConnectionEndpoints& endpoints);

  std::set<int> connecting_;  ///< sockets whose endpoints haven't been asked for yet
  std::map<ConnectionEndpoints, int> connected_;
};

}  // namespace ferryrock::http
