#include "process/platform_poller.h"

#include <utility>

#include "common/error.h"
#include "common/logging.h"
#include "process/platform_list.h"

namespace ferryrock::process {
namespace {

constexpr Duration kPollInterval = std::chrono::seconds(1);
constexpr Duration kPollTimeout = std::chrono::seconds(5);

const Logger& logger() {
  static const Logger instance("platform");
  return instance;
}

}  // namespace

PlatformPoller::PlatformPoller(event::Dispatcher& dispatcher, http::Client& client, std::string url,
                               ListCallback on_list)
    : client_(client),
      url_(std::move(url)),
      on_list_(std::move(on_list)),
      timer_(dispatcher.createTimer([this] { poll(); })) {
  timer_->enable(Duration::zero());
}

void PlatformPoller::poll() {
  body_.clear();
  http::ClientRequest request;
  request.url = url_ + "/machines";
  request.total_timeout = kPollTimeout;
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [](int, const http::Headers&) {};
  callbacks.on_data = [this](std::string_view bytes) { body_.append(bytes); };
  callbacks.on_complete = [this] { complete(); };
  callbacks.on_failure = [this](http::SendProgress, const std::string& reason) {
    if (std::exchange(reachable_, false)) {
      logger().warning("The platform's machine list can't be read from " + url_ + ": " + reason + ".");
    }
    scheduleNextPoll();
  };
  request_ = client_.send(std::move(request), std::move(callbacks));
}

void PlatformPoller::complete() {
  try {
    const control::MachineList list = parseMachineList(body_);
    if (!std::exchange(reachable_, true)) {
      logger().info("The platform's machine list can be read again.");
    }
    on_list_(list);
  } catch (const Error& fault) {
    logger().warning("The platform's machine list is invalid: " + fault.detail() + ".");
  }
  scheduleNextPoll();
}

void PlatformPoller::scheduleNextPoll() {
  timer_->enable(kPollInterval);
}

}  // namespace ferryrock::process
