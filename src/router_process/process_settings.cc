#include "router_process/process_settings.h"

#include <utility>

namespace ferryrock::router_process {
namespace {

constexpr std::uint64_t kSmallestBody = 1'000;
constexpr std::uint64_t kLargestBody = 1'000'000'000;
constexpr std::uint64_t kSmallestBuffer = 1'000;
constexpr std::uint64_t kLargestMemory = 1'000'000'000'000;
constexpr std::int64_t kMostWaiting = 10'000'000;

transport::Peer readControl(SettingsReader& reader) {
  transport::Peer peer;
  peer.node = NodeName(reader.text("node"));
  peer.address = reader.text("internal");
  peer.public_key = reader.text("public_key", "");
  reader.finish();
  process::parseAddress(peer.address);
  return peer;
}

void readLimits(SettingsReader reader, RouterProcessSettings& settings) {
  using std::chrono::milliseconds;
  ProcessLimits& limits = settings.limits;
  router::RouterSettings& node = settings.node;
  limits.max_body_bytes = reader.bytes("max_body", kSmallestBody, kLargestBody, limits.max_body_bytes);
  limits.drain_limit =
      reader.duration("drain_limit", std::chrono::seconds(1), std::chrono::hours(24), limits.drain_limit);
  node.max_waiting = static_cast<std::size_t>(
      reader.integer("max_waiting", 1, kMostWaiting, static_cast<std::int64_t>(node.max_waiting)));
  node.max_waiting_bytes =
      reader.bytes("max_waiting_bytes", kSmallestBody, kLargestMemory, node.max_waiting_bytes);
  node.max_caller_buffer_bytes =
      reader.bytes("max_caller_buffer", kSmallestBuffer, kLargestMemory, node.max_caller_buffer_bytes);
  node.status_interval =
      reader.duration("status_interval", milliseconds(20), std::chrono::minutes(1), node.status_interval);
  node.demand_interval =
      reader.duration("demand_interval", milliseconds(5), std::chrono::minutes(1), node.demand_interval);
  node.stall_timeout =
      reader.duration("stall_timeout", milliseconds(100), std::chrono::minutes(10), node.stall_timeout);
  reader.finish();
}

}  // namespace

RouterProcessSettings readRouterSettings(SettingsReader& reader) {
  RouterProcessSettings settings;
  settings.node.node = NodeName(reader.text("node"));
  settings.node.zone = ZoneName(reader.text("zone", ""));
  settings.region = RegionName(reader.text("region", ""));
  settings.data_folder = reader.text("data_folder");
  settings.listen_http = reader.text("listen_http");
  settings.platform_url = reader.text("platform_url", "");
  for (SettingsReader& member : reader.sections("control")) {
    settings.control.push_back(readControl(member));
    settings.node.control_members.push_back(settings.control.back().node);
  }
  settings.node.balancing = reader.choice(
      "balancing", {"two-choices", "least-loaded", "round-robin", "random"}, settings.node.balancing);
  settings.keys = process::readKeys(reader.section("keys"));
  settings.tls = process::readTls(reader.section("tls"));
  settings.log = readLogSettings(reader.section("log"));
  readLimits(reader.section("limits"), settings);
  reader.finish();
  process::parseAddress(settings.listen_http);
  if (settings.control.empty()) {
    throw Error(ResultCode::MissingSetting, "'control' must name at least one member", reader.place());
  }
  return settings;
}

}  // namespace ferryrock::router_process
