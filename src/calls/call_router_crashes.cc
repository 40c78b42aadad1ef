#include <algorithm>
#include <utility>

#include "calls/call_router.h"
#include "quarantine/call_fingerprint.h"

/// The part of CallRouter that keeps calls, and traits of calls, which crash replicas away from further ones.
/// It has a replica probed that broke off a call, records the affected calls if the replica has terminated,
/// and exchanges these records with the control members.
namespace ferryrock::calls {
namespace {

using quarantine::QuarantineState;

/// Time from a call's second crash until all routers know of it and of the other suspected calls. Propagation
/// from router to member to router takes 2 to 6 ms on the network, and as much again in processes that get a
/// tenth of a core; the rest allows for one further delay.
constexpr Duration kTrialPropagationTime = std::chrono::milliseconds(50);
/// Retry time of a caller whose call holds a trait that is being tested.
constexpr Duration kMinTrialRetryTime = std::chrono::seconds(1);

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
  startProbe(call.need.service, attempt.replica, address, now)
      .calls.push_back({call.request.number, call.request.fingerprint, call.traits, attempt.has_head,
                        attempt.events > 0, false, call.request.id});
  if (isRepeatable(call)) {
    call.probed_replica = attempt.replica;
  }
}

CallRouter::PendingProbe& CallRouter::startProbe(const ServiceName& service, const ReplicaId& replica,
                                                 const std::string& address, TimePoint now) {
  const auto [pending, inserted] = pending_probes_.try_emplace(replica);
  if (inserted) {
    const bool doubtful = isSuspect(service, now) || !hasOpenConnections(service, replica);
    const std::optional<Relay> relay = doubtful ? chooseRelay(service, now) : std::nullopt;
    pending->second.service = service;
    pending->second.address = address;
    pending->second.relayed = relay.has_value();
    pending->second.asked_relay = relay.has_value();
    effects_.emplace_back(ProbeReplicaEffect{replica, address, relay});
  }
  return pending->second;
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
    if (probed_call.answered && outcome == ProbeOutcome::Alive) {
      recordCompletedRun(probed_call.fingerprint, probed_call.id, now);
      recordBegunAnswer(probed_call.traits, probed_call.id, now);
    }
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
                {"traits", static_cast<std::int64_t>(probed.traits.size())},
                {"head", probed.has_head},
                {"answering", probed.answering},
                {"replica", std::string_view(replica.value)},
                {"calls_there", static_cast<std::int64_t>(calls.size())},
                {"ends", static_cast<std::int64_t>(crashes_.ends(fingerprint))}});
  }
  recordTraitCrashes(replica, calls, now, new_records);
  for (const wire::CrashRecord& record : new_records) {
    enforceQuarantine(record.call, now);
  }
  sendCrashRecords(new_records);
}

/// A call that crashes its replica does so before the first event, so the traits of calls with events aren't
/// the cause.
void CallRouter::recordTraitCrashes(const ReplicaId& replica, const std::vector<ProbedCall>& calls,
                                    TimePoint now, std::vector<wire::CrashRecord>& new_records) {
  for (const ProbedCall& call : calls) {
    for (const quarantine::Suspect& trait : call.traits) {
      const bool secondary = answered_traits_.contains(trait.fingerprint, now);
      if (call.answering || !crashes_.recordCrash(trait, replica, secondary, now)) {
        continue;
      }
      new_records.push_back(crashes_.record(trait.fingerprint, now));
      log_.write(LogLevel::Warning, "crash.trait_suspected",
                 {{"trait", quarantine::toText(trait)},
                  {"fingerprint", quarantine::toText(trait.fingerprint)},
                  {"replica", std::string_view(replica.value)},
                  {"secondary", secondary},
                  {"ends", static_cast<std::int64_t>(crashes_.ends(trait.fingerprint))}});
    }
  }
}

bool CallRouter::isSuspected(const Call& call) const {
  return crashes_.ends(call.request.fingerprint) > 0 ||
         std::any_of(call.traits.begin(), call.traits.end(), [this](const quarantine::Suspect& trait) {
           return crashes_.ends(trait.fingerprint) > 0;
         });
}

void CallRouter::recordAnswer(const Call& call, const std::vector<quarantine::Suspect>& traits,
                              const Replica* replica, bool ends_with_connection, TimePoint now) {
  if (!ends_with_connection) {
    recordCompletedRun(call.request.fingerprint, call.request.id, now);
    recordBegunAnswer(traits, call.request.id, now);
  } else if (replica != nullptr && isSuspected(call)) {
    startProbe(call.need.service, replica->routed.id, replica->routed.address, now)
        .calls.push_back(
            {call.request.number, call.request.fingerprint, traits, true, false, true, call.request.id});
  }
}

