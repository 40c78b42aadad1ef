#include "services/retry_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

namespace ferryrock::services {
namespace {

balance::RetryBudgetSettings budget() {
  balance::RetryBudgetSettings settings;
  settings.slack = RetryFleet::kSlack;
  return settings;
}

wire::ServiceCatalog repeatableCalls() {
  wire::ServiceCatalog catalog = makeCatalog(1);
  for (wire::CallRoute& route : catalog.routes) {
    route.kind = wire::CallKind::Repeatable;
    route.timeout_ms = 25'000;
    route.target_latency_ms = 6'000;
    route.max_attempts = 3;
  }
  return catalog;
}

}  // namespace

RetryFleet::RetryFleet(std::size_t router_count, std::size_t replicas, std::uint64_t seed)
    : cluster(kMembers, 1, seed, budget()), oracle(budget()), random(seed) {
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
  REQUIRE(cluster.replaceAcknowledged(repeatableCalls()));
  cluster.runFor(std::chrono::seconds(15));
}

void RetryFleet::onEffect(RunningRouter& router, const calls::Effect& effect) {
  if (const auto* sent = std::get_if<calls::SendAttemptEffect>(&effect)) {
    cluster.schedule(kHop, [this, &router, sent = *sent] { arrive(router, sent); });
  } else if (const auto* probe = std::get_if<calls::ProbeReplicaEffect>(&effect)) {
    cluster.schedule(2 * kHop, [this, &router, replica = probe->replica] {
      cluster.actRouter(router, [replica](calls::CallRouter& logic, TimePoint now) {
        return logic.onProbed(replica, calls::ProbeOutcome::Alive, now);
      });
    });
  } else if (const auto* refused = std::get_if<calls::RefuseCallEffect>(&effect)) {
    ++refusals[refused->code];
  } else if (std::holds_alternative<calls::DeliverAnswerEffect>(effect)) {
    ++answered;
  }
}

void RetryFleet::arrive(RunningRouter& router, const calls::SendAttemptEffect& sent) {
  oracle.arrived(requests_[{router.node, sent.call}], cluster.now());
  const double drawn = random.unit();
  if (cluster.now() < backoff_until_ || drawn < failures.refused) {
    respond(router, sent, 503, true);
  } else if (drawn < failures.refused + failures.failed) {
    respond(router, sent, 500, false);
  } else if (drawn < failures.refused + failures.failed + failures.lost) {
    breakOff(router, sent);
  } else {
    respond(router, sent, 200, false);
  }
}

/// A response to a former incarnation would be matched to an attempt of the current one.
void RetryFleet::respond(RunningRouter& router, const calls::SendAttemptEffect& sent, int status,
                         bool not_run) {
  const auto respond = [this, &router, sent, status, not_run, incarnation = router.logic.get()] {
    if (router.logic.get() != incarnation) {
      return;
    }
    calls::ReplicaNotice notice;
    if (not_run && cluster.now() < backoff_until_) {
      notice.retry_after = backoff_until_ - cluster.now();
    }
    cluster.actRouter(router, [=](calls::CallRouter& logic, TimePoint now) {
      calls::Effects effects = logic.onHead(sent.attempt, notice, now);
      calls::Effects rest = logic.onAnswer(sent.attempt, {status, not_run}, now);
      effects.insert(effects.end(), rest.begin(), rest.end());
      return effects;
    });
  };
  cluster.schedule(not_run ? kHop + queue_time : kServiceTime, respond);
}

void RetryFleet::breakOff(RunningRouter& router, const calls::SendAttemptEffect& sent) {
  cluster.schedule(kServiceTime, [this, &router, sent, incarnation = router.logic.get()] {
    if (router.logic.get() == incarnation) {
      cluster.actRouter(router, [attempt = sent.attempt](calls::CallRouter& logic, TimePoint now) {
        return logic.onFailure(attempt, calls::AttemptFailure::OutcomeUnknown, "the connection broke", now);
      });
    }
  });
}

void RetryFleet::sendHeartbeat(std::size_t number) {
  cluster.schedule(kHeartbeat, [this, number] { sendHeartbeat(number); });
  for (std::size_t i = 0; i < kMembers; ++i) {
    ServiceMember& member = cluster.member((number + i) % kMembers);
    if (member.control) {
      wire::ReplicaReport report = makeReport("r" + std::to_string(number), "desk", ++sequence_);
      report.slots = 64;
      cluster.report(member, report);
      return;
    }
  }
}

void RetryFleet::callFor(Duration time, double calls_per_second) {
  const TimePoint end = cluster.now() + time;
  while (cluster.now() < end) {
    const double pause = -std::log(1 - random.unit()) / calls_per_second;
    cluster.runFor(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)));
    call(*routers[random.below(routers.size())]);
  }
}

void RetryFleet::call(RunningRouter& router) {
  calls::CallRequest request;
  request.number = calls::CallNumber{++router.calls};
  request.id = RequestId("request-" + std::to_string(next_request_++));
  request.host = "example";
  request.path = "/desk/x";
  request.time_limit = std::chrono::seconds(25);
  request.fingerprint = {next_request_, next_request_};
  requests_[{router.node, request.number}] = request.id.value;
  oracle.requestSent(cluster.now());
  cluster.actRouter(
      router, [request](calls::CallRouter& logic, TimePoint now) { return logic.onCall(request, now); });
}

std::vector<RunningRouter*> RetryFleet::chooseRouters(double share) {
  std::vector<RunningRouter*> chosen;
  for (RunningRouter* router : routers) {
    if (random.chance(share)) {
      chosen.push_back(router);
    }
  }
  return chosen;
}

void RetryFleet::restartRouters(double share) {
  for (RunningRouter* router : chooseRouters(share)) {
    cluster.restart(*router);
  }
}

void RetryFleet::cutRoutersOff(double share) {
  for (RunningRouter* router : chooseRouters(share)) {
    cluster.isolate(router->node);
  }
}

void RetryFleet::killMember(std::size_t number, Duration down) {
  ServiceMember& member = cluster.member(number);
  if (member.control) {
    cluster.kill(member);
    cluster.schedule(down, [this, &member] { cluster.start(member); });
  }
}

void RetryFleet::killLeader(Duration down) {
  for (std::size_t i = 0; i < kMembers; ++i) {
    if (&cluster.member(i) == cluster.leader()) {
      killMember(i, down);
      return;
    }
  }
}

}  // namespace ferryrock::services
