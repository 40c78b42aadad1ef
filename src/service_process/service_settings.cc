#include "service_process/service_settings.h"

#include <algorithm>
#include <limits>

#include "common/error.h"
#include "process/shared_settings.h"

namespace ferryrock::service_process {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
/// Less holds no call with a body of the largest size beside others.
constexpr std::uint64_t kMinMemoryBytes = 48'000'000;
constexpr std::uint64_t kMaxMemoryBytes = std::uint64_t{1} << 50;
constexpr std::int64_t kMinDescriptors = 256;
constexpr std::int64_t kMaxDescriptors = 1'000'000;
constexpr std::size_t kEighths = 8;
/// The rest is for tables, the log and the catalog, and for libcurl's own buffers of each attempt.
constexpr std::size_t kClientEighths = 3;

void readCommon(SettingsReader& reader, ServiceProcessSettings& settings) {
  settings.node = NodeName(reader.text("node"));
  settings.zone = ZoneName(reader.text("zone", ""));
  settings.host = reader.text("host");
  settings.internal_port = static_cast<std::uint16_t>(reader.integer("internal_port", 0, kMaxPort));
  settings.seeds = reader.textList("seeds");
  for (const std::string& seed : settings.seeds) {
    process::parseAddress(seed);
  }
  settings.listen_directory = reader.text("listen_directory", "");
  if (!settings.listen_directory.empty()) {
    process::parseAddress(settings.listen_directory);
  }
  settings.directory_lifetime = reader.duration("directory_lifetime", 0ms, 1h, settings.directory_lifetime);
  SettingsReader limits = reader.section("log_limits");
  settings.log_limits.lines_per_second =
      limits.number("lines_per_second", 0, 1e6, settings.log_limits.lines_per_second);
  settings.log_limits.burst = limits.number("burst", 1, 1e6, settings.log_limits.burst);
  limits.finish();
  tenancy::QuotaTolerance& quota = settings.quota_tolerance;
  quota.window = reader.duration("quota_window", 100ms, 1h, quota.window);
  quota.overshoot = reader.number("quota_overshoot", 0, 100, quota.overshoot);
  quota.slack = reader.number("quota_slack", 0, 1e12, quota.slack);
  settings.retries.share = reader.number("retry_share", 0, 100, settings.retries.share);
  settings.retries.slack = reader.number("retry_slack", 0, 1e9, settings.retries.slack);
  settings.retries.window = reader.duration("retry_window", 100ms, 1h, settings.retries.window);
  settings.memory_limit =
      reader.bytes("memory_limit", kMinMemoryBytes, kMaxMemoryBytes, settings.memory_limit);
  settings.descriptor_limit = static_cast<std::size_t>(reader.integer(
      "descriptor_limit", kMinDescriptors, kMaxDescriptors,
      static_cast<std::int64_t>(std::min<std::size_t>(settings.descriptor_limit, kMaxDescriptors))));
  settings.log = readLogSettings(reader.section("log"));
  settings.log.bounded_standard_output = settings.log.file.empty();
}

std::string readAddress(SettingsReader& reader, const std::string& key) {
  std::string address = reader.text(key);
  process::parseAddress(address);
  return address;
}

}  // namespace

std::vector<NodeName> ServiceProcessSettings::seedNodes() const {
  std::vector<NodeName> nodes;
  for (const std::string& seed : seeds) {
    nodes.emplace_back(process::parseAddress(seed).host + ":" + std::to_string(internal_port));
  }
  return nodes;
}

http::ClientLimits ServiceProcessSettings::clientLimits() const {
  return {memory_limit / kEighths * kClientEighths, http::connectionsWithin(descriptor_limit)};
}

std::string ServiceProcessSettings::internalAddress() const {
  return host + ":" + std::to_string(internal_port);
}

CallRouterProcessSettings readCallRouterSettings(SettingsReader& reader) {
  CallRouterProcessSettings settings;
  readCommon(reader, settings);
  settings.listen_calls = readAddress(reader, "listen_calls");
  settings.listen_status = readAddress(reader, "listen_status");
  settings.listen_relay = reader.text("listen_relay", "");
  if (!settings.listen_relay.empty()) {
    process::parseAddress(settings.listen_relay);
  }
  if (reader.has("key_revocation_limit")) {
    settings.key_revocation_limit = reader.duration("key_revocation_limit", 500ms, 1h);
  }
  settings.stop_limit = reader.duration("stop_limit", 0ms, 1h, settings.stop_limit);
  settings.stop_accepts = reader.duration("stop_accepts", 0ms, 1h, settings.stop_accepts);
  settings.stop_linger = reader.duration("stop_linger", 0ms, 1h, settings.stop_linger);
  reader.finish();
  return settings;
}

ServiceControlProcessSettings readServiceControlSettings(SettingsReader& reader) {
  ServiceControlProcessSettings settings;
  readCommon(reader, settings);
  settings.listen_control = readAddress(reader, "listen_control");
  if (settings.listen_directory.empty()) {
    throw Error(ResultCode::MissingSetting, "'listen_directory' is needed", reader.place());
  }
  settings.data_folder = reader.text("data_folder");
  settings.bootstrap = reader.boolean("bootstrap", false);
  constexpr std::int64_t kMaxToleratedLosses = 10;
  settings.tolerated_losses = static_cast<std::uint32_t>(
      reader.integer("losses_borne", 0, kMaxToleratedLosses, settings.tolerated_losses));
  settings.zones = reader.has("zones") ? reader.textList("zones") : std::vector<std::string>();
  settings.router_contact_timeout =
      reader.duration("router_out_of_touch", 100ms, 1h, settings.router_contact_timeout);
  settings.order_lease = reader.duration("order_lease", 0ms, 1h, settings.order_lease);
  settings.replica_heartbeat = reader.duration("replica_heartbeat", 10ms, 1h, settings.replica_heartbeat);
  services::PlacementSwitches& placement = settings.placement;
  placement.estimated_store_width = reader.boolean("placement_learned_store_width", true);
  placement.local_weights_first = reader.boolean("placement_near_weights_first", true);
  placement.expected_times = reader.boolean("placement_expected_times", true);
  placement.prompt_inspections = reader.boolean("placement_prompt_doubts", true);
  settings.publishes_loads = reader.boolean("balance_by_fleet_load", false);
  constexpr std::uint64_t kMinBodyBytes = 1'000;
  constexpr std::uint64_t kMaxBodyBytes = 1'000'000'000;
  const std::uint64_t largest =
      std::min<std::uint64_t>(kMaxBodyBytes, settings.clientLimits().memory_bytes / 2);
  settings.max_body_bytes = reader.bytes("max_body_bytes", kMinBodyBytes, largest,
                                         std::min<std::uint64_t>(settings.max_body_bytes, largest));
  reader.finish();
  return settings;
}

}  // namespace ferryrock::service_process
