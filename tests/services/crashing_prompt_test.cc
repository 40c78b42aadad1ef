/// Calls that are never alike and share a part of their prompts which crashes every replica that begins to
/// answer it, beside sound calls that share the calls' other parts.
#include <catch2/catch.hpp>
#include <functional>
#include <vector>

#include "services/crashing_fleet.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr Duration kContactTime = 3s;
constexpr Duration kPlayTime = 30s;
/// Calls with the crashing part that may reach replicas later than kContactTime after the fifth crash.
constexpr std::size_t kMaxLateDispatches = 3;

CrashingFleetSettings promptSettings(std::uint64_t seed) {
  CrashingFleetSettings settings;
  settings.seed = seed;
  settings.replicas = 9;
  settings.work = 3s;
  settings.until_first_event = 400ms;
  settings.until_crash = 100ms;
  settings.down_for = 4s;
  return settings;
}

/// Time from which sound calls must be served again: twice kContactTime after the fifth crash, or the last
/// one if there were fewer.
TimePoint recoveredAt(const CrashingFleet& fleet) {
  constexpr std::size_t kFifth = 5;
  const std::vector<TimePoint>& crashes = fleet.dispatchesOfPart().crashes;
  return crashes[std::min(kFifth, crashes.size()) - 1] + 2 * kContactTime;
}

struct PromptLoad {
  const char* name;
  PromptMix mix;
};

std::vector<PromptLoad> promptLoads() {
  PromptMix frequent;
  frequent.crashing_interval = 125ms;
  PromptMix rare;
  rare.crashing_interval = 1s;
  PromptMix first;
  first.crashing_first = true;
  return {{"3 crashing calls a second", {}},
          {"8 crashing calls a second", frequent},
          {"1 crashing call a second", rare},
          {"the crashing part in first place", first}};
}

TEST_CASE("A prompt part that has crashed five replicas in calls that differ reaches three more at most") {
  for (const PromptLoad& load : promptLoads()) {
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
      INFO(load.name << ", seed " << seed);
      CrashingFleet fleet(promptSettings(seed));
      fleet.beginSoundPrompts(load.mix, kPlayTime);
      fleet.cluster.runFor(2s);
      fleet.beginCrashingPrompts(load.mix, kPlayTime - 2s);
      fleet.cluster.runFor(kPlayTime);
      REQUIRE(fleet.dispatchesOfPart().crashes.size() >= 3);
      CHECK(fleet.partDispatchesAfterFifthCrash(kContactTime) <= kMaxLateDispatches);
    }
  }
}

TEST_CASE(
    "Sound calls that share their first part with crashing ones are served again after the fifth crash") {
  for (const PromptLoad& load : promptLoads()) {
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
      INFO(load.name << ", seed " << seed);
      CrashingFleet undisturbed(promptSettings(seed));
      undisturbed.beginSoundPrompts(load.mix, kPlayTime);
      undisturbed.cluster.runFor(kPlayTime);
      CrashingFleet fleet(promptSettings(seed));
      fleet.beginSoundPrompts(load.mix, kPlayTime);
      fleet.cluster.runFor(2s);
      fleet.beginCrashingPrompts(load.mix, kPlayTime - 2s);
      fleet.cluster.runFor(kPlayTime);
      REQUIRE(fleet.dispatchesOfPart().crashes.size() >= 3);
      for (const std::string first : {"first-0", "first-1"}) {
        CHECK(fleet.beganShare(first, recoveredAt(fleet)) >=
              undisturbed.beganShare(first, recoveredAt(fleet)) / 2);
      }
    }
  }
}

TEST_CASE("A crashing prompt part is contained while members and routers fail") {
  for (const ContainmentFault& fault : containmentFaults()) {
    for (const Duration before : {0ms, 300ms, 1000ms, 3000ms}) {
      INFO(fault.name << ", " << toMilliseconds(before) << " ms after the first call with the part");
      CrashingFleet fleet(promptSettings(21 + static_cast<std::uint64_t>(toMilliseconds(before))));
      const PromptMix mix;
      fleet.beginSoundPrompts(mix, kPlayTime);
      fleet.cluster.runFor(2s);
      fleet.beginCrashingPrompts(mix, kPlayTime - 2s);
      fleet.cluster.runFor(before);
      fault.begin(fleet);
      fleet.cluster.runFor(kPlayTime - before);
      REQUIRE(fleet.dispatchesOfPart().crashes.size() >= 3);
      CHECK(fleet.partDispatchesAfterFifthCrash(kContactTime) <= kMaxLateDispatches);
      const TimePoint in_touch =
          std::max(recoveredAt(fleet), fleet.ready_at + 2s + before + 2 * kContactTime);
      for (const std::string first : {"first-0", "first-1"}) {
        CHECK(fleet.beganShare(first, in_touch) >= 0.5);
      }
    }
  }
}

TEST_CASE("A crashing prompt part is contained in a fleet of 92 routers") {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    CAPTURE(seed);
    CrashingFleetSettings settings = promptSettings(seed);
    settings.routers = 92;
    settings.replicas = 40;
    CrashingFleet fleet(settings);
    PromptMix mix;
    mix.sound_interval = 30ms;
    mix.crashing_interval = 125ms;
    fleet.beginSoundPrompts(mix, kPlayTime);
    fleet.cluster.runFor(2s);
    fleet.beginCrashingPrompts(mix, kPlayTime - 2s);
    fleet.cluster.runFor(kPlayTime);
    REQUIRE(fleet.dispatchesOfPart().crashes.size() >= 3);
    CHECK(fleet.partDispatchesAfterFifthCrash(kContactTime) <= kMaxLateDispatches);
    for (const std::string first : {"first-0", "first-1"}) {
      CHECK(fleet.beganShare(first, recoveredAt(fleet)) >= 0.5);
    }
  }
}

TEST_CASE("Trials of a crashing prompt part aren't granted anew when all members and routers restart") {
  CrashingFleet fleet(promptSettings(5));
  const PromptMix mix;
  fleet.beginSoundPrompts(mix, kPlayTime);
  fleet.cluster.runFor(2s);
  fleet.beginCrashingPrompts(mix, kPlayTime);
  for (int restarts = 0; restarts < 3; ++restarts) {
    fleet.cluster.runFor(8s);
    for (std::size_t i = 0; i < 3; ++i) {
      fleet.cluster.powerOff(fleet.cluster.member(i));
    }
    for (RunningRouter* router : fleet.routers) {
      fleet.cluster.restart(*router);
    }
    for (std::size_t i = 0; i < 3; ++i) {
      fleet.cluster.start(fleet.cluster.member(i));
    }
  }
  fleet.cluster.runFor(8s);
  REQUIRE(fleet.dispatchesOfPart().crashes.size() >= 3);
  constexpr std::size_t kAcceptedCrashes = 5;
  CHECK(fleet.dispatchesOfPart().dispatches.size() <= kAcceptedCrashes + kMaxLateDispatches);
}

TEST_CASE("A prompt part that no longer crashes replicas is released by a trial") {
  CrashingFleet fleet(promptSettings(6));
  const PromptMix mix;
  fleet.beginSoundPrompts(mix, 20min);
  fleet.beginCrashingPrompts(mix, 20min);
  fleet.cluster.runFor(10s);
  REQUIRE(fleet.dispatchesOfPart().crashes.size() >= 3);
  fleet.mendCrashingPart();
  fleet.cluster.runFor(15min);
  for (RunningRouter* router : fleet.routers) {
    CHECK(router->logic->crashLedger().quarantined().empty());
  }
}

}  // namespace
}  // namespace ferryrock::services
