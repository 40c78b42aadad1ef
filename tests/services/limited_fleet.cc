#include "services/limited_fleet.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace ferryrock::services {

LimitedFleet::LimitedFleet(std::size_t router_count, std::size_t replicas, std::uint64_t seed)
    : cluster(3, 1, seed), random_(seed) {
  cluster.on_router_effect = [this](RunningRouter& router, const calls::Effect& effect) {
    onEffect(router, effect);
  };
  REQUIRE(cluster.runUntil([this] { return cluster.leader() != nullptr; }));
  for (std::size_t i = 0; i < replicas; ++i) {
    cluster.schedule(kHeartbeat * i / replicas, [this, i] { sendHeartbeat(i); });
  }
  for (std::size_t i = 0; i < router_count; ++i) {
    routers.push_back(&cluster.addCallRouter("edge-" + std::to_string(i)));
  }
  REQUIRE(cluster.replaceAcknowledged(1));
  cluster.runFor(std::chrono::seconds(9));
}

void LimitedFleet::onEffect(RunningRouter& router, const calls::Effect& effect) {
  if (const auto* sent = std::get_if<calls::SendAttemptEffect>(&effect)) {
    cluster.schedule(kHop, [this, &router, sent = *sent] {
      oracles_[sent.replica.value].callArrived(router.node.value, cluster.now());
      // A response to a former incarnation would be matched to an attempt of the current one.
      cluster.schedule(kServiceTime, [this, &router, sent, incarnation = router.logic.get()] {
        if (router.logic.get() == incarnation) {
          answer(router, sent);
        }
      });
    });
  } else if (const auto* refused = std::get_if<calls::RefuseCallEffect>(&effect)) {
    ++refusals[refused->code];
    max_refusal_time =
        std::max(max_refusal_time, cluster.now() - arrival_times_[{router.node, refused->call}]);
    retry_after.push_back(refused->retry_after);
  }
}

void LimitedFleet::answer(RunningRouter& router, const calls::SendAttemptEffect& sent) {
  calls::ReplicaNotice notice;
  notice.calls_per_second = limits_[sent.replica.value];
  notice.limit_absent = !notice.calls_per_second;
  cluster.schedule(kHop, [this, &router, sent, notice] {
    if (notice.calls_per_second) {
      oracles_[sent.replica.value].limitReceived(router.node.value, cluster.now());
    }
    ++answered;
    cluster.actRouter(router, [attempt = sent.attempt, notice](calls::CallRouter& logic, TimePoint now) {
      calls::Effects effects = logic.onHead(attempt, notice, now);
      calls::Effects rest = logic.onAnswer(attempt, {200, false}, now);
      effects.insert(effects.end(), rest.begin(), rest.end());
      return effects;
    });
  });
}

void LimitedFleet::sendHeartbeat(std::size_t number) {
  cluster.schedule(kHeartbeat, [this, number] { sendHeartbeat(number); });
  for (std::size_t i = 0; i < 3; ++i) {
    ServiceMember& member = cluster.member((number + i) % 3);
    if (member.control) {
      cluster.report(member, makeReport(replicaName(number), "desk", ++sequence_));
      return;
    }
  }
}

void LimitedFleet::setLimit(std::size_t replica, std::optional<double> per_second) {
  limits_[replicaName(replica)] = per_second;
  oracle(replica).limitAnnounced(per_second, cluster.now());
}

void LimitedFleet::callFor(Duration time, double calls_per_second) {
  const TimePoint end = cluster.now() + time;
  while (cluster.now() < end) {
    const double pause = -std::log(1 - random_.unit()) / calls_per_second;
    cluster.runFor(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)));
    call(*routers[random_.below(routers.size())]);
  }
}

void LimitedFleet::call(RunningRouter& router) {
  calls::CallRequest request;
  request.number = calls::CallNumber{++router.calls};
  request.id = RequestId(router.node.value + "-" + std::to_string(router.calls));
  request.host = "example";
  request.path = "/desk/x";
  arrival_times_[{router.node, request.number}] = cluster.now();
  cluster.actRouter(
      router, [request](calls::CallRouter& logic, TimePoint now) { return logic.onCall(request, now); });
}

void LimitedFleet::excludeRouter(std::size_t router, Duration time) {
  for (auto& [replica, oracle] : oracles_) {
    oracle.exclude(routers[router]->node.value, cluster.now(), cluster.now() + time);
  }
}

std::uint64_t LimitedFleet::refused() const {
  std::uint64_t sum = 0;
  for (const auto& [code, count] : refusals) {
    sum += count;
  }
  return sum;
}

}  // namespace ferryrock::services
