#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "emulator/link/process_name.h"
#include "emulator/link/socket_address.h"

namespace ferryrock::emulator {

/// Finds out which process of the fleet holds the calling side of a connection on this machine.
class ConnectionOwners {
 public:
  /// process_folder as in LinkSettings.
  explicit ConnectionOwners(std::string process_folder) : folder_(std::move(process_folder)) {}

  /// Name of the process that holds the socket of this local and remote address; empty if none of the fleet
  /// does.
  ProcessName ownerOf(const SocketAddress& local, const SocketAddress& remote) const;

 private:
  struct Member {
    ProcessName name;
    std::string id;
  };
  std::vector<Member> members() const;

  std::string folder_;
};

}  // namespace ferryrock::emulator
