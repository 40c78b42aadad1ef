#include <algorithm>
#include <utility>

#include "calls/call_router.h"

/// The part of CallRouter that tracks how replicas can be reached: over this router's own connections, or
/// through other routers, which relay attempts while the router is partitioned from the replicas.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// Minimum interval between two probes of connections, so that replicas aren't probed all at once when a
/// partition ends.
constexpr Duration kPathProbeInterval = 100ms;
/// The caller of a router that reaches no replica may go to another router at once.
constexpr Duration kRetryElsewhere = 10ms;

}  // namespace

bool CallRouter::isSuspect(const ServiceName& service, TimePoint now) const {
  const auto paths = paths_.find(service);
  return paths != paths_.end() && paths->second.isSuspect(now);
}

/// A service without traffic since a partition began doesn't count: nothing is known of its replicas.
bool CallRouter::isPartitioned() const {
  return std::any_of(paths_.begin(), paths_.end(), [this](const auto& item) {
    const DirectPaths& lost = item.second;
    return lost.isPartitioned() && std::all_of(paths_.begin(), paths_.end(), [&lost](const auto& other) {
             return &other.second == &lost || other.second.lastProgress() < lost.unreachableSince();
           });
  });
}

bool CallRouter::reachesReplicaAt(const std::string& address, TimePoint now) const {
  const Replica* replica = replicas_.findByAddress(address);
  return replica == nullptr || (!replica->probe_at && !isSuspect(replica->routed.service, now));
}

bool CallRouter::hasOpenConnections(const ServiceName& service, const ReplicaId& other_than) const {
  const auto paths = paths_.find(service);
  return paths != paths_.end() && paths->second.anyOpenTo(other_than);
}

bool CallRouter::trustsRefusal(const std::string& address) const {
  const Replica* replica = replicas_.findByAddress(address);
  if (replica == nullptr) {
    return !isPartitioned();
  }
  const ServiceName& service = replica->routed.service;
  if (hasOpenConnections(service, replica->routed.id)) {
    return true;
  }
  const bool other_doubts = std::any_of(
      pending_probes_.begin(), pending_probes_.end(),
      [&](const auto& item) { return item.second.service == service && item.second.address != address; });
  const auto paths = paths_.find(service);
  return !other_doubts && (paths == paths_.end() || paths->second.unreachableCount() == 0);
}

/// Without relays the router's own connections are tried even if they are in doubt.
void CallRouter::updatePaths(TimePoint now) {
  AvailablePaths available;
  available.relayed = relays_.anyAvailable({}, now);
  for (const auto& [service, paths] : paths_) {
    const bool relayed = relays_.anyAvailable(service, now);
    if (!relayed) {
      available.not_relayed.insert(service);
    } else if (paths.isSuspect(now)) {
      available.suspect.insert(service);
    }
  }
  replicas_.setPaths(available);
}

std::optional<Relay> CallRouter::chooseRelay(const ServiceName& service, TimePoint now) const {
  const std::optional<wire::RelayRouter> relay = relays_.choose(service, now);
  return relay ? std::optional(Relay{relay->router, relay->address}) : std::nullopt;
}

void CallRouter::recordProgress(const Call& call, TimePoint now) {
  const Attempt& attempt = *call.attempt;
  Replica* replica = replicas_.find(attempt.replica);
  if (attempt.relay) {
    relays_.onForwarded(*attempt.relay, call.need.service);
    const bool first = replica != nullptr && ReplicaTable::onRelayedProgress(*replica, now);
    dispatch_pending_ = dispatch_pending_ || first;
    return;
  }
  paths_[call.need.service].onProgress(now);
  const bool first = replica != nullptr && replicas_.onProgress(*replica, now);
  dispatch_pending_ = dispatch_pending_ || first;
}

