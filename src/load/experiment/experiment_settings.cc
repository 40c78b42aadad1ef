#include "load/experiment/experiment_settings.h"

#include <limits>

#include "common/quantity.h"
#include "common/settings_reader.h"

namespace ferryrock::load::experiment {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::uint64_t kMaxBytes = 100'000'000'000'000;
constexpr double kMaxRate = 1e6;

std::uint32_t readCount(SettingsReader& reader, const std::string& key, std::int64_t low,
                        std::int64_t fallback) {
  return static_cast<std::uint32_t>(reader.integer(key, low, kMaxCount, fallback));
}

UsageShape readUsage(SettingsReader reader) {
  UsageShape usage;
  usage.sessions_per_day = reader.number("sessions_per_day", 0, kMaxRate);
  usage.popularity_exponent = reader.number("popularity_exponent", 0, 10, usage.popularity_exponent);
  usage.gap_sigma = reader.number("gap_sigma", 0, 5, usage.gap_sigma);
  usage.requests_per_session = reader.number("requests_per_session", 1, kMaxRate, 6);
  usage.think_time = reader.duration("think_time", milliseconds(1), hours(1), seconds(40));
  usage.service_time = reader.duration("service_time", milliseconds(1), hours(1), seconds(8));
  usage.timetable_share = reader.number("timetable_share", 0, 1, 0);
  usage.timetable_uses = readCount(reader, "timetable_uses", 1, usage.timetable_uses);
  usage.bursts_per_week = reader.number("bursts_per_week", 0, kMaxRate, 0);
  usage.burst_requests = readCount(reader, "burst_requests", 0, 0);
  usage.burst_span = reader.duration("burst_span", milliseconds(1), hours(1), seconds(10));
  reader.finish();
  return usage;
}

ModelGroup readGroup(SettingsReader& reader) {
  ModelGroup group;
  group.name = reader.text("name");
  group.models = readCount(reader, "models", 1, 1);
  group.adapters = readCount(reader, "adapters", 0, 0);
  group.adapter_share = reader.number("adapter_share", 0, 1, 0);
  group.settings.version = ModelVersion{"1"};
  group.settings.weight_bytes = reader.bytes("weights", 1, kMaxBytes);
  group.settings.cache_reserve_bytes = reader.bytes("cache_reserve", 0, kMaxBytes, 0);
  group.settings.adapter_bytes = reader.bytes("adapter_size", 0, kMaxBytes, 0);
  group.settings.accelerators = readCount(reader, "accelerators", 1, 1);
  group.settings.min_replicas = readCount(reader, "min_replicas", 0, 0);
  group.settings.max_replicas = readCount(reader, "max_replicas", 1, 1);
  group.settings.concurrency = readCount(reader, "concurrency", 1, 8);
  group.settings.deadline_ms =
      toMilliseconds(reader.duration("deadline", milliseconds(1), hours(1), seconds(30)));
  group.settings.keep_alive_max_ms =
      toMilliseconds(reader.duration("keep_alive_max", seconds(0), hours(24 * 365), hours(24)));
  group.usage = readUsage(reader.section("usage"));
  reader.finish();
  return group;
}

void readCell(SettingsReader reader, ExperimentSettings& settings) {
  settings.zones = readCount(reader, "zones", 1, 1);
  settings.machines_per_zone = readCount(reader, "machines_per_zone", 1, 1);
  settings.routers = readCount(reader, "routers", 1, 1);
  settings.commit_delay = reader.duration("commit_delay", seconds(0), seconds(10), milliseconds(10));
  settings.report_delay = reader.duration("report_delay", seconds(0), seconds(10), milliseconds(50));
  emulator::EngineSettings& engine = settings.engine;
  engine.accelerators = readCount(reader, "accelerators_per_machine", 1, engine.accelerators);
  engine.bytes_per_accelerator = reader.bytes("accelerator_memory", 1, kMaxBytes);
  engine.memory_tier_bytes = reader.bytes("checkpoints_in_memory", 0, kMaxBytes);
  engine.disk_tier_bytes = reader.bytes("checkpoints_on_disk", 0, kMaxBytes);
  settings.store.starts_per_second = reader.number("store_starts_per_second", 0.01, kMaxRate);
  settings.store.width = readCount(reader, "store_width", 1, settings.store.width);
  settings.store.bytes_per_second =
      reader.bytes("store_bytes_per_second", 1, kMaxBytes, settings.store.bytes_per_second);
  reader.finish();
}

ExperimentSettings readSettings(SettingsReader reader) {
  ExperimentSettings settings;
  settings.name = reader.text("name");
  settings.seed =
      static_cast<std::uint64_t>(reader.integer("seed", 0, std::numeric_limits<std::int64_t>::max(), 1));
  settings.length = reader.duration("length", minutes(1), hours(24 * 365));
  settings.requests_lead = reader.duration("warm_up", seconds(0), settings.length, seconds(0));
  readCell(reader.section("cell"), settings);
  for (SettingsReader& group : reader.sections("groups")) {
    settings.groups.push_back(readGroup(group));
  }
  SettingsReader policies = reader.section("policies");
  for (const std::string& weight : policies.textList("cold_start_weights")) {
    settings.weights.push_back(std::stod(weight));
  }
  for (const std::string& keep : policies.textList("fixed_keep_alives")) {
    settings.keep_alives.push_back(parseDuration(keep));
  }
  settings.baseline_weight = policies.number("baseline_weight", 0, 1, settings.baseline_weight);
  policies.finish();
  reader.finish();
  if (settings.groups.empty()) {
    throw Error(ResultCode::MissingSetting, "'groups' lists no models", reader.place());
  }
  return settings;
}

}  // namespace

ExperimentSettings readExperimentSettings(const std::string& file) {
  return readSettings(SettingsReader::fromFile(file));
}

ExperimentSettings readExperimentSettingsText(const std::string& text, const std::string& name) {
  return readSettings(SettingsReader::fromText(text, name));
}

}  // namespace ferryrock::load::experiment
