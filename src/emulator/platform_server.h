#pragma once

#include <list>
#include <memory>

#include "common/metrics.h"
#include "emulator/model/platform_model.h"
#include "http/http.h"

namespace ferryrock::emulator {

struct PlatformServerSettings {
  PlatformSettings platform;
  /// How often each engine's /healthz is asked; zero: never.
  Duration probe_interval{};
};

/// HTTP interface of the stand-in platform list; asks the engines whether they are there, if told to.
class PlatformServer {
 public:
  PlatformServer(event::Dispatcher& dispatcher, http::Client& client, const http::ServerSettings& listen,
                 const PlatformServerSettings& settings);
  std::uint16_t port() const { return server_->port(); }
  void stopListening() { server_->stopListening(); }
  std::size_t openConnections() const { return server_->openConnections(); }

 private:
  struct Probe {
    std::unique_ptr<http::ClientCall> call;
    bool done = false;
  };
  void handle(const http::Request& request, const http::ResponseWriterPtr& writer);
  void listMachines(const http::ResponseWriterPtr& writer);
  void putMachine(const http::Request& request, const http::ResponseWriterPtr& writer);
  void setFault(const http::Request& request, const http::ResponseWriterPtr& writer);
  void probeAll();
  void probe(const PlatformMachine& machine);
  TimePoint now() const { return dispatcher_.timeSource().monotonicTime(); }

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  PlatformModel model_;
  Duration probe_interval_;
  MetricsRegistry metrics_;
  std::list<std::shared_ptr<Probe>> probes_;
  std::unique_ptr<event::Timer> probe_timer_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace ferryrock::emulator
