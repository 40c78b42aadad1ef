#include <catch2/catch.hpp>

#include "common/error.h"
#include "service_process/member_identity.h"
#include "service_process/service_settings.h"
#include "storage/memory_file_system.h"

namespace ferryrock::service_process {
namespace {

const std::string kRouter =
    "node: edge-1\nhost: 10.0.0.9\ninternal_port: 7000\nseeds: [\"10.0.0.1:80\", \"10.0.0.2:80\"]\n"
    "listen_calls: 10.0.0.9:8000\nlisten_status: 10.0.0.9:8001\nretry_slack: 52\nretry_window: 10s\n";

TEST_CASE("Router settings are read, and seeds are converted to internal addresses") {
  SettingsReader reader = SettingsReader::fromText(kRouter, "settings");
  const CallRouterProcessSettings settings = readCallRouterSettings(reader);
  CHECK(settings.retries.slack == 52);
  CHECK(settings.seedNodes() == std::vector<NodeName>{NodeName("10.0.0.1:7000"), NodeName("10.0.0.2:7000")});
}

TEST_CASE("Each placement mechanism is enabled unless the settings disable it") {
  const std::string control =
      "node: core-1\nhost: 10.0.0.1\ninternal_port: 7000\nseeds: [\"10.0.0.1:80\"]\n"
      "listen_control: 10.0.0.1:80\nlisten_directory: 10.0.0.1:81\ndata_folder: data\n";
  SettingsReader plain = SettingsReader::fromText(control, "settings");
  const services::PlacementSwitches on = readServiceControlSettings(plain).placement;
  CHECK((on.estimated_store_width && on.local_weights_first && on.expected_times && on.prompt_inspections));
  SettingsReader switched =
      SettingsReader::fromText(control + "placement_near_weights_first: false\n", "settings");
  const services::PlacementSwitches off = readServiceControlSettings(switched).placement;
  CHECK_FALSE(off.local_weights_first);
  CHECK((off.estimated_store_width && off.expected_times && off.prompt_inspections));
}

TEST_CASE(
    "Loads are published to routers only if the settings enable it, and a non-boolean value is refused") {
  const std::string control =
      "node: core-1\nhost: 10.0.0.1\ninternal_port: 7000\nseeds: [\"10.0.0.1:80\"]\n"
      "listen_control: 10.0.0.1:80\nlisten_directory: 10.0.0.1:81\ndata_folder: data\n";
  SettingsReader plain = SettingsReader::fromText(control, "settings");
  CHECK_FALSE(readServiceControlSettings(plain).publishes_loads);
  SettingsReader on = SettingsReader::fromText(control + "balance_by_fleet_load: true\n", "settings");
  CHECK(readServiceControlSettings(on).publishes_loads);
  SettingsReader broken = SettingsReader::fromText(control + "balance_by_fleet_load: 7\n", "settings");
  CHECK_THROWS_AS(readServiceControlSettings(broken), Error);
}

TEST_CASE("What may be kept for clients follows from the memory and the descriptors of the process") {
  SettingsReader router =
      SettingsReader::fromText(kRouter + "memory_limit: 120MB\ndescriptor_limit: 4100\n", "settings");
  const http::ClientLimits limits = readCallRouterSettings(router).clientLimits();
  CHECK(limits.memory_bytes == 45'000'000);
  CHECK(limits.connections == 3075);
  const std::string control =
      "node: core-1\nhost: 10.0.0.1\ninternal_port: 7000\nseeds: [\"10.0.0.1:80\"]\nmemory_limit: 256MB\n"
      "listen_control: 10.0.0.1:80\nlisten_directory: 10.0.0.1:81\ndata_folder: data\n";
  SettingsReader member = SettingsReader::fromText(control, "settings");
  const ServiceControlProcessSettings settings = readServiceControlSettings(member);
  CHECK(settings.clientLimits().memory_bytes == 96'000'000);
  CHECK(settings.max_body_bytes == 48'000'000);
  SettingsReader too_large = SettingsReader::fromText(control + "max_body_bytes: 64MB\n", "settings");
  CHECK_THROWS_AS(readServiceControlSettings(too_large), Error);
  SettingsReader too_small = SettingsReader::fromText(kRouter + "memory_limit: 20MB\n", "settings");
  CHECK_THROWS_AS(readCallRouterSettings(too_small), Error);
}

TEST_CASE("An unknown, missing or invalid setting is refused with an error that names the settings source") {
  for (const std::string& text :
       {kRouter + "unknown: 1\n", std::string("node: edge-1\n"), kRouter + "stop_limit: 8\n",
        kRouter + "retry_share: -1\n", std::string("node: [\n")}) {
    INFO(text);
    try {
      SettingsReader reader = SettingsReader::fromText(text, "settings");
      readCallRouterSettings(reader);
      FAIL("invalid settings were accepted");
    } catch (const Error& fault) {
      CHECK(std::string(fault.what()).find("settings") != std::string::npos);
    }
  }
}

TEST_CASE("An identity is generated once per disk, and founders know each other's identities") {
  const std::vector<SeedMember> seeds = {{NodeName("a:1"), "a:80"}, {NodeName("b:1"), "b:80"}};
  storage::MemoryDisk first(1);
  storage::MemoryDisk second(2);
  storage::MemoryDisk joining(3);
  constexpr bool kBootstrap = true;
  const auto identity = [&](storage::MemoryDisk& disk, const char* self, bool bootstrap,
                            std::uint64_t random) {
    return loadIdentity(*disk.open(), NodeName(self), seeds, bootstrap, random);
  };
  const MemberIdentity a = identity(first, "a:1", kBootstrap, 10);
  const MemberIdentity b = identity(second, "b:1", kBootstrap, 20);
  CHECK(a.founders == b.founders);
  CHECK(a.founders[1].id == b.id);
  CHECK(a.founders[1].http == "b:80");
  CHECK(identity(joining, "c:1", kBootstrap, 30).founders.empty());
  first.crash();
  CHECK(identity(first, "a:1", !kBootstrap, 40) == a);
  first.wipe();
  const MemberIdentity emptied = identity(first, "a:1", !kBootstrap, 50);
  CHECK(emptied.founders.empty());
  CHECK(emptied.id != a.id);
}

}  // namespace
}  // namespace ferryrock::service_process
