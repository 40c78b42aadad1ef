#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/logging.h"
#include "common/settings_reader.h"
#include "process/shared_settings.h"
#include "wire/messages.h"

namespace ferryrock::control_process {

/// A router that may connect. A node may stand twice, with its old and its new key, while keys are changed.
struct AllowedRouter {
  NodeName node;
  std::string public_key;
};

/// A control member as this process's settings file names it. A member may stand twice, with its old and its
/// new key.
struct ConfiguredMember {
  wire::Member member;
  std::string public_key;
};

struct ProcessLimits {
  std::size_t max_body_bytes = 16'000'000;
  std::size_t snapshot_after_entries = 10'000;
  Duration proposal_timeout = std::chrono::seconds(5);
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration election_timeout = std::chrono::milliseconds(500);  ///< the longest is twice this
};

/// Settings file of one `ferryrock control` process.
struct ControlProcessSettings {
  NodeName node;
  MemberId member_id;
  RegionName region;
  ZoneName zone;
  std::string data_folder;
  std::string listen_internal;  ///< "host:port"
  std::string listen_http;      ///< "host:port"
  bool bootstrap = true;
  std::vector<ConfiguredMember> members;
  std::vector<AllowedRouter> routers;
  std::string platform_url;  ///< empty: no list of machines
  process::KeySettings keys;
  std::string tokens_file;
  process::TlsSettings tls;
  LogSettings log;
  ProcessLimits limits;
};

/// Throws Error with the file, line and key of the first fault.
ControlProcessSettings readControlSettings(SettingsReader& reader);

}  // namespace ferryrock::control_process
