#include "services/brittle_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

namespace ferryrock::services {

BrittleFleet::BrittleFleet(std::size_t router_count, std::size_t replicas, std::uint64_t seed)
    : cluster(3, 1, seed), random_(seed) {
  cluster.on_router_effect = [this](RunningRouter& router, const calls::Effect& effect) {
    if (const auto* sent = std::get_if<calls::SendAttemptEffect>(&effect)) {
      cluster.schedule(kHop, [this, &router, sent = *sent] { arrive(router, sent); });
    }
  };
  REQUIRE(cluster.runUntil([this] { return cluster.leader() != nullptr; }));
  for (std::size_t i = 0; i < replicas; ++i) {
    cluster.schedule(kHeartbeat * i / replicas, [this, i] { sendHeartbeat(i); });
  }
  for (std::size_t i = 0; i < router_count; ++i) {
    routers_.push_back(&cluster.addCallRouter("edge-" + std::to_string(i)));
  }
  REQUIRE(cluster.replaceAcknowledged(1));
  cluster.runFor(std::chrono::seconds(9));
}

void BrittleFleet::arrive(RunningRouter& router, const calls::SendAttemptEffect& sent) {
  BrittleReplica& replica = replicas_[sent.replica.value];
  const TimePoint now = cluster.now();
  while (!replica.slots_free.empty() && replica.slots_free.front() <= now) {
    replica.slots_free.pop_front();
  }
  if (replica.slots_free.size() >= kSlots + queue_) {
    refuse(replica);
    constexpr bool kRefused = true;
    cluster.schedule(kHop, [this, &router, sent] { respond(router, sent, kRefused); });
    return;
  }
  const std::size_t running = replica.slots_free.size();
  const TimePoint begin = running < kSlots ? now : replica.slots_free[running - kSlots];
  replica.slots_free.push_back(begin + kServiceTime);
  cluster.schedule(begin + kServiceTime - now + kHop,
                   [this, &router, sent] { respond(router, sent, false); });
}

void BrittleFleet::refuse(BrittleReplica& replica) {
  const TimePoint now = cluster.now();
  replica.refusals.push_back(now);
  while (now - replica.refusals.front() >= std::chrono::seconds(1)) {
    replica.refusals.pop_front();
  }
  worst_second_ = std::max(worst_second_, replica.refusals.size());
  if (brittle_ && static_cast<double>(replica.refusals.size()) > *brittle_) {
    ++falls_;
    replica.refusals.clear();
  }
}

void BrittleFleet::respond(RunningRouter& router, const calls::SendAttemptEffect& sent, bool refused) {
  calls::ReplicaNotice notice;
  notice.brittle_refusals = brittle_;
  notice.brittle_absent = !brittle_;
  notice.limit_absent = !refused;
  served += refused ? 0 : 1;
  cluster.actRouter(router,
                    [attempt = sent.attempt, notice, refused](calls::CallRouter& logic, TimePoint now) {
                      calls::Effects effects = logic.onHead(attempt, notice, now);
                      calls::Effects rest = logic.onAnswer(attempt, {refused ? 503 : 200, refused}, now);
                      effects.insert(effects.end(), rest.begin(), rest.end());
                      return effects;
                    });
}

void BrittleFleet::sendHeartbeat(std::size_t number) {
  cluster.schedule(kHeartbeat, [this, number] { sendHeartbeat(number); });
  for (std::size_t i = 0; i < 3; ++i) {
    ServiceMember& member = cluster.member((number + i) % 3);
    if (member.control) {
      cluster.report(member, makeReport("r" + std::to_string(number), "desk", ++sequence_));
      return;
    }
  }
}

void BrittleFleet::callFor(Duration time, double calls_per_second) {
  const TimePoint end = cluster.now() + time;
  while (cluster.now() < end) {
    const double pause = -std::log(1 - random_.unit()) / calls_per_second;
    cluster.runFor(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)));
    call(*routers_[random_.below(routers_.size())]);
  }
}

void BrittleFleet::call(RunningRouter& router) {
  calls::CallRequest request;
  request.number = calls::CallNumber{++router.calls};
  request.id = RequestId(router.node.value + "-" + std::to_string(router.calls));
  request.host = "example";
  request.path = "/desk/x";
  request.fingerprint = {2, router.calls};
  cluster.actRouter(
      router, [request](calls::CallRouter& logic, TimePoint now) { return logic.onCall(request, now); });
}

void BrittleFleet::resetCounts() {
  worst_second_ = 0;
  falls_ = 0;
  served = 0;
  for (auto& [id, replica] : replicas_) {
    replica.refusals.clear();
  }
}

}  // namespace ferryrock::services