/// An unreachable replica isn't ejected while it can be reached through relays.
void CallRouter::recordPathFailure(const Attempt& attempt, AttemptFailure failure, const ServiceName& service,
                                   const std::string& address, TimePoint now) {
  Replica* replica = replicas_.find(attempt.replica);
  if (failure == AttemptFailure::RelayFailed) {
    ++counts_.relay_failures;
    relays_.onFailure(*attempt.relay, now);
    return;
  }
  const bool unreachable = failure == AttemptFailure::NotSent;
  if (unreachable && attempt.relay) {
    relays_.onUnreachable(*attempt.relay, service, now);
  } else if (unreachable) {
    paths_[service].onUnreachable(address, now);
  }
  if (replica == nullptr) {
    return;
  }
  if (unreachable && attempt.relay) {
    ReplicaTable::onUnreachableByRelay(*replica, now);
  } else if (unreachable) {
    replicas_.onUnreachable(*replica, now);
  }
  if (!unreachable) {
    replica->health.onFailure(router::HealthFailure::Failed, now, random_);
  } else if (!attempt.relay && !relays_.anyAvailable(service, now)) {
    replica->health.onFailure(router::HealthFailure::Unreachable, now, random_);
  }
}

void CallRouter::probePaths(TimePoint now) {
  if (relays_.empty() || now < next_path_probe_) {
    return;
  }
  updatePaths(now);
  const Replica* replica = replicas_.takeProbe(now);
  if (replica == nullptr) {
    return;
  }
  next_path_probe_ = now + kPathProbeInterval;
  const auto [pending, inserted] = pending_probes_.try_emplace(replica->routed.id);
  if (inserted) {
    pending->second.service = replica->routed.service;
    pending->second.address = replica->routed.address;
    effects_.emplace_back(ProbeReplicaEffect{replica->routed.id, replica->routed.address, std::nullopt});
  }
}

TimePoint CallRouter::nextPathProbe() const {
  const TimePoint next = relays_.empty() ? TimePoint::max() : replicas_.nextProbe();
  return next == TimePoint::max() ? next : std::max(next, next_path_probe_);
}

/// The response of another incarnation at the address also shows that the path works.
void CallRouter::recordProbedPath(const ReplicaId& id, const PendingProbe& probe, ProbeOutcome outcome,
                                  TimePoint now) {
  Replica* replica = replicas_.find(id);
  if (outcome == ProbeOutcome::Alive || outcome == ProbeOutcome::Terminated) {
    paths_[probe.service].onProgress(now);
    const bool first = replica != nullptr && replicas_.onProgress(*replica, now);
    dispatch_pending_ = dispatch_pending_ || first;
    return;
  }
  paths_[probe.service].onUnreachable(probe.address, now);
  if (replica != nullptr) {
    replicas_.onUnreachable(*replica, now);
  }
}

Effects CallRouter::onRelayedForOther(const std::string& replica_address, bool reached, TimePoint now) {
  const Replica* known = replicas_.findByAddress(replica_address);
  Replica* replica = known == nullptr ? nullptr : replicas_.find(known->routed.id);
  if (replica == nullptr) {
    return finish(now);
  }
  DirectPaths& paths = paths_[replica->routed.service];
  if (reached) {
    paths.onProgress(now);
    const bool first = replicas_.onProgress(*replica, now);
    dispatch_pending_ = dispatch_pending_ || first;
  } else {
    paths.onUnreachable(replica_address, now);
    replicas_.onUnreachable(*replica, now);
  }
  return finish(now);
}

bool CallRouter::refuseUnreachable(CallPointer call, const Choice& choice, TimePoint now) {
  const Call& state = call->second;
  const bool elsewhere =
      choice.failure == ChoiceFailure::NotHeld || choice.failure == ChoiceFailure::NoReplica;
  if (!choice.unreachable || !elsewhere || !relays_.known() || !isSuspect(state.need.service, now) ||
      state.sendings.mayHaveRun() || state.started) {
    return false;
  }
  refuse(call, ResultCode::RouterPartitioned,
         "neither this router nor one that relays for it reaches a replica that could run the call",
         kRetryElsewhere, now);
  return true;
}

}  // namespace ferryrock::calls
