#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "services/service_cluster.h"
#include "wire/replica_incarnation.h"

/// Tests that routers balance calls by the load and speed of replicas as aggregated over all routers, and by
/// their own calls alone when no aggregate arrives.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr Duration kNetworkDelay = 1ms;
constexpr Duration kFirstEventDelay = 20ms;
constexpr Duration kQuickGap = 30ms;
constexpr Duration kSlowGap = 66ms;
constexpr int kEvents = 20;

/// One quick and two slow replicas of one model, six routers, and streams that arrive at random routers.
class UnevenFleet {
 public:
  explicit UnevenFleet(std::uint64_t seed) : cluster(3, 1, seed), random_(seed) {
    cluster.publishes_loads = true;
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.kill(cluster.member(i));
      cluster.start(cluster.member(i));
    }
    cluster.on_router_effect = [this](RunningRouter& router, const calls::Effect& effect) {
      onEffect(router, effect);
    };
    for (int i = 0; i < 6; ++i) {
      routers.push_back(&cluster.addCallRouter("edge-" + std::to_string(i)));
    }
    wire::ServiceCatalog catalog = makeCatalog(1);
    for (wire::CallRoute& route : catalog.routes) {
      route.kind = wire::CallKind::Streaming;
      route.timeout_ms = 20'000;
    }
    REQUIRE(cluster.replaceAcknowledged(catalog));
    for (const char* name : {"quick", "slow-1", "slow-2"}) {
      starts_[name] = 1000;
      reportPeriodically(name, 1);
    }
    cluster.runFor(2s);
    submitCalls();
  }

  /// Restarts the replica, which then is as quick as the quick one.
  void restartAsQuick(const std::string& name) {
    starts_[name] += 1000;
    restarted_quick_ = name;
  }
  /// Share of the streams started within the next `time` that went to the quick replica.
  double quickShare(Duration time) {
    const std::map<std::string, std::size_t> before = sent_;
    cluster.runFor(time);
    std::size_t all = 0;
    for (const auto& [name, count] : sent_) {
      all += count - (before.contains(name) ? before.at(name) : 0);
    }
    const std::size_t quick = sent_["quick"] - (before.contains("quick") ? before.at("quick") : 0);
    return static_cast<double>(quick) / static_cast<double>(std::max<std::size_t>(1, all));
  }
  std::size_t balanced() const {
    std::size_t sum = 0;
    for (const RunningRouter* router : routers) {
      sum += router->log.balanced;
    }
    return sum;
  }
  std::size_t sentTo(const std::string& name) { return sent_[name]; }

  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
  std::size_t refused = 0;
  std::size_t ended = 0;

 private:
  void reportPeriodically(const std::string& name, std::uint64_t sequence) {
    for (std::size_t i = 0; i < 3; ++i) {
      if (cluster.member(i).control) {
        wire::ReplicaReport report = makeReport(name, "llm", sequence);
        report.id = wire::replicaIncarnationId(name, starts_.at(name));
        report.slots = 64;
        report.held = {{ModelName("m0"), {}}};
        cluster.report(cluster.member(i), report);
      }
    }
    cluster.schedule(500ms, [this, name, sequence] { reportPeriodically(name, sequence + 1); });
  }
  void submitCalls() {
    RunningRouter& router = *routers[random_.below(routers.size())];
    calls::CallRequest request;
    request.number = calls::CallNumber{++router.calls};
    request.id = RequestId("call-" + std::to_string(router.calls));
    request.host = "example";
    request.path = "/llm/x";
    request.model = ModelName("m0");
    request.prompt_tokens = 600;
    cluster.actRouter(router, [request](calls::CallRouter& logic, TimePoint now) mutable {
      return logic.onCall(std::move(request), now);
    });
    cluster.schedule(40ms, [this] { submitCalls(); });
  }
  void onEffect(RunningRouter& router, const calls::Effect& effect) {
    refused += std::holds_alternative<calls::RefuseCallEffect>(effect) ? 1 : 0;
    ended += std::holds_alternative<calls::FinishStreamEffect>(effect) ? 1 : 0;
    if (const auto* send = std::get_if<calls::SendAttemptEffect>(&effect)) {
      const std::string name = wire::replicaName(send->replica);
      ++sent_[name];
      const bool quick = name == "quick" || name == restarted_quick_;
      event(router, send->attempt, 1, quick ? kQuickGap : kSlowGap, kNetworkDelay + kFirstEventDelay);
    }
  }
  void event(RunningRouter& router, calls::AttemptNumber attempt, int number, Duration gap, Duration delay) {
    cluster.schedule(delay, [this, &router, attempt, number, gap] {
      cluster.actRouter(router, [attempt, number](calls::CallRouter& logic, TimePoint now) {
        return number > kEvents ? logic.onStreamEnd(attempt, now)
                                : logic.onStreamEvent(attempt, static_cast<std::uint64_t>(number), "x", now);
      });
      if (number <= kEvents) {
        event(router, attempt, number + 1, gap, gap);
      }
    });
  }

  Random random_;
  std::map<std::string, std::uint64_t> starts_;
  std::map<std::string, std::size_t> sent_;
  std::string restarted_quick_;
};

