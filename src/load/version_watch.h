#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "event/dispatcher.h"
#include "http/http.h"
#include "load/change_record.h"
#include "load/http_call.h"

namespace ferryrock::load {

/// The version of the settings in force, as a router's or control member's metrics page tells it.
std::optional<std::uint64_t> treeVersionOfMetrics(std::string_view page);

/// Asks one process again and again which version it has in force. Failures leave no sighting.
class VersionWatch {
 public:
  using SightingCallback = std::function<void(const VersionSighting&)>;

  VersionWatch(event::Dispatcher& dispatcher, http::Client& client, std::string process, Duration interval,
               SightingCallback on_sighting);

  void start() { ask(); }

 private:
  void ask();
  void onAnswer(const CallAnswer& answer);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  std::string process_;
  Duration interval_;
  SightingCallback on_sighting_;
  WallMilliseconds asked_ms_ = 0;
  std::unique_ptr<event::Timer> timer_;
  std::unique_ptr<HttpCall> call_;
};

}  // namespace ferryrock::load
