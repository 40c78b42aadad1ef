#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control/engine_orders.h"
#include "event/dispatcher.h"
#include "http/http.h"

namespace ferryrock::process {

/// Polls the platform's machine list and passes each valid list to the callback.
class PlatformPoller {
 public:
  using ListCallback = std::function<void(const control::MachineList&)>;

  PlatformPoller(event::Dispatcher& dispatcher, http::Client& client, std::string url, ListCallback on_list);

 private:
  void poll();
  void complete();
  void scheduleNextPoll();

  http::Client& client_;
  std::string url_;
  ListCallback on_list_;
  std::unique_ptr<event::Timer> timer_;
  std::unique_ptr<http::ClientCall> request_;
  std::string body_;
  bool reachable_ = true;
};

}  // namespace ferryrock::process
