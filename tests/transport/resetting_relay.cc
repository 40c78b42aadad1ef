#include "transport/resetting_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace ferryrock::transport {
namespace {

constexpr int kPollMilliseconds = 10;

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool readable(int descriptor) {
  pollfd watched{descriptor, POLLIN, 0};
  return ::poll(&watched, 1, kPollMilliseconds) > 0;
}

/// Forwards available bytes. Returns false if the source is closed or the target accepts no more data.
bool forwardAvailable(int from, int to) {
  std::array<char, 4096> bytes{};
  const ssize_t count = ::recv(from, bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (count < 0) {
    return errno == EAGAIN;
  }
  return count > 0 && ::send(to, bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

void closeWithReset(int descriptor) {
  const linger at_once{1, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::close(descriptor);
}

/// Limits the unread bytes that the kernel buffers per accepted connection.
void keepReceiveBufferSmall(int listener) {
  constexpr int kBytes = 8192;
  ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &kBytes, sizeof kBytes);
}

/// Returns the port.
std::uint16_t listenAnywhere(int listener, int queue) {
  sockaddr_in own = loopback(0);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 ||
      ::listen(listener, queue) != 0) {
    throw std::runtime_error("the relay can't listen on loopback");
  }
  socklen_t length = sizeof own;
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&own), &length);
  return ntohs(own.sin_port);
}

}  // namespace

ResettingRelay::ResettingRelay(const std::string& server)
    : server_port_(static_cast<std::uint16_t>(std::stoi(server.substr(server.rfind(':') + 1)))),
      listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
  constexpr int kQueue = 4;
  keepReceiveBufferSmall(listener_);
  port_ = listenAnywhere(listener_, kQueue);
  thread_ = std::thread([this] { serve(); });
}

ResettingRelay::~ResettingRelay() {
  stop_requested_ = true;
  thread_.join();
  for (const int descriptor : stalled_) {
    ::close(descriptor);
  }
  ::close(listener_);
}

std::string ResettingRelay::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void ResettingRelay::serve() {
  while (!stop_requested_) {
    if (!readable(listener_)) {
      continue;
    }
    const int client = ::accept(listener_, nullptr, nullptr);
    const int server = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in target = loopback(server_port_);
    if (::connect(server, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0) {
      forwardUntilStopped(client, server);
    }
    if (stall_requested_.exchange(false)) {
      stalled_.insert(stalled_.end(), {client, server});
      continue;
    }
    closeWithReset(client);
    closeWithReset(server);
  }
}

void ResettingRelay::forwardUntilStopped(int client, int server) {
  while (!stop_requested_ && !stall_requested_ && !reset_requested_.exchange(false)) {
    std::array<pollfd, 2> watched{{{client, POLLIN, 0}, {server, POLLIN, 0}}};
    ::poll(watched.data(), watched.size(), kPollMilliseconds);
    if (!forwardAvailable(client, server) || !forwardAvailable(server, client)) {
      return;
    }
  }
}

FullListener::FullListener() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
  constexpr int kMoreThanTheQueue = 4;
  port_ = listenAnywhere(listener_, 0);
  const sockaddr_in target = loopback(port_);
  for (int i = 0; i < kMoreThanTheQueue; ++i) {
    waiting_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    // The connection attempts fill the accept queue or stay pending behind the full queue; both are intended.
    static_cast<void>(::connect(waiting_.back(), reinterpret_cast<const sockaddr*>(&target), sizeof target));
  }
}

FullListener::~FullListener() {
  for (const int descriptor : waiting_) {
    closeWithReset(descriptor);
  }
  ::close(listener_);
}

}  // namespace ferryrock::transport