void CallRouter::recordBegunAnswer(const std::vector<quarantine::Suspect>& traits, const RequestId& request,
                                   TimePoint now) {
  std::vector<wire::CrashRecord> refuted;
  for (const quarantine::Suspect& trait : traits) {
    answered_traits_.record(trait.fingerprint, now);
    if (!crashes_.recordAnswer(trait.fingerprint)) {
      continue;
    }
    refuted.push_back(crashes_.record(trait.fingerprint, now));
    log_.write(LogLevel::Info, "crash.trait_refuted",
               {{"trait", quarantine::toText(trait)},
                {"fingerprint", quarantine::toText(trait.fingerprint)},
                {"request", std::string_view(request.value)}});
  }
  sendCrashRecords(refuted);
}

void CallRouter::recordCompletedRun(const wire::CallFingerprint& fingerprint, const RequestId& request,
                                    TimePoint now) {
  if (!crashes_.recordAnswer(fingerprint)) {
    return;
  }
  log_.write(
      LogLevel::Info, "crash.refuted",
      {{"fingerprint", quarantine::toText(fingerprint)}, {"request", std::string_view(request.value)}});
  sendCrashRecords({crashes_.record(fingerprint, now)});
}

void CallRouter::applyCrashRecords(const NodeName& from, const wire::CrashRecords& records, TimePoint now) {
  for (const wire::CrashRecord& record : records.records) {
    const QuarantineState before = crashes_.quarantineState(record.call);
    if (!crashes_.merge(record, now)) {
      continue;
    }
    const QuarantineState after = crashes_.quarantineState(record.call);
    if (after != QuarantineState::Unsuspected) {
      answered_traits_.forget(record.call);
    }
    if (after != before) {
      log_.write(LogLevel::Warning,
                 after == QuarantineState::Quarantined ? "crash.quarantined" : "crash.suspicion_changed",
                 {{"suspect", quarantine::toText({record.call, record.kind, record.name})},
                  {"fingerprint", quarantine::toText(record.call)},
                  {"ends", static_cast<std::int64_t>(crashes_.ends(record.call))},
                  {"last_end_ms_ago", record.age_ms},
                  {"from", std::string_view(from.value)}});
    }
    enforceQuarantine(record.call, now);
  }
  applyTrialGrants(records, now);
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
    if (call.route != nullptr && !call.started && !quarantinedSuspects(call).empty()) {
      concerned.push_back(number);
    }
  }
  for (const CallNumber number : concerned) {
    const CallPointer call = calls_.find(number);
    const std::vector<quarantine::Suspect> suspects = quarantinedSuspects(call->second);
    if (call->second.trial_deadline && testedBy(suspects) != nullptr) {
      continue;
    }
    if (call->second.attempt) {
      effects_.emplace_back(CancelAttemptEffect{call->second.attempt->number});
      recordPossibleRun(call->second);
      release(call->second);
    }
    refuseQuarantined(call, suspects, now);
  }
}

std::vector<quarantine::Suspect> CallRouter::quarantinedSuspects(const Call& call) const {
  std::vector<quarantine::Suspect> suspects;
  const auto& quarantined = crashes_.quarantined();
  if (quarantined.empty()) {
    return suspects;
  }
  if (quarantined.contains(call.request.fingerprint)) {
    suspects.push_back({call.request.fingerprint, wire::SuspectKind::Call, {}});
  }
  for (const quarantine::Suspect& trait : call.traits) {
    if (quarantined.contains(trait.fingerprint) && call.trial_of != trait.fingerprint) {
      suspects.push_back(trait);
    }
  }
  return suspects;
}

void CallRouter::refuseQuarantined(CallPointer call, const std::vector<quarantine::Suspect>& suspects,
                                   TimePoint now) {
  Duration retry_after = Duration::zero();
  for (const quarantine::Suspect& suspect : suspects) {
    const bool trait = suspect.kind != wire::SuspectKind::Call;
    const Duration until_trial =
        std::max(crashes_.trialOpensAt(suspect.fingerprint) - now, kMinTrialRetryTime);
    const Duration left = crashes_.left(suspect.fingerprint, now);
    retry_after = std::max(retry_after, trait ? std::min(left, until_trial) : left);
  }
  const quarantine::Suspect& first = suspects.front();
  ++counts_.quarantined;
  counts_.traits_quarantined += first.kind == wire::SuspectKind::Call ? 0 : 1;
  log_.write(LogLevel::Warning, "call.quarantined",
             {{"request", std::string_view(call->second.request.id.value)},
              {"suspect", quarantine::toText(first)},
              {"fingerprint", quarantine::toText(first.fingerprint)},
              {"route", std::string_view(call->second.route->name.value)},
              {"ends", static_cast<std::int64_t>(crashes_.ends(first.fingerprint))},
              {"last_end_ms_ago", toMilliseconds(crashes_.age(first.fingerprint, now))}});
  const bool is_call = first.kind == wire::SuspectKind::Call;
  refuse(call, ResultCode::CallQuarantined,
         (is_call ? "" : quarantine::toText(first) + ", ") + "fingerprint " +
             quarantine::toText(first.fingerprint),
         retry_after, now);
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
