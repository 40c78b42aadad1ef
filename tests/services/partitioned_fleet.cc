#include "services/partitioned_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

namespace ferryrock::services {
namespace {

std::string replicaName(std::size_t number) {
  return "r" + std::to_string(number);
}

}  // namespace

PartitionedFleet::PartitionedFleet(std::size_t router_count, std::size_t replicas, std::uint64_t seed)
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

void PartitionedFleet::partition(const std::set<std::size_t>& numbers, PartitionKind kind) {
  kind_ = kind;
  for (const std::size_t number : numbers) {
    partitioned_nodes_.insert(routers[number]->node);
  }
  if (kind == PartitionKind::Refused) {
    return;
  }
  for (auto& [link, open] : connections_) {
    if (partitioned_nodes_.contains(link.first)) {
      open.dead = kind == PartitionKind::Silent ? open.dead + open.idle : 0;
      open.idle = 0;
    }
  }
  const std::map<AttemptKey, Running> running = running_;
  for (const auto& [key, attempt] : running) {
    if (partitioned_nodes_.contains(key.first) && !attempt.sent.relay) {
      running_.erase(key);
      fail(*attempt.router, attempt.sent, calls::AttemptFailure::OutcomeUnknown,
           kind == PartitionKind::Silent ? kUnacknowledgedTimeout : kHop);
    }
  }
}

void PartitionedFleet::heal() {
  partitioned_nodes_.clear();
}

void PartitionedFleet::onEffect(RunningRouter& router, const calls::Effect& effect) {
  if (const auto* sent = std::get_if<calls::SendAttemptEffect>(&effect)) {
    send(router, *sent);
  } else if (const auto* cancelled = std::get_if<calls::CancelAttemptEffect>(&effect)) {
    running_.erase({router.node, cancelled->attempt});
  } else if (const auto* delivered = std::get_if<calls::DeliverAnswerEffect>(&effect)) {
    finish({router.node, delivered->call}, true);
  } else if (const auto* refused = std::get_if<calls::RefuseCallEffect>(&effect)) {
    ++refusals[refused->code];
    finish({router.node, refused->call}, false);
  } else if (const auto* probed = std::get_if<calls::ProbeReplicaEffect>(&effect)) {
    probe(router, *probed);
  }
}

void PartitionedFleet::send(RunningRouter& router, const calls::SendAttemptEffect& sent) {
  if (sent.relay) {
    ++relayed;
    cluster.schedule(kHop, [this, &router, sent] { sendRelayed(router, sent); });
  } else {
    sendDirectly(router, sent);
  }
}

RunningRouter& PartitionedFleet::relayOf(const calls::Relay& relay) {
  return **std::find_if(routers.begin(), routers.end(),
                        [&relay](const RunningRouter* router) { return router->node == relay.router; });
}

/// As the production relay does, tells its router whether it reached the replica.
void PartitionedFleet::sendRelayed(RunningRouter& router, const calls::SendAttemptEffect& sent) {
  RunningRouter& relay = relayOf(*sent.relay);
  const std::string address = sent.address;
  if (!relay.logic->relaysAttempts()) {
    fail(router, sent, calls::AttemptFailure::RelayFailed, kHop);
  } else if (!relay.logic->reachesReplicaAt(address, cluster.now())) {
    fail(router, sent, calls::AttemptFailure::NotSent, kHop);
  } else if (isPartitioned(relay)) {
    const Duration delay = kind_ == PartitionKind::Silent ? kRelayConnectTimeout : 2 * kHop;
    fail(router, sent, calls::AttemptFailure::NotSent, delay + kHop);
    cluster.schedule(delay, [this, &relay, address] {
      cluster.actRouter(relay, [address](calls::CallRouter& logic, TimePoint now) {
        return logic.onRelayedForOther(address, false, now);
      });
    });
  } else {
    run(router, sent);
    cluster.actRouter(relay, [address](calls::CallRouter& logic, TimePoint now) {
      return logic.onRelayedForOther(address, true, now);
    });
  }
}

void PartitionedFleet::sendDirectly(RunningRouter& router, const calls::SendAttemptEffect& sent) {
  Connections& open = connections_[{router.node, sent.replica}];
  if (open.dead > 0) {
    --open.dead;
    fail(router, sent, calls::AttemptFailure::OutcomeUnknown, kUnacknowledgedTimeout);
  } else if (open.idle > 0) {
    --open.idle;
    run(router, sent);
  } else if (!isPartitioned(router)) {
    run(router, sent);
  } else {
    fail(router, sent, calls::AttemptFailure::NotSent,
         kind_ == PartitionKind::Silent ? kConnectTimeout : 2 * kHop);
  }
}

void PartitionedFleet::run(RunningRouter& router, const calls::SendAttemptEffect& sent) {
  const AttemptKey key{router.node, sent.attempt};
  running_[key] = {&router, sent};
  ++runs;
  ++runs_by_call[router.node.value + "/" + std::to_string(sent.call.value)];
  cluster.schedule(2 * kHop + kServiceTime, [this, &router, sent] { answer(router, sent); });
}

void PartitionedFleet::silence(std::size_t replica, Duration duration) {
  silent_until_[ReplicaId(replicaName(replica))] = cluster.now() + duration;
}

void PartitionedFleet::answer(RunningRouter& router, const calls::SendAttemptEffect& sent) {
  const auto silent = silent_until_.find(sent.replica);
  if (silent != silent_until_.end() && cluster.now() < silent->second) {
    cluster.schedule(silent->second - cluster.now(), [this, &router, sent] { answer(router, sent); });
    return;
  }
  if (running_.erase({router.node, sent.attempt}) == 0) {
    return;
  }
  connections_[{router.node, sent.replica}].idle += sent.relay ? 0 : 1;
  cluster.actRouter(router, [attempt = sent.attempt](calls::CallRouter& logic, TimePoint now) {
    calls::Effects effects = logic.onHead(attempt, {}, now);
    calls::Effects rest = logic.onAnswer(attempt, {200, false}, now);
    effects.insert(effects.end(), rest.begin(), rest.end());
    return effects;
  });
}

void PartitionedFleet::fail(RunningRouter& router, const calls::SendAttemptEffect& sent,
                            calls::AttemptFailure failure, Duration delay) {
  cluster.schedule(delay, [this, &router, attempt = sent.attempt, failure] {
    cluster.actRouter(router, [attempt, failure](calls::CallRouter& logic, TimePoint now) {
      return logic.onFailure(attempt, failure, "partitioned", now);
    });
  });
}

/// A probe uses a new connection, so that it shows a refusal of the partition as that of a replica.
void PartitionedFleet::probe(RunningRouter& router, const calls::ProbeReplicaEffect& effect) {
  using calls::ProbeOutcome;
  const bool silent = kind_ == PartitionKind::Silent;
  const RunningRouter& prober = effect.relay ? relayOf(*effect.relay) : router;
  const bool partitioned_prober = isPartitioned(prober);
  const ProbeOutcome outcome = !partitioned_prober      ? ProbeOutcome::Alive
                               : silent || effect.relay ? ProbeOutcome::Unknown
                                                        : ProbeOutcome::Refused;
  const Duration delay = partitioned_prober && silent ? kProbeTimeout : 2 * kHop;
  cluster.schedule(delay, [this, &router, replica = effect.replica, outcome] {
    cluster.actRouter(router, [replica, outcome](calls::CallRouter& logic, TimePoint now) {
      return logic.onProbed(replica, outcome, now);
    });
  });
}

void PartitionedFleet::sendHeartbeat(std::size_t number) {
  cluster.schedule(kHeartbeat, [this, number] { sendHeartbeat(number); });
  for (std::size_t i = 0; i < 3; ++i) {
    ServiceMember& member = cluster.member((number + i) % 3);
    if (member.control) {
      cluster.report(member, makeReport(replicaName(number), "desk", ++sequence_));
      return;
    }
  }
}

void PartitionedFleet::callFor(Duration time, double calls_per_second, bool counted) {
  const TimePoint end = cluster.now() + time;
  while (cluster.now() < end) {
    const double pause = -std::log(1 - random_.unit()) / calls_per_second;
    cluster.runFor(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)));
    call(*routers[random_.below(routers.size())], counted);
  }
}

