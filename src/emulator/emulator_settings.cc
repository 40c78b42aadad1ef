#include "emulator/emulator_settings.h"

#include <limits>
#include <utility>

#include "common/log_settings.h"

namespace ferryrock::emulator {
namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxBytes = std::uint64_t{1} << 60;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr Duration kMaxDuration = std::chrono::hours(24);
constexpr double kMaxTimeScale = 1000;

std::uint32_t count(SettingsReader& reader, const std::string& key, std::int64_t low,
                    std::uint32_t fallback) {
  return static_cast<std::uint32_t>(reader.integer(key, low, kMaxCount, fallback));
}

Duration duration(SettingsReader& reader, const std::string& key, Duration fallback) {
  return reader.duration(key, Duration::zero(), kMaxDuration, fallback);
}

std::uint64_t bytes(SettingsReader& reader, const std::string& key, std::uint64_t low,
                    std::uint64_t fallback) {
  return reader.bytes(key, low, kMaxBytes, fallback);
}

ProcessSettings readProcess(SettingsReader& reader) {
  ProcessSettings process;
  process.listen.address = reader.text("address", "127.0.0.1");
  process.listen.port = static_cast<std::uint16_t>(reader.integer("port", 0, kMaxPort, 0));
  process.listen.max_body_bytes = bytes(reader, "max_body", 1, 16'000'000);
  process.log = readLogSettings(reader.section("log"));
  return process;
}

void readBatch(SettingsReader reader, EngineSettings& engine) {
  engine.max_batch = count(reader, "max_running", 1, engine.max_batch);
  engine.max_waiting = count(reader, "max_waiting", 1, engine.max_waiting);
  engine.tokens_per_step = count(reader, "tokens_per_step", 1, engine.tokens_per_step);
  engine.step_base = duration(reader, "step_base", engine.step_base);
  engine.step_per_sequence = duration(reader, "step_per_sequence", engine.step_per_sequence);
  engine.prefill_per_token = duration(reader, "prefill_per_token", engine.prefill_per_token);
  engine.prefill_tokens_per_step =
      count(reader, "prefill_tokens_per_step", 1, engine.prefill_tokens_per_step);
  engine.max_tokens = count(reader, "max_tokens", 1, engine.max_tokens);
  reader.finish();
}

void readCache(SettingsReader reader, EngineSettings& engine) {
  engine.cache_blocks = count(reader, "blocks", 0, engine.cache_blocks);
  engine.cache_block_tokens = count(reader, "block_tokens", 1, engine.cache_block_tokens);
  engine.cache_event_lag = duration(reader, "event_lag", engine.cache_event_lag);
  engine.cache_event_loss = reader.number("event_loss", 0, 1, engine.cache_event_loss);
  engine.cache_event_history = count(reader, "event_history", 1, engine.cache_event_history);
  engine.cache_transfer_per_token = duration(reader, "transfer_per_token", engine.cache_transfer_per_token);
  reader.finish();
}

void readCheckpoints(SettingsReader reader, EngineSettings& engine) {
  engine.memory_tier_bytes = bytes(reader, "memory", 0, engine.memory_tier_bytes);
  engine.disk_tier_bytes = bytes(reader, "disk", 0, engine.disk_tier_bytes);
  engine.memory_bytes_per_second = bytes(reader, "memory_per_second", 1, engine.memory_bytes_per_second);
  engine.disk_bytes_per_second = bytes(reader, "disk_per_second", 1, engine.disk_bytes_per_second);
  engine.load_overhead = duration(reader, "load_overhead", engine.load_overhead);
  engine.adapter_overhead = duration(reader, "adapter_overhead", engine.adapter_overhead);
  engine.unload_time = duration(reader, "unload_time", engine.unload_time);
  engine.unload_grace = duration(reader, "unload_grace", engine.unload_grace);
  reader.finish();
}

EngineHostSettings readEngine(SettingsReader& reader) {
  EngineHostSettings host;
  EngineSettings& engine = host.engine;
  engine.name = EngineName(reader.text("name", "engine-1"));
  engine.machine = MachineName(reader.text("machine", "machine-1"));
  engine.zone = ZoneName(reader.text("zone", "zone-1"));
  engine.accelerators = count(reader, "accelerators", 1, engine.accelerators);
  engine.bytes_per_accelerator = bytes(reader, "accelerator_memory", 1, engine.bytes_per_accelerator);
  engine.time_scale = reader.number("time_scale", 0, kMaxTimeScale, engine.time_scale);
  engine.load_report_lag = duration(reader, "load_report_lag", engine.load_report_lag);
  readBatch(reader.section("batch"), engine);
  readCache(reader.section("cache"), engine);
  readCheckpoints(reader.section("checkpoints"), engine);
  host.data_folder = reader.text("data_folder", "");
  host.weight_store_url = reader.text("weight_store", "");
  host.seed =
      static_cast<std::uint64_t>(reader.integer("seed", 0, std::numeric_limits<std::int64_t>::max(), 1));
  return host;
}

void readMachines(SettingsReader& reader, PlatformSettings& platform) {
  for (SettingsReader& machine : reader.sections("machines")) {
    platform.machines.push_back({MachineName(machine.text("machine")), EngineName(machine.text("engine")),
                                 machine.text("url"), ZoneName(machine.text("zone"))});
    machine.finish();
  }
}

std::string numbered(const std::string& prefix, std::size_t number) {
  return prefix + "-" + std::to_string(number);
}

std::string dealtOut(const std::vector<std::string>& zones, std::size_t index, const std::string& fallback) {
  return zones.empty() ? fallback : zones[index % zones.size()];
}

/// Machines of engine processes that host many.
void readHosted(SettingsReader& reader, PlatformSettings& platform) {
  for (SettingsReader& hosted : reader.sections("hosted")) {
    const std::string url = hosted.text("url");
    const std::string name = hosted.text("name", "engine");
    const std::string machine = hosted.text("machine", "machine");
    const std::string zone = hosted.text("zone", "zone-1");
    const std::vector<std::string> zones = hosted.textList("zones");
    const std::uint32_t engines = count(hosted, "count", 1, 1);
    for (std::size_t index = 0; index < engines; ++index) {
      const std::string engine = numbered(name, index + 1);
      std::string engine_url = url;
      engine_url.append("/engines/").append(engine);
      platform.machines.push_back({MachineName(numbered(machine, index + 1)), EngineName(engine),
                                   std::move(engine_url), ZoneName(dealtOut(zones, index, zone))});
    }
    hosted.finish();
  }
}

}  // namespace

