#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "common/settings_reader.h"
#include "process/shared_settings.h"
#include "router/router_node.h"
#include "transport/transport.h"

namespace ferryrock::router_process {

struct ProcessLimits {
  std::size_t max_body_bytes = 16'000'000;
  Duration drain_limit = std::chrono::minutes(10);  ///< of a planned stop; then what still runs is cut off
};

/// Settings file of one `ferryrock router` process.
struct RouterProcessSettings {
  /// node, zone, control_members, limits and policies; the process fills in what it learns at its start.
  router::RouterSettings node;
  RegionName region;
  std::string data_folder;
  std::string listen_http;   ///< "host:port"
  std::string platform_url;  ///< empty: no list of machines
  std::vector<transport::Peer> control;
  process::KeySettings keys;
  process::TlsSettings tls;
  LogSettings log;
  ProcessLimits limits;
};

/// Throws Error with the file, line and key of the first fault.
RouterProcessSettings readRouterSettings(SettingsReader& reader);

}  // namespace ferryrock::router_process
