#include "http/raw_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include "http/listen_socket.h"

namespace ferryrock::http {
namespace {

constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
constexpr timeval kIoTimeout{20, 0};

std::size_t announcedBody(const std::string& headers) {
  constexpr std::string_view kName = "Content-Length: ";
  const std::size_t found = headers.find(kName);
  return found == std::string::npos ? 0 : std::strtoull(headers.c_str() + found + kName.size(), nullptr, 10);
}

}  // namespace

RawConnection::RawConnection(int descriptor) : descriptor_(descriptor) {
  ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &kIoTimeout, sizeof kIoTimeout);
  ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &kIoTimeout, sizeof kIoTimeout);
}

RawConnection::~RawConnection() {
  close();
}

RawConnection::RawConnection(RawConnection&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), unread_(std::move(other.unread_)) {}

RawConnection RawConnection::connect(std::uint16_t port, int receive_buffer_bytes) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer_bytes > 0) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(descriptor);
    throw std::runtime_error("connect failed");
  }
  return RawConnection(descriptor);
}

void RawConnection::write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
}

std::size_t RawConnection::writeUntilClosed(std::string_view piece, std::size_t limit) {
  std::size_t written = 0;
  while (written < limit && !ended_) {
    write(piece);
    written += piece.size();
    unread_ += readAvailable();
  }
  return written;
}

bool RawConnection::readMore(std::string& into, int flags) {
  std::array<char, kReadBytes> buffer{};
  const ssize_t count = ::recv(descriptor_, buffer.data(), buffer.size(), flags);
  if (count > 0) {
    into.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
  }
  const bool would_wait = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  ended_ = ended_ || !would_wait;
  reset_ = reset_ || (count < 0 && errno == ECONNRESET);
  return false;
}

std::string RawConnection::readUntil(std::string_view text) {
  std::string all = std::exchange(unread_, {});
  while (all.find(text) == std::string::npos && readMore(all, 0)) {
  }
  return all;
}

std::string RawConnection::readRequest() {
  constexpr std::string_view kEnd = "\r\n\r\n";
  std::string all = readUntil(kEnd);
  const std::size_t headers_end = all.find(kEnd);
  if (headers_end == std::string::npos) {
    return {};
  }
  const std::size_t size = headers_end + kEnd.size() + announcedBody(all.substr(0, headers_end));
  while (all.size() < size && readMore(all, 0)) {
  }
  if (all.size() < size) {
    return {};
  }
  unread_ = all.substr(size);
  return all.substr(0, size);
}

std::string RawConnection::readAvailable() {
  std::string all = std::exchange(unread_, {});
  while (readMore(all, MSG_DONTWAIT)) {
  }
  return all;
}

void RawConnection::closeSending() {
  ::shutdown(descriptor_, SHUT_WR);
}

void RawConnection::close() {
  if (descriptor_ >= 0) {
    ::close(std::exchange(descriptor_, -1));
  }
}

void RawConnection::reset() {
  const linger at_once{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

ScriptedServer::ScriptedServer(Script script) : script_(std::move(script)) {
  const ListenSocket socket = openListenSocket("127.0.0.1", 0, false);
  listener_ = socket.descriptor;
  port_ = socket.port;
  thread_ = std::thread([this] { serve(); });
}

ScriptedServer::~ScriptedServer() {
  stopped_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  thread_.join();
  ::close(listener_);
}

void ScriptedServer::serve() {
  while (!stopped_) {
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      if (errno == EAGAIN) {
        ::usleep(200);
        continue;
      }
      return;
    }
    RawConnection connection(descriptor);
    script_(connection, ++connections_);
  }
}

}  // namespace ferryrock::http