constexpr double kMinQuickShare = 0.6;

TEST_CASE("Routers that each see few streams learn together which replica is quick") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 5));
  UnevenFleet fleet(seed);
  fleet.cluster.runFor(10s);
  CHECK(fleet.quickShare(10s) >= kMinQuickShare);
  CHECK(fleet.balanced() > 100);
  CHECK(fleet.refused == 0);
  // The slow replicas still get the calls that would have to wait at the quick one.
  CHECK(fleet.sentTo("slow-1") + fleet.sentTo("slow-2") > 10);
}

TEST_CASE("Calls are served while a failure stops load updates, and balancing resumes afterwards") {
  struct Fault {
    const char* name;
    std::function<void(UnevenFleet&)> inject;
    std::function<void(UnevenFleet&)> recover;
  };
  const std::vector<Fault> faults = {
      {"leader killed", [](UnevenFleet& fleet) { fleet.cluster.kill(*fleet.cluster.leader()); },
       [](UnevenFleet&) {}},
      {"all members lose power",
       [](UnevenFleet& fleet) {
         for (std::size_t i = 0; i < 3; ++i) {
           fleet.cluster.powerOff(fleet.cluster.member(i));
         }
       },
       [](UnevenFleet& fleet) {
         for (std::size_t i = 0; i < 3; ++i) {
           fleet.cluster.start(fleet.cluster.member(i));
         }
       }},
      {"router isolated for 30 s",
       [](UnevenFleet& fleet) {
         fleet.cluster.isolate(fleet.routers[0]->node);
         fleet.cluster.runFor(25s);
       },
       [](UnevenFleet& fleet) { fleet.cluster.heal(); }}};
  for (const Fault& fault : faults) {
    INFO(fault.name);
    UnevenFleet fleet(3);
    fleet.cluster.runFor(10s);
    const std::size_t ended = fleet.ended;
    fault.inject(fleet);
    fleet.cluster.runFor(5s);
    CHECK(fleet.refused == 0);
    CHECK(fleet.ended > ended + 80);
    const std::size_t cut_off = fleet.routers[0]->log.balanced;
    fault.recover(fleet);
    fleet.cluster.runFor(20s);
    CHECK(fleet.refused == 0);
    CHECK(fleet.routers[0]->log.balanced > cut_off);
    CHECK(fleet.quickShare(10s) >= kMinQuickShare);
  }
}

TEST_CASE("A router without load updates for 2.5 s balances by its own calls alone") {
  UnevenFleet fleet(2);
  fleet.cluster.runFor(10s);
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.cluster.powerOff(fleet.cluster.member(i));
  }
  fleet.cluster.runFor(3s);
  const std::size_t balanced = fleet.balanced();
  fleet.cluster.runFor(3s);
  CHECK(fleet.balanced() == balanced);
  CHECK(fleet.refused == 0);
}

/// With 200 routers and 100 replicas that all serve calls, each round of load updates would have 20,000
/// entries.
TEST_CASE("No load updates are sent to a fleet too large to receive them in time") {
  ServiceCluster cluster(3, 1, 1);
  cluster.publishes_loads = true;
  for (std::size_t i = 0; i < 3; ++i) {
    cluster.kill(cluster.member(i));
    cluster.start(cluster.member(i));
  }
  REQUIRE(cluster.replaceAcknowledged(1));
  constexpr int kRouters = 200;
  std::vector<ScriptedRouter*> routers;
  routers.reserve(kRouters);
  for (int i = 0; i < kRouters; ++i) {
    routers.push_back(&cluster.addRouter("edge-" + std::to_string(i)));
  }
  const auto serve = [&](std::uint32_t replicas) {
    for (ScriptedRouter* router : routers) {
      router->status.local_loads.clear();
      for (std::uint32_t replica = 1; replica <= replicas; ++replica) {
        router->status.local_loads.push_back({replica, 1, 0, 0});
      }
    }
    cluster.runFor(4s);
    const std::size_t before = cluster.load_updates_sent;
    cluster.runFor(4s);
    return cluster.load_updates_sent - before;
  };
  CHECK(serve(100) == 0);
  CHECK(serve(20) > 200);
}

TEST_CASE("A slow replica isn't treated as slow after it restarts") {
  UnevenFleet fleet(4);
  fleet.cluster.runFor(10s);
  fleet.restartAsQuick("slow-1");
  fleet.cluster.runFor(2s);
  const std::size_t before = fleet.sentTo("slow-1");
  const std::size_t other = fleet.sentTo("slow-2");
  fleet.cluster.runFor(15s);
  CHECK(fleet.sentTo("slow-1") - before > 3 * (fleet.sentTo("slow-2") - other));
}

}  // namespace
}  // namespace ferryrock::services
