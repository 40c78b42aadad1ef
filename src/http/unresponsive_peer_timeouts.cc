#include "http/unresponsive_peer_timeouts.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace ferryrock::http {
namespace {

/// Timeout of data that the peer neither acknowledges nor accepts: three retransmissions on a path with a
/// latency of some milliseconds. Deadlines of idempotent calls are between 1 s and 30 s.
constexpr int kUnacknowledgedTimeoutMs = 1500;
/// Keepalive probes cover connections that only receive, such as streams; the timeout above closes them at
/// the second probe, 2 s after the last received packet. The kernel accepts whole seconds only.
constexpr int kIdleSeconds = 1;
constexpr int kKeepaliveProbeSeconds = 1;
constexpr int kKeepaliveProbes = 2;

struct SocketOption {
  int level;
  int name;
  int value;
};
constexpr std::array<SocketOption, 5> kOptions{{{SOL_SOCKET, SO_KEEPALIVE, 1},
                                                {IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds},
                                                {IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveProbeSeconds},
                                                {IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes},
                                                {IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedTimeoutMs}}};

}  // namespace

bool setUnresponsivePeerTimeouts(int socket) {
  for (const SocketOption& option : kOptions) {
    if (::setsockopt(socket, option.level, option.name, &option.value, sizeof option.value) != 0) {
      return false;
    }
  }
  return true;
}

}  // namespace ferryrock::http
