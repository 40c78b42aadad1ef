#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "calls/retry_budget.h"
#include "common/event_log.h"
#include "common/log_settings.h"
#include "common/settings_reader.h"
#include "services/placement_switches.h"
#include "tenancy/quota_tolerance.h"

/// Settings files of the processes that serve hosted services.
namespace ferryrock::service_process {

/// What both kinds of process have in common.
struct ServiceProcessSettings {
  NodeName node;
  ZoneName zone;
  std::string host;                 ///< the machine's address
  std::uint16_t internal_port = 0;  ///< of control members; the same on all machines
  std::vector<std::string> seeds;   ///< control members' addresses for operators, "host:port"
  std::string listen_directory;     ///< "host:port", callers who ask where to go; empty at a router: none
  Duration directory_lifetime = std::chrono::seconds(1);  ///< of an answer to them
  LogSettings log;
  EventLogLimits log_limits;
  tenancy::QuotaTolerance quota_tolerance;

  /// The seeds as internal addresses.
  std::vector<NodeName> seedNodes() const;
};

struct CallRouterProcessSettings : ServiceProcessSettings {
  std::string listen_calls;   ///< "host:port"
  std::string listen_status;  ///< "host:port"
  calls::RetryBudgetSettings retries;
  /// A key that was taken away isn't obeyed by any router later than this; nullopt: routers that are cut off
  /// go on obeying what they know.
  std::optional<Duration> key_revocation_limit;
  /// A planned stop takes this long at most.
  Duration stop_limit = std::chrono::seconds(8);
  /// New calls are taken in for this long, from callers that haven't heard yet.
  Duration stop_accepts = std::chrono::milliseconds(2300);
  /// Connections are closed before the process ends: it stays for this long at least.
  Duration stop_linger = std::chrono::milliseconds(3500);
};

struct ServiceControlProcessSettings : ServiceProcessSettings {
  std::string listen_control;  ///< "host:port", operators and replicas
  std::string data_folder;
  bool bootstrap = false;  ///< the whole system starts for the first time
  std::uint32_t losses_borne = 1;
  std::vector<std::string> zones;  ///< that operators may evacuate; empty: those of known replicas
  Duration router_out_of_touch = std::chrono::seconds(3);
  Duration order_lease = std::chrono::seconds(3);
  Duration replica_heartbeat = std::chrono::seconds(1);
  services::PlacementSwitches placement;
  bool tells_loads = false;  ///< routers choose replicas by the load over all routers
  std::size_t max_body_bytes = 64 << 20;
};

/// Throw Error with the file, line and key of the first fault.
CallRouterProcessSettings readCallRouterSettings(SettingsReader& reader);
ServiceControlProcessSettings readServiceControlSettings(SettingsReader& reader);

}  // namespace ferryrock::service_process
