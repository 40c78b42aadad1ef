#pragma once

#include <list>
#include <memory>

#include "emulator/link/connection_owners.h"
#include "emulator/link/link_cuts.h"
#include "emulator/link/link_settings.h"
#include "emulator/link/relay_connection.h"
#include "event/dispatcher.h"

namespace ferryrock::emulator {

/// One address of a process, as its peers reach it. Refuses connections while the process itself refuses
/// them, so that a caller learns of a dead process as it would without the relay.
class RelayRoute {
 public:
  /// Throws Error AddressInUse.
  RelayRoute(event::Dispatcher& dispatcher, const LinkCuts& cuts, const ConnectionOwners& owners,
             LinkRouteSettings settings);
  ~RelayRoute();
  RelayRoute(const RelayRoute&) = delete;
  RelayRoute& operator=(const RelayRoute&) = delete;

  /// Refuses new connections from now on, as a process does that is about to close its listener for good;
  /// connections that exist go on. Ends once the target has refused a connection and accepts again.
  void withdraw();
  /// Applies the cuts that are in force now to all connections.
  void update();
  const ProcessName& name() const { return settings_.name; }
  /// The port that it listens on; chosen by the system if the settings say 0.
  std::uint16_t port() const { return settings_.listen.port; }
  std::size_t connections() const { return connections_.size(); }

 private:
  void listen();
  void stopListening();
  void acceptAll();
  void add(int caller);
  /// Waits for the target to take connections again; once it does, or is cut, the route listens again.
  void probeTarget();
  bool targetAccepts() const;

  event::Dispatcher& dispatcher_;
  const LinkCuts& cuts_;
  const ConnectionOwners& owners_;
  LinkRouteSettings settings_;
  int listener_ = -1;
  bool withdrawn_ = false;
  std::unique_ptr<event::FileWatch> listen_watch_;
  std::unique_ptr<event::Timer> probe_timer_;
  std::list<RelayConnection> connections_;
};

}  // namespace ferryrock::emulator
