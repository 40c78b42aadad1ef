#pragma once

#include <chrono>
#include <list>
#include <string>

#include "emulator/link/relay_route.h"

namespace ferryrock::platform {

/// The links between the product's processes and the replicas of a soak: each replica is reached through a
/// relay that can stall the bytes of one process. A connection still opens then, but passes nothing.
class SoakLinks {
 public:
  /// A response with this text in its head arrives a second time, after the delay.
  static constexpr const char* kRepeatedText = "X-Repeated: 1";
  static constexpr Duration kRepeatDelay = std::chrono::milliseconds(40);

  /// process_folder: holds a file NAME.pid for each process.
  SoakLinks(event::Dispatcher& dispatcher, const std::string& process_folder)
      : dispatcher_(dispatcher), owners_(process_folder) {}

  /// Returns the port at which the replica that listens at target_port is reached.
  std::uint16_t add(const std::string& replica, std::uint16_t target_port);
  /// Ends the connections through the port, and refuses new ones.
  void remove(std::uint16_t port);
  /// Partitions the process from all replicas.
  void partition(const std::string& process);
  void heal(const std::string& process);

 private:
  void update();

  event::Dispatcher& dispatcher_;
  emulator::LinkCuts cuts_;
  emulator::ConnectionOwners owners_;
  std::list<emulator::RelayRoute> routes_;
};

}  // namespace ferryrock::platform
