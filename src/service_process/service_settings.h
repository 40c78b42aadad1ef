#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "balance/retry_budget_settings.h"
#include "common/event_log.h"
#include "common/log_settings.h"
#include "common/settings_reader.h"
#include "http/client_budget.h"
#include "services/placement_switches.h"
#include "tenancy/quota_tolerance.h"

/// Settings files of the processes that serve hosted services.
namespace ferryrock::service_process {

/// Several processes may share a large machine.
inline constexpr std::size_t kMaxDefaultMemoryBytes = std::size_t{1} << 30;

/// Settings that routers and control members share.
struct ServiceProcessSettings {
  NodeName node;
  ZoneName zone;
  std::string host;                 ///< address of the machine
  std::uint16_t internal_port = 0;  ///< port of the control members, the same on all machines
  std::vector<std::string> seeds;   ///< operator addresses of control members, "host:port"
  /// "host:port" on which callers look up router addresses; empty at a router: it serves no directory.
  std::string listen_directory;
  Duration directory_lifetime = std::chrono::seconds(1);  ///< time to live of a directory response
  LogSettings log;
  EventLogLimits log_limits;
  tenancy::QuotaTolerance quota_tolerance;
  balance::RetryBudgetSettings retries;
  /// Memory of the machine that the process may use, in bytes.
  std::size_t memory_limit = std::min(http::machineMemoryBytes(), kMaxDefaultMemoryBytes);
  /// Descriptors that the process may have open.
  std::size_t descriptor_limit = http::descriptorLimit();

  /// The internal addresses of the seeds.
  std::vector<NodeName> seedNodes() const;
  /// "host:port" of the machine's internal port.
  std::string internalAddress() const;
  /// What the process may keep for its clients: a part of the memory and most descriptors.
  http::ClientLimits clientLimits() const;
};

struct CallRouterProcessSettings : ServiceProcessSettings {
  std::string listen_calls;   ///< "host:port"
  std::string listen_status;  ///< "host:port"
  /// "host:port" at which attempts of other routers are taken; empty: the internal port of the machine.
  std::string listen_relay;
  /// Time within which all routers reject a revoked key. nullopt: a router without contact to the control
  /// members accepts the keys of its last known catalog without limit.
  std::optional<Duration> key_revocation_limit;
  /// Maximum duration of a planned stop.
  Duration stop_limit = std::chrono::seconds(8);
  /// Time after the start of a planned stop during which new calls are accepted, from callers that haven't
  /// learned of the stop yet.
  Duration stop_accepts = std::chrono::milliseconds(2300);
  /// Minimum duration of a planned stop, so that connections are closed before the process exits.
  Duration stop_linger = std::chrono::milliseconds(3500);
};

struct ServiceControlProcessSettings : ServiceProcessSettings {
  std::string listen_control;  ///< "host:port", for operators and replicas
  std::string data_folder;
  bool bootstrap = false;  ///< true at the first start of the whole system
  std::uint32_t tolerated_losses = 1;
  std::vector<std::string> zones;  ///< zones that operators may evacuate; empty: the zones of known replicas
  Duration router_contact_timeout = std::chrono::seconds(3);
  Duration order_lease = std::chrono::seconds(3);
  Duration replica_heartbeat = std::chrono::seconds(1);
  services::PlacementSwitches placement;
  bool publishes_loads =
      false;  ///< loads are published, so that routers balance by the load over all routers
  std::size_t max_body_bytes = 64 << 20;
};

/// Both throw Error with the file, line and key of the first invalid setting.
CallRouterProcessSettings readCallRouterSettings(SettingsReader& reader);
ServiceControlProcessSettings readServiceControlSettings(SettingsReader& reader);

}  // namespace ferryrock::service_process