void PartitionedFleet::call(RunningRouter& router, bool counted) {
  calls::CallRequest request;
  request.number = calls::CallNumber{++router.calls};
  request.id = RequestId(router.node.value + "-" + std::to_string(router.calls));
  request.host = "example";
  request.path = "/desk/x";
  request.time_limit = kCallTimeout;
  request.fingerprint = {1, router.calls};
  if (counted) {
    FirstAttempts& group = isPartitioned(router) ? partitioned : others;
    ++group.sent;
    counted_[{router.node, request.number}] = &group;
  }
  cluster.actRouter(
      router, [request](calls::CallRouter& logic, TimePoint now) { return logic.onCall(request, now); });
}

void PartitionedFleet::finish(const CallKey& call, bool served) {
  const auto group = counted_.find(call);
  if (group != counted_.end()) {
    group->second->served += served ? 1 : 0;
    counted_.erase(group);
  }
}

void PartitionedFleet::resetCounts() {
  counted_.clear();
  partitioned = {};
  others = {};
}

std::uint64_t PartitionedFleet::crashesRecorded() const {
  std::uint64_t sum = 0;
  for (const RunningRouter* router : routers) {
    sum += router->logic->counts().replica_crashes;
  }
  return sum;
}

bool PartitionedFleet::unequal() const {
  if (partitioned.sent == 0 || others.sent == 0) {
    return false;
  }
  const double there = static_cast<double>(partitioned.served) / static_cast<double>(partitioned.sent);
  const double elsewhere = static_cast<double>(others.served) / static_cast<double>(others.sent);
  const std::size_t all = partitioned.sent + others.sent;
  return there * 3 < elsewhere * 2 && partitioned.failed() > 10 + all / 50;
}

}  // namespace ferryrock::services
