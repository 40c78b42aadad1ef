#pragma once

#include <string>
#include <vector>

#include "common/settings_reader.h"
#include "common/time.h"
#include "emulator/link/process_name.h"
#include "emulator/link/socket_address.h"

namespace ferryrock::emulator {

/// Connections to `listen` are relayed to `target`, an address of the named process.
struct LinkRouteSettings {
  ProcessName name;
  SocketAddress listen;
  SocketAddress target;
  /// Bytes from the target with this text pass a second time after the delay, as those of a peer that answers
  /// twice; empty: none do.
  std::string repeated_text{};
  Duration repeat_delay{};
};

struct LinkSettings {
  /// Holds a file NAME.pid for each process of the fleet, beginning with its process id; tells whose
  /// connections are to stall when a process is cut. Empty: connections have no owner on their calling side.
  std::string process_folder;
  std::vector<LinkRouteSettings> routes;
};

/// Reads the keys of the relay and leaves the others to the caller. Throws the errors of SettingsReader.
LinkSettings readLinkSettings(SettingsReader& reader);

}  // namespace ferryrock::emulator
