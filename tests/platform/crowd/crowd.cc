#include "platform/crowd/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <utility>

#include "platform/crowd/child_process.h"

namespace ferryrock::crowd {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto kPause = 5ms;
constexpr auto kDripInterval = 100ms;
/// A crowd whose bytes haven't moved for this long has sent all that it can.
constexpr auto kQuietTime = 1500ms;

std::string numbered(const std::string& text, int number) {
  std::string result;
  for (const char sign : text) {
    result += sign == '#' ? std::to_string(number) : std::string(1, sign);
  }
  return result;
}

}  // namespace

Crowd::Crowd(Address address, int clients, Behaviour behaviour)
    : address_(std::move(address)),
      behaviour_(std::move(behaviour)),
      clients_(static_cast<std::size_t>(clients)) {
  int number = 0;
  for (Client& client : clients_) {
    client.head = numbered(behaviour_.head, ++number);
    connect(client);
  }
  thread_ = std::thread([this] { run(); });
}

Crowd::~Crowd() {
  stopped_ = true;
  thread_.join();
  for (const Client& client : clients_) {
    if (client.descriptor >= 0) {
      ::close(client.descriptor);
    }
  }
}

void Crowd::waitUntilSent() const {
  while (!sent_) {
    std::this_thread::sleep_for(kPause);
  }
}

void Crowd::connect(Client& client) const {
  client.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(address_.port);
  ::inet_pton(AF_INET, address_.host.c_str(), &peer.sin_addr);
  // The connection comes up later; a failure shows when it is read.
  static_cast<void>(::connect(client.descriptor, reinterpret_cast<const sockaddr*>(&peer), sizeof peer));
  client.position = 0;
}

void Crowd::run() {
  auto last_progress = Clock::now();
  auto last_drip = last_progress;
  while (!stopped_) {
    bool progress = false;
    for (Client& client : clients_) {
      progress = advance(client) || progress;
    }
    const auto now = Clock::now();
    if (progress) {
      last_progress = now;
    }
    sent_ = sent_ || now - last_progress > kQuietTime;
    if (now - last_drip >= kDripInterval) {
      last_drip = now;
      most_unread_ = std::max(most_unread_.load(), unreadBytes({address_.port}));
      for (const Client& client : clients_) {
        drip(client);
      }
    }
    if (!progress) {
      std::this_thread::sleep_for(kPause);
    }
  }
}

std::size_t Crowd::totalBytes(const Client& client) const {
  return client.head.size() + behaviour_.piece.size() * behaviour_.pieces + behaviour_.end.size();
}

bool Crowd::advance(Client& client) {
  if (client.descriptor < 0) {
    return false;
  }
  if (behaviour_.reads_answers && !readAll(client)) {
    ::close(std::exchange(client.descriptor, -1));
    if (client.returns >= behaviour_.returns) {
      return false;
    }
    ++client.returns;
    connect(client);
    return true;
  }
  return client.position < totalBytes(client) && sendNext(client);
}

bool Crowd::sendNext(Client& client) {
  const std::size_t head = client.head.size();
  const std::size_t pieces = behaviour_.piece.size() * behaviour_.pieces;
  std::string_view next;
  if (client.position < head) {
    next = std::string_view(client.head).substr(client.position);
  } else if (client.position < head + pieces) {
    next = std::string_view(behaviour_.piece).substr((client.position - head) % behaviour_.piece.size());
  } else {
    next = std::string_view(behaviour_.end).substr(client.position - head - pieces);
  }
  const ssize_t count = ::send(client.descriptor, next.data(), next.size(), MSG_NOSIGNAL);
  if (count <= 0) {
    return false;
  }
  client.position += static_cast<std::size_t>(count);
  return true;
}

void Crowd::drip(const Client& client) const {
  if (client.descriptor >= 0 && client.position == totalBytes(client) && !behaviour_.drip.empty()) {
    ::send(client.descriptor, behaviour_.drip.data(), behaviour_.drip.size(), MSG_NOSIGNAL);
  }
}

bool Crowd::readAll(const Client& client) const {
  std::array<char, 4096> buffer{};
  ssize_t count = 0;
  do {
    count = ::recv(client.descriptor, buffer.data(), buffer.size(), 0);
  } while (count > 0);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN);
}

}  // namespace ferryrock::crowd
