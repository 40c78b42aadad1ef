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

/// Without relays the router's own connections are tried even if they are in doubt.
void CallRouter::updatePaths(TimePoint now) {
  const bool relayed = relays_.anyAvailable(now);
  replicas_.setPaths({!relayed || !paths_.isSuspect(now), relayed});
}

std::optional<Relay> CallRouter::chooseRelay(TimePoint now) const {
  const std::optional<wire::RelayRouter> relay = relays_.choose(now);
  return relay ? std::optional(Relay{relay->router, relay->address}) : std::nullopt;
}

void CallRouter::recordProgress(const Attempt& attempt, TimePoint now) {
  Replica* replica = replicas_.find(attempt.replica);
  if (attempt.relay) {
    relays_.onForwarded(*attempt.relay);
    const bool first = replica != nullptr && ReplicaTable::onRelayedProgress(*replica, now);
    dispatch_pending_ = dispatch_pending_ || first;
    return;
  }
  paths_.onProgress(now);
  const bool first = replica != nullptr && replicas_.onProgress(*replica, now);
  dispatch_pending_ = dispatch_pending_ || first;
}

/// An unreachable replica isn't ejected while it can be reached through relays.
void CallRouter::recordPathFailure(const Attempt& attempt, AttemptFailure failure, const std::string& address,
                                   TimePoint now) {
  Replica* replica = replicas_.find(attempt.replica);
  if (failure == AttemptFailure::RelayFailed) {
    ++counts_.relay_failures;
    relays_.onFailure(*attempt.relay, now);
    return;
  }
  const bool unreachable = failure == AttemptFailure::NotSent;
  if (unreachable && !attempt.relay) {
    paths_.onUnreachable(address);
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
  } else if (attempt.relay || !relays_.anyAvailable(now)) {
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
    pending->second.address = replica->routed.address;
    effects_.emplace_back(ProbeReplicaEffect{replica->routed.id, replica->routed.address, std::nullopt});
  }
}

TimePoint CallRouter::nextPathProbe() const {
  const TimePoint next = relays_.empty() ? TimePoint::max() : replicas_.nextProbe();
  return next == TimePoint::max() ? next : std::max(next, next_path_probe_);
}

/// The response of another incarnation at the address also shows that the path works.
void CallRouter::recordProbedPath(const ReplicaId& id, const std::string& address, ProbeOutcome outcome,
                                  TimePoint now) {
  Replica* replica = replicas_.find(id);
  if (outcome == ProbeOutcome::Alive || outcome == ProbeOutcome::Terminated) {
    paths_.onProgress(now);
    const bool first = replica != nullptr && replicas_.onProgress(*replica, now);
    dispatch_pending_ = dispatch_pending_ || first;
    return;
  }
  paths_.onUnreachable(address);
  if (replica != nullptr) {
    replicas_.onUnreachable(*replica, now);
  }
}

Effects CallRouter::onRelayedForOther(const std::string& replica_address, bool reached, TimePoint now) {
  if (reached) {
    paths_.onProgress(now);
  } else {
    paths_.onUnreachable(replica_address);
  }
  return finish(now);
}

bool CallRouter::refuseUnreachable(CallPointer call, const Choice& choice, TimePoint now) {
  const Call& state = call->second;
  const bool elsewhere =
      choice.failure == ChoiceFailure::NotHeld || choice.failure == ChoiceFailure::NoReplica;
  if (!choice.unreachable || !elsewhere || !paths_.isPartitioned() || state.may_have_run || state.started) {
    return false;
  }
  refuse(call, ResultCode::RouterPartitioned,
         "neither this router nor one that relays for it reaches a replica that could run the call",
         kRetryElsewhere, now);
  return true;
}

}  // namespace ferryrock::calls
