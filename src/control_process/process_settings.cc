#include "control_process/process_settings.h"

#include <algorithm>
#include <limits>

namespace ferryrock::control_process {
namespace {

constexpr std::int64_t kMaximumMemberId = std::numeric_limits<std::int64_t>::max();

ConfiguredMember readMember(SettingsReader& reader) {
  ConfiguredMember configured;
  configured.member.id = MemberId(static_cast<std::uint64_t>(reader.integer("id", 1, kMaximumMemberId)));
  configured.member.node = NodeName(reader.text("node"));
  configured.member.address = reader.text("internal");
  configured.member.http = reader.text("http", "");
  configured.member.voter = true;
  configured.public_key = process::readPublicKey(reader);
  reader.finish();
  return configured;
}

AllowedRouter readRouter(SettingsReader& reader) {
  AllowedRouter router;
  router.node = NodeName(reader.text("node"));
  router.public_key = process::readPublicKey(reader);
  reader.finish();
  return router;
}

ProcessLimits readLimits(SettingsReader reader) {
  constexpr std::uint64_t kSmallestBody = 1'000;
  constexpr std::uint64_t kLargestBody = 1'000'000'000;
  ProcessLimits limits;
  limits.max_body_bytes = reader.bytes("max_body_bytes", kSmallestBody, kLargestBody, limits.max_body_bytes);
  limits.snapshot_after_entries = static_cast<std::size_t>(reader.integer(
      "snapshot_after_entries", 10, 10'000'000, static_cast<std::int64_t>(limits.snapshot_after_entries)));
  limits.proposal_timeout = reader.duration("proposal_timeout", std::chrono::milliseconds(100),
                                            std::chrono::minutes(5), limits.proposal_timeout);
  limits.heartbeat =
      reader.duration("heartbeat", std::chrono::milliseconds(5), std::chrono::seconds(5), limits.heartbeat);
  limits.election_timeout = reader.duration("election_timeout", 2 * limits.heartbeat, std::chrono::minutes(1),
                                            std::max(limits.election_timeout, 3 * limits.heartbeat));
  reader.finish();
  return limits;
}

}  // namespace

ControlProcessSettings readControlSettings(SettingsReader& reader) {
  ControlProcessSettings settings;
  settings.node = NodeName(reader.text("node"));
  settings.member_id = MemberId(static_cast<std::uint64_t>(reader.integer("member_id", 1, kMaximumMemberId)));
  settings.region = RegionName(reader.text("region", ""));
  settings.zone = ZoneName(reader.text("zone", ""));
  settings.data_folder = reader.text("data_folder");
  settings.listen_internal = reader.text("listen_internal");
  settings.listen_http = reader.text("listen_http");
  settings.bootstrap = reader.boolean("bootstrap", true);
  for (SettingsReader& member : reader.sections("members")) {
    settings.members.push_back(readMember(member));
  }
  for (SettingsReader& router : reader.sections("routers")) {
    settings.routers.push_back(readRouter(router));
  }
  settings.platform_url = reader.text("platform_url", "");
  settings.keys = process::readKeys(reader.section("keys"));
  settings.tokens_file = reader.text("tokens_file", "");
  settings.tls = process::readTls(reader.section("tls"));
  settings.log = readLogSettings(reader.section("log"));
  settings.limits = readLimits(reader.section("limits"));
  reader.finish();
  process::parseAddress(settings.listen_internal);
  process::parseAddress(settings.listen_http);
  return settings;
}

}  // namespace ferryrock::control_process
