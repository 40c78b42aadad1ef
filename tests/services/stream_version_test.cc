#include <catch2/catch.hpp>

#include "services/stream_fleet.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr double kStreamsPerSecond = 25;

/// Six replicas of three versions, two of each.
void addVersions(StreamFleet& fleet, const std::string& service) {
  for (const char* version : {"v1", "v1.1", "v1.2"}) {
    fleet.addReplica(service, version);
    fleet.addReplica(service, version);
  }
  fleet.cluster.runFor(3s);
}

/// Calls the action at intervals, beginning with the first.
void repeat(StreamFleet& fleet, Duration interval, int times, const std::function<void()>& action) {
  for (int i = 1; i <= times; ++i) {
    fleet.cluster.schedule(i * interval, action);
  }
}

std::size_t drawReplica(StreamFleet& fleet) {
  const std::vector<std::size_t> running = fleet.running("llm");
  return running[fleet.random.below(running.size())];
}

/// Disruptions while streams run.
struct StreamEvent {
  const char* name;
  bool in_touch;  ///< routers and members are in touch, so that streams must go on
  void (*trigger)(StreamFleet& fleet);
};

void breakStreams(StreamFleet& fleet) {
  repeat(fleet, 700ms, 12, [&fleet] { fleet.breakStreams(drawReplica(fleet)); });
}
void restartRouters(StreamFleet& fleet) {
  repeat(fleet, 600ms, 14, [&fleet] { fleet.restartRouter(fleet.random.below(fleet.routers.size())); });
}
void crashReplicas(StreamFleet& fleet) {
  repeat(fleet, 1500ms, 6,
         [&fleet] { fleet.crashReplica(drawReplica(fleet), fleet.random.chance(0.5) ? "v1" : "v1.2"); });
}
void loseLeaders(StreamFleet& fleet) {
  restartRouters(fleet);
  repeat(fleet, 3s, 2, [&fleet] {
    for (std::size_t i = 0; i < 3; ++i) {
      if (&fleet.cluster.member(i) == fleet.cluster.leader()) {
        fleet.killMember(i, 1s);
        return;
      }
    }
  });
}
void loseAllMembers(StreamFleet& fleet) {
  restartRouters(fleet);
  repeat(fleet, 4s, 2, [&fleet] { fleet.killAllMembers(500ms); });
}
void losePower(StreamFleet& fleet) {
  fleet.cluster.schedule(4s, [&fleet] {
    fleet.killAllMembers(200ms);
    for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
      fleet.restartRouter(i);
    }
  });
}
void cutRoutersOff(StreamFleet& fleet) {
  breakStreams(fleet);
  restartRouters(fleet);
  repeat(fleet, 2s, 4, [&fleet] { fleet.cutRouterOff(fleet.random.below(fleet.routers.size()), 1500ms); });
}
void changeVersions(StreamFleet& fleet) {
  restartRouters(fleet);
  breakStreams(fleet);
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.cluster.schedule(1500ms * (i + 1), [&fleet, i] {
      fleet.addReplica("llm", "v2");
      fleet.drainReplica(i);
    });
  }
}
void drawSeveral(StreamFleet& fleet) {
  breakStreams(fleet);
  restartRouters(fleet);
  crashReplicas(fleet);
  cutRoutersOff(fleet);
  changeVersions(fleet);
  fleet.cluster.schedule(std::chrono::milliseconds(fleet.random.below(8000)),
                         [&fleet] { fleet.killAllMembers(300ms); });
}

TEST_CASE("An answer holds events of one software version") {
  const auto event = GENERATE(StreamEvent{"replicas break streams off", true, breakStreams},
                              StreamEvent{"replicas start again as another version", true, crashReplicas},
                              StreamEvent{"routers are cut off from members", false, cutRoutersOff},
                              StreamEvent{"replicas are replaced by another version", true, changeVersions});
  const auto seed = GENERATE(range(1, 5));
  INFO(event.name << ", seed " << seed);
  StreamFleet fleet(6, static_cast<std::uint64_t>(seed));
  addVersions(fleet, "llm");
  event.trigger(fleet);
  fleet.streamFor(11s, kStreamsPerSecond);
  fleet.cluster.runFor(5s);
  REQUIRE(fleet.counts.served > 200);
  CHECK(fleet.counts.mixed_answers == 0);
}

