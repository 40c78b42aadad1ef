#pragma once

#include <string>
#include <vector>

#include "common/logging.h"
#include "common/settings_reader.h"
#include "emulator/engine_host.h"
#include "emulator/link/link_settings.h"
#include "emulator/model/weight_store_model.h"
#include "emulator/platform_server.h"

namespace ferryrock::emulator {

/// Settings that every stand-in process has.
struct ProcessSettings {
  http::ServerSettings listen;
  LogSettings log;
};

struct EngineProcessSettings {
  ProcessSettings process;
  EngineHostSettings engine;
};

/// Many engines in one process: copies of one, numbered from 1 on.
struct EnginesProcessSettings {
  ProcessSettings process;
  EngineHostSettings like;  ///< its names and its data folder are prefixes
  std::uint32_t count = 1;
  std::vector<std::string> zones;                    ///< dealt out in turn; empty: like's zone
  Duration restart_pause = std::chrono::seconds(1);  ///< until a crashed engine comes back
};

struct WeightStoreProcessSettings {
  ProcessSettings process;
  WeightStoreSettings store;
};

struct PlatformProcessSettings {
  ProcessSettings process;
  PlatformServerSettings platform;
};

struct LinkProcessSettings {
  ProcessSettings process;
  LinkSettings link;
};

/// Each reads a whole settings file; throws the errors of SettingsReader.
EngineProcessSettings readEngineSettings(SettingsReader reader);
EnginesProcessSettings readEnginesSettings(SettingsReader reader);
WeightStoreProcessSettings readWeightStoreSettings(SettingsReader reader);
PlatformProcessSettings readPlatformSettings(SettingsReader reader);
LinkProcessSettings readLinkProcessSettings(SettingsReader reader);

/// The engines of one process, written out. Engine number n is called <name>-<n> on machine <machine>-<n>.
std::vector<EngineHostSettings> expandEngines(const EnginesProcessSettings& settings);

}  // namespace ferryrock::emulator
