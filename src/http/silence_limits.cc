#include "http/silence_limits.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace ferryrock::http {
namespace {

/// Bytes that nobody acknowledges or takes are given up after this time: three retransmissions on a way of
/// some milliseconds. Callers of repeatable calls have 1 s to 30 s.
constexpr int kUnacknowledgedMs = 1500;
/// A connection that only receives, as a stream's, is probed; the limit above ends it at the second probe, 2
/// s after its last sign of life. The kernel takes whole seconds.
constexpr int kIdleSeconds = 1;
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;

struct SocketOption {
  int level;
  int name;
  int value;
};
constexpr std::array<SocketOption, 5> kOptions{{{SOL_SOCKET, SO_KEEPALIVE, 1},
                                                {IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds},
                                                {IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds},
                                                {IPPROTO_TCP, TCP_KEEPCNT, kProbes},
                                                {IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs}}};

}  // namespace

bool setSilenceLimits(int socket) {
  for (const SocketOption& option : kOptions) {
    if (::setsockopt(socket, option.level, option.name, &option.value, sizeof option.value) != 0) {
      return false;
    }
  }
  return true;
}

}  // namespace ferryrock::http
