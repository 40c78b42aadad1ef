#pragma once

#include <list>
#include <memory>

#include "common/metrics.h"
#include "emulator/link/relay_route.h"
#include "http/http.h"

namespace ferryrock::emulator {

/// The relay of a local fleet with its administrative interface: POST /admin/cut {"name", "direction":
/// "both", "to" or "from"}, POST /admin/heal {"name"} (without a name: all), POST /admin/withdraw {"name"}
/// before a planned stop, GET /status.
class LinkServer {
 public:
  /// Throws Error AddressInUse.
  LinkServer(event::Dispatcher& dispatcher, const http::ServerSettings& listen, const LinkSettings& settings);
  std::uint16_t port() const { return server_->port(); }
  void stopListening() { server_->stopListening(); }
  std::size_t openConnections() const { return server_->openConnections(); }
  const std::list<RelayRoute>& routes() const { return routes_; }

 private:
  void handle(const http::Request& request, const http::ResponseWriterPtr& writer);
  void cut(const http::Request& request, const http::ResponseWriterPtr& writer);
  void withdraw(const http::Request& request, const http::ResponseWriterPtr& writer);
  void heal(const http::Request& request, const http::ResponseWriterPtr& writer);
  void status(const http::ResponseWriterPtr& writer) const;
  void metrics(const http::ResponseWriterPtr& writer);
  void updateRoutes();
  /// The name in the request's body. Throws Error InvalidField if no route leads to it.
  ProcessName knownName(const http::Request& request) const;

  LinkCuts cuts_;
  ConnectionOwners owners_;
  MetricsRegistry metrics_;
  std::list<RelayRoute> routes_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace ferryrock::emulator
