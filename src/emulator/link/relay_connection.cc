#include "emulator/link/relay_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace ferryrock::emulator {
namespace {

void sendWithoutDelay(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int takeSocketError(int descriptor) {
  int error = 0;
  socklen_t length = sizeof error;
  ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
  return error;
}

}  // namespace

RelaySocket::~RelaySocket() {
  ::close(descriptor_);
}

void RelaySocket::resetOnClose() const {
  const linger at_once{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

RelayConnection::RelayConnection(event::Dispatcher& dispatcher, const LinkCuts& cuts, int caller,
                                 const SocketAddress& target, ProcessName target_name)
    : dispatcher_(dispatcher),
      cuts_(cuts),
      target_(target),
      target_name_(std::move(target_name)),
      caller_socket_(caller) {
  sendWithoutDelay(caller);
  end_timer_ = dispatcher_.createTimer([this] {
    const EndCallback callback = on_end_;
    callback(how_);
  });
  caller_watch_ = dispatcher_.watchFile(caller, 0, [this](unsigned) { onReady(); });
}

void RelayConnection::findCaller(const ConnectionOwners& owners, const SocketAddress& listen) {
  if (caller_known_) {
    return;
  }
  sockaddr_in peer{};
  socklen_t length = sizeof peer;
  if (::getpeername(caller_socket_.descriptor(), reinterpret_cast<sockaddr*>(&peer), &length) == 0) {
    caller_name_ = owners.ownerOf(SocketAddress::of(peer), listen);
    caller_known_ = true;
  }
}

void RelayConnection::update() {
  if (phase_ == Phase::Waiting && !separated()) {
    openTarget();
  } else if (phase_ == Phase::Broken) {
    breakOff();
  } else {
    watch();
  }
}

void RelayConnection::openTarget() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    scheduleEnd(RelayEnd::Closed);
    return;
  }
  target_socket_ = std::make_unique<RelaySocket>(descriptor);
  sendWithoutDelay(descriptor);
  const sockaddr_in address = target_.native();
  phase_ = Phase::Connecting;
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS) {
    scheduleEnd(RelayEnd::TargetRefused);
    return;
  }
  target_watch_ = dispatcher_.watchFile(descriptor, event::kWritable, [this](unsigned) { onReady(); });
}

void RelayConnection::connected() {
  if (takeSocketError(target_socket_->descriptor()) != 0) {
    scheduleEnd(RelayEnd::TargetRefused);
    return;
  }
  phase_ = Phase::Open;
  watch();
}

void RelayConnection::onReady() {
  if (phase_ == Phase::Connecting) {
    connected();
    return;
  }
  if (phase_ != Phase::Open) {
    return;
  }
  const bool sound = move(to_target_, caller_socket_, *target_socket_, toTargetStalled()) &&
                     move(to_caller_, *target_socket_, caller_socket_, toCallerStalled());
  if (!sound) {
    breakOff();
  } else if (to_target_.forwarded && to_caller_.forwarded) {
    scheduleEnd(RelayEnd::Closed);
  } else {
    watch();
  }
}

bool RelayConnection::move(Way& way, const RelaySocket& from, const RelaySocket& to, bool stalled) {
  if (stalled || way.forwarded) {
    return true;
  }
  if (way.buffer.empty() && !way.ended) {
    const RelayProgress read = way.buffer.readFrom(from.descriptor());
    way.ended = read == RelayProgress::Ended;
    if (read == RelayProgress::Broken) {
      return false;
    }
    if (read == RelayProgress::Moved && &way == &to_caller_) {
      noteRepeated();
    }
  }
  if (!way.buffer.empty() && way.buffer.writeTo(to.descriptor()) == RelayProgress::Broken) {
    return false;
  }
  if (way.ended) {
    ::shutdown(to.descriptor(), SHUT_WR);
    way.forwarded = true;
  }
  return true;
}

void RelayConnection::repeat(std::string text, Duration delay) {
  repeated_text_ = std::move(text);
  repeat_delay_ = delay;
  repeat_timer_ = dispatcher_.createTimer([this] { sendRepeated(); });
}

void RelayConnection::noteRepeated() {
  const std::string_view bytes = to_caller_.buffer.unwritten();
  if (!repeated_text_.empty() && bytes.find(repeated_text_) != std::string_view::npos) {
    repeated_ = bytes;
    repeat_timer_->enable(repeat_delay_);
  }
}

void RelayConnection::sendRepeated() {
  if (phase_ == Phase::Open && !to_caller_.forwarded && !toCallerStalled() && to_caller_.buffer.empty()) {
    to_caller_.buffer.fill(std::exchange(repeated_, {}));
    onReady();
  }
}

void RelayConnection::breakOff() {
  phase_ = Phase::Broken;
  watch();
  if (!separated()) {
    caller_socket_.resetOnClose();
    target_socket_->resetOnClose();
    scheduleEnd(RelayEnd::Closed);
  }
}

void RelayConnection::watch() {
  unsigned caller = 0;
  unsigned target = 0;
  if (phase_ == Phase::Open && !to_target_.forwarded && !toTargetStalled()) {
    (to_target_.buffer.empty() ? caller : target) |=
        to_target_.buffer.empty() ? event::kReadable : event::kWritable;
  }
  if (phase_ == Phase::Open && !to_caller_.forwarded && !toCallerStalled()) {
    (to_caller_.buffer.empty() ? target : caller) |=
        to_caller_.buffer.empty() ? event::kReadable : event::kWritable;
  }
  if (phase_ == Phase::Connecting) {
    target = event::kWritable;
  }
  caller_watch_->setEvents(caller);
  if (target_watch_) {
    target_watch_->setEvents(target);
  }
}

void RelayConnection::scheduleEnd(RelayEnd how) {
  if (how == RelayEnd::TargetRefused) {
    caller_socket_.resetOnClose();
  }
  how_ = how;
  phase_ = Phase::Ended;
  watch();
  end_timer_->enable(Duration::zero());
}

}  // namespace ferryrock::emulator