TEST_CASE("A stream that callers take up again goes on only at the software version that began it") {
  const auto event = GENERATE(StreamEvent{"replicas break streams off", true, breakStreams},
                              StreamEvent{"routers restart", true, restartRouters},
                              StreamEvent{"replicas start again as another version", true, crashReplicas},
                              StreamEvent{"leaders are lost", true, loseLeaders},
                              StreamEvent{"all members are lost", false, loseAllMembers},
                              StreamEvent{"everything loses power", false, losePower},
                              StreamEvent{"routers are cut off from members", false, cutRoutersOff},
                              StreamEvent{"replicas are replaced by another version", true, changeVersions},
                              StreamEvent{"several disruptions", false, drawSeveral});
  const auto seed = GENERATE(range(1, 5));
  INFO(event.name << ", seed " << seed);
  StreamFleet fleet(6, static_cast<std::uint64_t>(seed));
  addVersions(fleet, "llm");
  event.trigger(fleet);
  fleet.streamFor(11s, kStreamsPerSecond);
  fleet.cluster.runFor(5s);
  const StreamCounts& counts = fleet.counts;
  CAPTURE(counts.begun, counts.served, counts.servable, counts.servable_went_on);
  REQUIRE(counts.begun > 200);
  CHECK(counts.of_versions == 0);
  if (event.in_touch && counts.servable >= 12) {
    const double new_share = static_cast<double>(counts.served) / static_cast<double>(counts.begun);
    const double resumed_share =
        static_cast<double>(counts.servable_went_on) / static_cast<double>(counts.servable);
    CHECK(resumed_share >= new_share / 2);
  }
}

void killCoreAndRouters(StreamFleet& fleet) {
  fleet.killAllMembers(700ms);
  for (std::size_t i = 0; i < fleet.routers.size() / 2; ++i) {
    fleet.restartRouter(i);
  }
}
void losePowerEverywhere(StreamFleet& fleet) {
  fleet.powerOffAllMembers(700ms);
  for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
    fleet.restartRouter(i);
  }
}

TEST_CASE("Streams whose router was lost together with all members go on once the members are back") {
  const auto event =
      GENERATE(StreamEvent{"all members and half of the routers are killed", true, killCoreAndRouters},
               StreamEvent{"everything loses power", true, losePowerEverywhere});
  const auto seed = GENERATE(range(1, 5));
  INFO(event.name << ", seed " << seed);
  StreamFleet fleet(6, static_cast<std::uint64_t>(seed));
  addVersions(fleet, "llm");
  fleet.take_up_delay = 4s;
  fleet.cluster.schedule(4s, [&] { event.trigger(fleet); });
  fleet.streamFor(11s, kStreamsPerSecond);
  fleet.cluster.runFor(8s);
  const StreamCounts& counts = fleet.counts;
  CAPTURE(counts.begun, counts.served, counts.servable, counts.servable_went_on);
  REQUIRE(counts.servable >= 12);
  const double new_share = static_cast<double>(counts.served) / static_cast<double>(counts.begun);
  CHECK(static_cast<double>(counts.servable_went_on) >= static_cast<double>(counts.servable) * new_share / 2);
  CHECK(counts.of_versions == 0);
}

TEST_CASE("A stream that is taken up again stays with the service that began it") {
  const auto seed = GENERATE(range(1, 4));
  INFO("seed " << seed);
  StreamFleet fleet(6, static_cast<std::uint64_t>(seed));
  for (const char* service : {"llm", "other"}) {
    fleet.addReplica(service, "v1");
    fleet.addReplica(service, "v1");
  }
  fleet.cluster.runFor(3s);
  restartRouters(fleet);
  fleet.streamFor(11s, kStreamsPerSecond, "/split/x");
  fleet.cluster.runFor(5s);
  REQUIRE(fleet.counts.taken_up > 20);
  CHECK(fleet.counts.of_services == 0);
  CHECK(fleet.counts.went_on >= fleet.counts.taken_up * 8 / 10);
  const auto llm = static_cast<double>(fleet.begun_by_service["llm"]);
  CHECK(llm / static_cast<double>(fleet.counts.served) == Approx(0.5).margin(0.05));
}

}  // namespace
}  // namespace ferryrock::services
