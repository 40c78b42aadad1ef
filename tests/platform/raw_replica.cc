#include "platform/raw_replica.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "http/listen_socket.h"

namespace ferryrock::platform {
namespace {

std::string valueOf(const std::string& request, const std::string& name) {
  const std::size_t found = request.find("\r\n" + name + ": ");
  if (found == std::string::npos) {
    return {};
  }
  const std::size_t begin = found + name.size() + 4;
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

}  // namespace

std::string responseText(int status, const std::string& id, const std::string& headers,
                         const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Scripted\r\nX-Attempt-Id: " + id + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

RawReplica::RawReplica(Script script) : script_(std::move(script)) {
  const http::ListenSocket socket = http::openListenSocket("127.0.0.1", 0, false);
  listener_ = socket.descriptor;
  port_ = socket.port;
  acceptor_ = std::thread([this] { accept(); });
}

RawReplica::~RawReplica() {
  stopped_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  {
    const std::scoped_lock lock(mutex_);
    for (const int descriptor : open_) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  ::close(listener_);
}

int RawReplica::sendings(const std::string& id) const {
  const std::scoped_lock lock(mutex_);
  const auto found = sendings_.find(id);
  return found == sendings_.end() ? 0 : found->second;
}

void RawReplica::accept() {
  constexpr int kPauseMicroseconds = 200;
  while (!stopped_) {
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0) {
      const std::scoped_lock lock(mutex_);
      open_.push_back(descriptor);
      threads_.emplace_back([this, descriptor] { serve(descriptor); });
    } else if (errno == EAGAIN) {
      ::usleep(kPauseMicroseconds);
    } else {
      return;
    }
  }
}

void RawReplica::serve(int descriptor) {
  http::RawConnection connection(descriptor);
  std::string unsent;
  bool goes_on = true;
  while (goes_on && !stopped_) {
    const std::string request = connection.readRequest();
    if (request.empty()) {
      break;
    }
    const std::string id = valueOf(request, "X-Attempt-Id");
    int sending = 0;
    {
      const std::scoped_lock lock(mutex_);
      sending = ++sendings_[id];
    }
    connection.write(std::exchange(unsent, {}));
    Arrival arrival{connection, id, sending, unsent};
    goes_on = script_(arrival);
  }
  const std::scoped_lock lock(mutex_);
  open_.remove(descriptor);
  connection.close();
}

}  // namespace ferryrock::platform
