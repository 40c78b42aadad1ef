#pragma once

#include <string>

#include "common/identifiers.h"

namespace ferryrock::process {

/// Listen addresses of a process, with the ports that the system has chosen for port 0.
struct ListenAddresses {
  NodeName node;
  std::string internal;  ///< "host:port"; empty if the process doesn't listen for internal connections
  std::string http;      ///< base URL
};

/// Writes addresses.json to the data folder, for use by scripts. The file is replaced atomically.
void writeAddressFile(const std::string& data_folder, const ListenAddresses& addresses);

}  // namespace ferryrock::process
