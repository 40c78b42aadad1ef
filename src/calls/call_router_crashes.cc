#include <algorithm>
#include <utility>

#include "calls/call_router.h"
#include "quarantine/call_fingerprint.h"

/// The part of CallRouter that keeps calls which crash replicas away from further ones. It has a replica
/// probed that broke off a call, records the affected calls if the replica has terminated, and exchanges
/// these records with the control members.
namespace ferryrock::calls {
namespace {

using quarantine::QuarantineState;

/// Time from a call's second crash until all routers know of it and of the other suspected calls. Propagation
/// from router to member to router takes 2 to 6 ms on the network, and as much again in processes that get a
/// tenth of a core; the rest allows for one further delay.
constexpr Duration kTrialPropagationTime = std::chrono::milliseconds(50);

}  // namespace

/// A broken connection proves nothing: it may have been reset on the network, or a response may have been
/// truncated. When a replica crashes, several calls break off together, and one probe decides for all of
/// them. A call that may be retried waits for the result, usually for a few milliseconds: retried at once, it
/// could crash the next replica among as many other calls before any router knows of the first crash.
///
/// A refused connection shows that a replica has terminated only if it isn't this router's own link that
/// refuses it. A router without open connections to other replicas can't tell, so it has the replica probed
/// by another router, at once: calls that crash replicas must be known soon.
void CallRouter::probe(Call& call, const Attempt& attempt, const std::string& address, TimePoint now) {
  const ReplicaId& replica = attempt.replica;
  const auto [pending, inserted] = pending_probes_.try_emplace(replica);
  if (inserted) {
    const ServiceName& service = call.need.service;
    const bool doubtful = isSuspect(service, now) || !hasOpenConnections(service, replica);
    const std::optional<Relay> relay = doubtful ? chooseRelay(service, now) : std::nullopt;
    pending->second.service = service;
    pending->second.address = address;
    pending->second.relayed = relay.has_value();
    pending->second.asked_relay = relay.has_value();
    effects_.emplace_back(ProbeReplicaEffect{replica, address, relay});
  }
  pending->second.calls.push_back(
      {call.request.number, call.request.fingerprint, call.request.shared_parts, attempt.has_head,
       attempt.events > 0});
  if (isRepeatable(call)) {
    call.probed_replica = replica;
  }
}

Effects CallRouter::onProbed(const ReplicaId& replica, ProbeOutcome outcome, TimePoint now) {
  const auto probed = pending_probes_.find(replica);
  if (probed == pending_probes_.end()) {
    return finish(now);
  }
  const bool refused = outcome == ProbeOutcome::Refused;
  if (!probed->second.relayed) {
    recordProbedPath(replica, probed->second, outcome, now);
  }
  if (!probed->second.calls.empty() && probeFurther(replica, outcome, now)) {
    return finish(now);
  }
  const std::vector<ProbedCall> calls = std::move(probed->second.calls);
  pending_probes_.erase(probed);
  if (!calls.empty() && (refused || outcome == ProbeOutcome::Terminated)) {
    recordReplicaCrash(replica, calls, now);
  }
  for (const ProbedCall& probed_call : calls) {
    const CallPointer call = calls_.find(probed_call.number);
    if (call != calls_.end() && call->second.probed_replica == replica) {
      call->second.probed_replica.reset();
      const std::string reason = call->second.failure_reason;
      retryPossiblyRun(call, ResultCode::ReplicaFailed, reason, now);
    }
  }
  return finish(now);
}

bool CallRouter::probeFurther(const ReplicaId& replica, ProbeOutcome outcome, TimePoint now) {
  PendingProbe& pending = pending_probes_.at(replica);
  const bool relay_cannot_tell = pending.relayed && outcome == ProbeOutcome::Unknown;
  const bool refused_here = !pending.relayed && outcome == ProbeOutcome::Refused && !pending.asked_relay &&
                            !hasOpenConnections(pending.service, replica);
  const std::optional<Relay> relay = refused_here ? chooseRelay(pending.service, now) : std::nullopt;
  if (!relay_cannot_tell && !relay) {
    return false;
  }
  pending.relayed = relay.has_value();
  pending.asked_relay = true;
  effects_.emplace_back(ProbeReplicaEffect{replica, pending.address, relay});
  return true;
}

void CallRouter::recordReplicaCrash(const ReplicaId& replica, const std::vector<ProbedCall>& calls,
                                    TimePoint now) {
  ++counts_.replica_crashes;
  std::vector<wire::CrashRecord> new_records;
  for (const ProbedCall& probed : calls) {
    const wire::CallFingerprint& fingerprint = probed.fingerprint;
    const CallPointer call = calls_.find(probed.number);
    if (call != calls_.end()) {
      ++call->second.crashed_attempts;
    }
    if (!crashes_.recordCrash(fingerprint, replica, now)) {
      continue;
    }
    new_records.push_back(crashes_.record(fingerprint, now));
    log_.write(LogLevel::Warning, "crash.replica_ended",
               {{"fingerprint", quarantine::toText(fingerprint)},
                {"parts", joined(probed.shared_parts)},
                {"head", probed.has_head},
                {"answering", probed.answering},
                {"replica", std::string_view(replica.value)},
                {"calls_there", static_cast<std::int64_t>(calls.size())},
                {"ends", static_cast<std::int64_t>(crashes_.ends(fingerprint))}});
  }
  for (const wire::CrashRecord& record : new_records) {
    enforceQuarantine(record.call, now);
  }
  sendCrashRecords(new_records);
}

void CallRouter::recordCompletedRun(const Call& call, TimePoint now) {
  const wire::CallFingerprint& fingerprint = call.request.fingerprint;
  if (!crashes_.recordAnswer(fingerprint)) {
    return;
  }
  log_.write(LogLevel::Info, "crash.refuted",
             {{"fingerprint", quarantine::toText(fingerprint)},
              {"request", std::string_view(call.request.id.value)}});
  sendCrashRecords({crashes_.record(fingerprint, now)});
}

void CallRouter::applyCrashRecords(const NodeName& from, const wire::CrashRecords& records, TimePoint now) {
  for (const wire::CrashRecord& record : records.records) {
    const QuarantineState before = crashes_.quarantineState(record.call);
    if (!crashes_.merge(record, now)) {
      continue;
    }
    const QuarantineState after = crashes_.quarantineState(record.call);
    if (after != before) {
      log_.write(LogLevel::Warning,
                 after == QuarantineState::Quarantined ? "crash.quarantined" : "crash.suspicion_changed",
                 {{"fingerprint", quarantine::toText(record.call)},
                  {"ends", static_cast<std::int64_t>(crashes_.ends(record.call))},
                  {"last_end_ms_ago", record.age_ms},
                  {"from", std::string_view(from.value)}});
    }
    enforceQuarantine(record.call, now);
  }
  if (records.shares_all && quarantine::CrashLedger::digestOf(records.records) != crashes_.digest()) {
    effects_.emplace_back(wire::SendEffect{from, wire::CrashRecords{crashes_.shared(now), false}});
  }
}

bool CallRouter::waitForTrial(CallPointer call, TimePoint now) {
  Call& state = call->second;
  const wire::CallFingerprint& fingerprint = state.request.fingerprint;
  if (!crashes_.callsOnTrial().contains(fingerprint)) {
    state.need.trial.reset();
    return false;
  }
  state.need.trial = quarantine::Trial{fingerprint, crashes_.callsOnTrial()};
  const TimePoint from = now - crashes_.age(fingerprint, now) + kTrialPropagationTime;
  if (now >= from || replicas_.routers() <= 1) {
    return false;
  }
  waiting_.insert(call->first);
  state.retry_at = from;
  state.wait_deadline = std::max(state.wait_deadline, from + kTrialPropagationTime);
  setTimer(call);
  log_.write(LogLevel::Info, "call.awaits_trial",
             {{"request", std::string_view(state.request.id.value)},
              {"fingerprint", quarantine::toText(fingerprint)},
              {"calls_on_trial", static_cast<std::int64_t>(state.need.trial->on_trial.size())},
              {"for_ms", toMilliseconds(from - now)}});
  return true;
}

/// A stream that has delivered events continues: a call that crashes its replica does so before the first
/// event, and the caller already has part of the response.
void CallRouter::enforceQuarantine(const wire::CallFingerprint& fingerprint, TimePoint now) {
  if (crashes_.quarantineState(fingerprint) != QuarantineState::Quarantined) {
    return;
  }
  std::vector<CallNumber> concerned;
  for (const auto& [number, call] : calls_) {
    if (call.request.fingerprint == fingerprint && call.route != nullptr && !call.started) {
      concerned.push_back(number);
    }
  }
  for (const CallNumber number : concerned) {
    const CallPointer call = calls_.find(number);
    if (call->second.attempt) {
      effects_.emplace_back(CancelAttemptEffect{call->second.attempt->number});
      recordPossibleRun(call->second);
      release(call->second);
    }
    refuseQuarantined(call, now);
  }
}

void CallRouter::refuseQuarantined(CallPointer call, TimePoint now) {
  const wire::CallFingerprint fingerprint = call->second.request.fingerprint;
  ++counts_.quarantined;
  log_.write(LogLevel::Warning, "call.quarantined",
             {{"request", std::string_view(call->second.request.id.value)},
              {"fingerprint", quarantine::toText(fingerprint)},
              {"route", std::string_view(call->second.route->name.value)},
              {"ends", static_cast<std::int64_t>(crashes_.ends(fingerprint))},
              {"last_end_ms_ago", toMilliseconds(crashes_.age(fingerprint, now))}});
  refuse(call, ResultCode::CallQuarantined, "call fingerprint: " + quarantine::toText(fingerprint),
         crashes_.left(fingerprint, now), now);
}

/// Sends the records to all members: any of them may become leader, and the leader forwards them to the other
/// routers.
void CallRouter::sendCrashRecords(const std::vector<wire::CrashRecord>& records) {
  if (records.empty()) {
    return;
  }
  for (const NodeName& member : feed_.members()) {
    effects_.emplace_back(wire::SendEffect{member, wire::CrashRecords{records, false}});
  }
}

}  // namespace ferryrock::calls
