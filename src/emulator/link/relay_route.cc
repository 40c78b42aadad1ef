#include "emulator/link/relay_route.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "common/error.h"
#include "common/logging.h"
#include "http/listen_socket.h"

namespace ferryrock::emulator {
namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(50);
/// A process that is started again at once refuses connections for a short time only.
constexpr Duration kWithdrawnProbeInterval = std::chrono::milliseconds(10);
constexpr long kProbeLimitMicroseconds = 20'000;
/// Pause of accepting when the process is out of descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

const Logger kLog("link");

}  // namespace

RelayRoute::RelayRoute(event::Dispatcher& dispatcher, const LinkCuts& cuts, const ConnectionOwners& owners,
                       LinkRouteSettings settings)
    : dispatcher_(dispatcher), cuts_(cuts), owners_(owners), settings_(std::move(settings)) {
  probe_timer_ = dispatcher_.createTimer([this] { probeTarget(); });
  listen();
}

RelayRoute::~RelayRoute() {
  stopListening();
}

void RelayRoute::listen() {
  const http::ListenSocket socket =
      http::openListenSocket(settings_.listen.host, settings_.listen.port, false);
  listener_ = socket.descriptor;
  settings_.listen.port = socket.port;
  listen_watch_ = dispatcher_.watchFile(listener_, event::kReadable, [this](unsigned) { acceptAll(); });
}

void RelayRoute::stopListening() {
  listen_watch_.reset();
  if (listener_ >= 0) {
    ::close(std::exchange(listener_, -1));
  }
}

void RelayRoute::acceptAll() {
  while (listener_ >= 0) {
    const int caller = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (caller >= 0) {
      add(caller);
      continue;
    }
    if (errno == EMFILE || errno == ENFILE) {
      kLog.error("No descriptor is left for a connection to " + settings_.name.value + ".");
      stopListening();
      probe_timer_->enable(kAcceptPause);
    }
    return;
  }
}

void RelayRoute::add(int caller) {
  const auto place =
      connections_.emplace(connections_.end(), dispatcher_, cuts_, caller, settings_.target, settings_.name);
  place->onEnd([this, place](RelayEnd how) {
    connections_.erase(place);
    if (how == RelayEnd::TargetRefused && listener_ >= 0) {
      stopListening();
      probe_timer_->enable(kProbeInterval);
    }
  });
  if (!settings_.repeated_text.empty()) {
    place->repeat(settings_.repeated_text, settings_.repeat_delay);
  }
  if (cuts_.any()) {
    place->findCaller(owners_, settings_.listen);
  }
  place->update();
}

void RelayRoute::withdraw() {
  acceptAll();
  stopListening();
  withdrawn_ = true;
  probe_timer_->enable(kWithdrawnProbeInterval);
}

void RelayRoute::update() {
  if (listener_ < 0) {
    probeTarget();
  }
  for (RelayConnection& connection : connections_) {
    if (cuts_.any()) {
      connection.findCaller(owners_, settings_.listen);
    }
    connection.update();
  }
}

bool RelayRoute::targetAccepts() const {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return false;
  }
  const timeval limit{0, kProbeLimitMicroseconds};
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in address = settings_.target.native();
  const bool accepts =
      ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  ::close(descriptor);
  return accepts;
}

void RelayRoute::probeTarget() {
  if (withdrawn_) {
    withdrawn_ = targetAccepts();
    probe_timer_->enable(kWithdrawnProbeInterval);
    return;
  }
  const bool cut = cuts_.separates({}, settings_.name);
  if (!cut && !targetAccepts()) {
    probe_timer_->enable(kProbeInterval);
    return;
  }
  try {
    listen();
  } catch (const Error& error) {
    kLog.warning(error.what());
    probe_timer_->enable(kProbeInterval);
  }
}

}  // namespace ferryrock::emulator
