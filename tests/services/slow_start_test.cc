#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "services/service_cluster.h"

/// Tests how calls of many routers together are distributed to replicas that are slow for some seconds after
/// their start.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kReplicas = 6;
constexpr std::size_t kRouters = 40;
constexpr std::int64_t kSlowMs = 3000;

/// Routers that share six replicas of a service without models.
struct SlowStartFleet {
  SlowStartFleet() : cluster(3, 1) {
    cluster.on_router_effect = [this](RunningRouter& router, const calls::Effect& effect) {
      if (const auto* sent = std::get_if<calls::SendAttemptEffect>(&effect)) {
        ++sent_to[sent->replica];
        cluster.schedule(100ms, [this, &router, attempt = sent->attempt] {
          cluster.actRouter(router, [attempt](calls::CallRouter& logic, TimePoint now) {
            return logic.onAnswer(attempt, {200, false}, now);
          });
        });
      }
    };
    REQUIRE(cluster.runUntil([this] { return cluster.leader() != nullptr; }));
    for (std::size_t i = 0; i < kReplicas; ++i) {
      cluster.schedule(100ms * i, [this, i] { reportPeriodically(i); });
    }
    for (std::size_t i = 0; i < kRouters; ++i) {
      routers.push_back(&cluster.addCallRouter("edge-" + std::to_string(i)));
    }
    REQUIRE(cluster.replaceAcknowledged(1));
    cluster.runFor(9s);
  }
  static ReplicaId idOf(std::size_t number) { return ReplicaId("r" + std::to_string(number)); }
  void reportPeriodically(std::size_t number) {
    if (!gone.contains(number)) {
      wire::ReplicaReport report = makeReport(idOf(number).value, "desk", ++sequence);
      const auto slow = slow_until.find(number);
      const TimePoint now = cluster.now();
      report.slow_start_ms =
          slow != slow_until.end() && now < slow->second ? toMilliseconds(slow->second - now) : 0;
      cluster.report(*cluster.leader(), report);
    }
    cluster.schedule(1s, [this, number] { reportPeriodically(number); });
  }
  /// The replica becomes slow and reports it immediately.
  void beginSlowStart(std::size_t number) {
    slow_until[number] = cluster.now() + std::chrono::milliseconds(kSlowMs);
    gone.erase(number);
    wire::ReplicaReport report = makeReport(idOf(number).value, "desk", ++sequence);
    report.slow_start_ms = kSlowMs;
    cluster.report(*cluster.leader(), report);
  }
  /// Sends calls from all routers, about 120 per second, for the given time.
  void callFor(Duration time) {
    for (Duration passed{}; passed < time; passed += 330ms) {
      for (RunningRouter* router : routers) {
        calls::CallRequest request;
        request.number = calls::CallNumber{++router->calls};
        request.id = RequestId("call-" + std::to_string(router->calls));
        request.host = "example";
        request.path = "/desk/x";
        cluster.actRouter(*router, [request](calls::CallRouter& logic, TimePoint now) {
          return logic.onCall(request, now);
        });
        cluster.runFor(8ms);
      }
    }
  }
  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
  std::map<ReplicaId, std::size_t> sent_to;
  std::map<std::size_t, TimePoint> slow_until;
  std::set<std::size_t> gone;
  std::uint64_t sequence = 0;
};

TEST_CASE("A slow-starting replica gets no calls until its slow start ends if others have capacity") {
  SlowStartFleet fleet;
  fleet.callFor(2s);
  fleet.beginSlowStart(0);
  fleet.cluster.runFor(100ms);
  fleet.sent_to.clear();
  fleet.callFor(2500ms);
  CHECK(fleet.sent_to[SlowStartFleet::idOf(0)] == 0);
  fleet.cluster.runFor(1s);
  fleet.sent_to.clear();
  fleet.callFor(2s);
  CHECK(fleet.sent_to[SlowStartFleet::idOf(0)] > 0);
}

TEST_CASE("Replicas still get calls if all of them are in slow start") {
  SlowStartFleet fleet;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    fleet.beginSlowStart(i);
  }
  fleet.cluster.runFor(100ms);
  fleet.sent_to.clear();
  fleet.callFor(1s);
  std::size_t sent = 0;
  for (const auto& [replica, calls] : fleet.sent_to) {
    sent += calls;
  }
  CHECK(sent >= kRouters);
  for (RunningRouter* router : fleet.routers) {
    CHECK(router->logic->counts().refused == 0);
  }
}

}  // namespace
}  // namespace ferryrock::services
