#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/metrics.h"
#include "emulator/engine_api.h"

namespace ferryrock::emulator {

/// One or many stand-in engines on one HTTP port.
class EngineServer {
 public:
  /// Ends the process of a single engine that a fault crashes.
  using EndProcess = std::function<void()>;

  /// A single engine whose URL is the server's root.
  EngineServer(event::Dispatcher& dispatcher, http::Client& client, const http::ServerSettings& listen,
               EngineHostSettings engine, EndProcess end_process);
  /// Many engines, each under /engines/NAME; a crashed one comes back after the pause.
  EngineServer(event::Dispatcher& dispatcher, http::Client& client, const http::ServerSettings& listen,
               std::vector<EngineHostSettings> engines, Duration restart_pause);

  std::uint16_t port() const { return server_->port(); }
  void stopListening() { server_->stopListening(); }
  std::size_t openConnections() const { return server_->openConnections(); }
  std::size_t size() const { return engines_.size(); }
  /// Load over all engines.
  LoadReport load() const;

 private:
  struct HostedEngine {
    std::unique_ptr<EngineApi> api;
    std::unique_ptr<event::Timer> restart_timer;
    bool down = false;
  };

  void handle(http::Request request, const http::ResponseWriterPtr& writer);
  void handleHosted(http::Request request, const http::ResponseWriterPtr& writer);
  void addHosted(EngineHostSettings settings, Duration restart_pause);
  void listEngines(const http::ResponseWriterPtr& writer) const;
  void metrics(const http::ResponseWriterPtr& writer);
  void exportCounters(const EngineCounters& total);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  MetricsRegistry metrics_;
  EngineCounters exported_;
  std::unordered_map<std::string, HostedEngine> engines_;
  EngineApi* single_ = nullptr;  ///< the engine at the root, if there is only one
  std::unique_ptr<http::Server> server_;
};

}  // namespace ferryrock::emulator
