#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "event/dispatcher.h"
#include "http/http.h"

namespace ferryrock::http {

/// Response and outcome of a client's call.
struct CallRecord {
  int status = 0;
  Headers headers;
  std::string body;
  bool complete = false;
  std::optional<SendProgress> failure;
  std::string reason;

  bool ended() const { return complete || failure.has_value(); }
};

/// Dispatcher with helpers that run it until a condition holds or a timeout expires.
class Loop {
 public:
  Loop();
  event::Dispatcher& dispatcher() { return *dispatcher_; }
  /// Runs until the condition holds; returns false after the time limit.
  bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(20));
  /// Runs for the given duration, to verify that something does not happen.
  void runFor(Duration duration);

 private:
  std::unique_ptr<event::Dispatcher> dispatcher_;
};

/// Returns callbacks that fill the record.
ClientCallbacks recordInto(CallRecord& record);

/// Returns a request with default settings.
ClientRequest makeRequest(std::string method, std::string url, std::string body = {});

std::string urlOf(std::uint16_t port, const std::string& path);

}  // namespace ferryrock::http
