#pragma once

namespace ferryrock::http {

/// Sets the timeouts after which the kernel closes a connection to an unresponsive peer with a socket error:
/// a connection may stop passing data without a reset, while new connections work. Returns false if an option
/// can't be set.
bool setUnresponsivePeerTimeouts(int socket);

}  // namespace ferryrock::http