EngineProcessSettings readEngineSettings(SettingsReader reader) {
  EngineProcessSettings settings{readProcess(reader), readEngine(reader)};
  reader.finish();
  return settings;
}

EnginesProcessSettings readEnginesSettings(SettingsReader reader) {
  EnginesProcessSettings settings;
  settings.process = readProcess(reader);
  settings.like = readEngine(reader);
  if (!reader.has("name")) {
    settings.like.engine.name = EngineName("engine");
  }
  if (!reader.has("machine")) {
    settings.like.engine.machine = MachineName("machine");
  }
  settings.count = count(reader, "count", 1, settings.count);
  settings.zones = reader.textList("zones");
  settings.restart_pause = duration(reader, "restart_pause", settings.restart_pause);
  reader.finish();
  return settings;
}

WeightStoreProcessSettings readWeightStoreSettings(SettingsReader reader) {
  WeightStoreProcessSettings settings;
  settings.process = readProcess(reader);
  WeightStoreSettings& store = settings.store;
  constexpr double kLeastRate = 0.001;
  constexpr double kMostRate = 1e6;
  store.starts_per_second = reader.number("rate", kLeastRate, kMostRate, store.starts_per_second);
  store.width = count(reader, "width", 1, store.width);
  store.bytes_per_second = bytes(reader, "bytes_per_second", 1, store.bytes_per_second);
  store.time_scale = reader.number("time_scale", 0, kMaxTimeScale, store.time_scale);
  reader.finish();
  return settings;
}

PlatformProcessSettings readPlatformSettings(SettingsReader reader) {
  PlatformProcessSettings settings;
  settings.process = readProcess(reader);
  PlatformSettings& platform = settings.platform.platform;
  platform.lag = duration(reader, "lag", platform.lag);
  platform.gone_after = duration(reader, "gone_after", platform.gone_after);
  settings.platform.probe_interval = duration(reader, "probe_interval", settings.platform.probe_interval);
  readMachines(reader, platform);
  readHosted(reader, platform);
  reader.finish();
  return settings;
}

LinkProcessSettings readLinkProcessSettings(SettingsReader reader) {
  LinkProcessSettings settings;
  settings.process = readProcess(reader);
  settings.link = readLinkSettings(reader);
  reader.finish();
  return settings;
}

std::vector<EngineHostSettings> expandEngines(const EnginesProcessSettings& settings) {
  std::vector<EngineHostSettings> engines;
  for (std::size_t index = 0; index < settings.count; ++index) {
    EngineHostSettings host = settings.like;
    const EngineSettings& like = settings.like.engine;
    host.engine.name = EngineName(numbered(like.name.value, index + 1));
    host.engine.machine = MachineName(numbered(like.machine.value, index + 1));
    host.engine.zone = ZoneName(dealtOut(settings.zones, index, like.zone.value));
    host.seed += index;
    if (!host.data_folder.empty()) {
      host.data_folder += "/" + host.engine.name.value;
    }
    engines.push_back(std::move(host));
  }
  return engines;
}

}  // namespace ferryrock::emulator
