#include <algorithm>
#include <utility>

#include "calls/call_router.h"
#include "quarantine/call_fingerprint.h"

/// The part of CallRouter that keeps calls which end replicas away from further ones: it has a replica probed
/// that broke a call off, notes which calls it had if it has ended, and exchanges that with the members.
namespace ferryrock::calls {
namespace {

using quarantine::Standing;

/// From a call's second end until all routers know of it and of the calls beside it: router to member to
/// router, 2 to 6 ms on the way and as much in processes that have a tenth of a core, with room for one
/// delay.
constexpr Duration kTrialSpread = std::chrono::milliseconds(50);

}  // namespace

/// A broken connection proves nothing: it may have been reset on its way, or an answer cut short. Several
/// calls break off together when a replica ends; one probe answers for all of them. A call that may be sent
/// again waits for it, a few milliseconds as a rule: sent at once it could end the next replica, among as
/// many other calls, before anybody knows of the first.
void CallRouter::probe(Call& call, const ReplicaId& replica, const std::string& address) {
  std::vector<ProbedCall>& calls = probes_[replica];
  if (calls.empty()) {
    effects_.emplace_back(ProbeReplicaEffect{replica, address});
  }
  calls.push_back({call.request.number, call.request.fingerprint});
  if (isRepeatable(call)) {
    call.awaits_probe = replica;
  }
}

Effects CallRouter::onProbed(const ReplicaId& replica, ProbeOutcome outcome, TimePoint now) {
  const auto probed = probes_.find(replica);
  if (probed == probes_.end()) {
    return finish(now);
  }
  const std::vector<ProbedCall> calls = std::move(probed->second);
  probes_.erase(probed);
  if (outcome == ProbeOutcome::Ended) {
    noteReplicaEnd(replica, calls, now);
  }
  for (const ProbedCall& probed_call : calls) {
    const CallPointer call = calls_.find(probed_call.number);
    if (call != calls_.end() && call->second.awaits_probe == replica) {
      call->second.awaits_probe.reset();
      const std::string reason = call->second.failure;
      retryMaybeRun(call, ResultCode::ReplicaFailed, reason, now);
    }
  }
  return finish(now);
}

void CallRouter::noteReplicaEnd(const ReplicaId& replica, const std::vector<ProbedCall>& calls,
                                TimePoint now) {
  ++counts_.replica_ends;
  std::vector<wire::CrashRecord> news;
  for (const auto& [number, fingerprint] : calls) {
    const CallPointer call = calls_.find(number);
    if (call != calls_.end()) {
      ++call->second.ended;
    }
    if (!crashes_.noteEnd(fingerprint, replica, now)) {
      continue;
    }
    news.push_back(crashes_.record(fingerprint, now));
    log_.write(LogLevel::Warning, "crash.replica_ended",
               {{"fingerprint", quarantine::toText(fingerprint)},
                {"replica", std::string_view(replica.value)},
                {"calls_there", static_cast<std::int64_t>(calls.size())},
                {"ends", static_cast<std::int64_t>(crashes_.ends(fingerprint))}});
  }
  for (const wire::CrashRecord& record : news) {
    enforceQuarantine(record.call, now);
  }
  tellMembers(news);
}

void CallRouter::noteRun(const Call& call, TimePoint now) {
  const wire::CallFingerprint& fingerprint = call.request.fingerprint;
  if (!crashes_.noteAnswer(fingerprint)) {
    return;
  }
  log_.write(LogLevel::Info, "crash.refuted",
             {{"fingerprint", quarantine::toText(fingerprint)},
              {"request", std::string_view(call.request.id.value)}});
  tellMembers({crashes_.record(fingerprint, now)});
}

void CallRouter::takeCrashRecords(const NodeName& from, const wire::CrashRecords& records, TimePoint now) {
  for (const wire::CrashRecord& record : records.records) {
    const Standing before = crashes_.standing(record.call);
    if (!crashes_.merge(record, now)) {
      continue;
    }
    const Standing after = crashes_.standing(record.call);
    if (after != before) {
      log_.write(LogLevel::Warning,
                 after == Standing::Quarantined ? "crash.quarantined" : "crash.suspicion_changed",
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
  if (!crashes_.onTrial().contains(fingerprint)) {
    state.need.trial.reset();
    return false;
  }
  state.need.trial = quarantine::Trial{fingerprint, crashes_.onTrial()};
  const TimePoint from = now - crashes_.age(fingerprint, now) + kTrialSpread;
  if (now >= from || replicas_.routers() <= 1) {
    return false;
  }
  waiting_.insert(call->first);
  state.retry = from;
  state.waits_until = std::max(state.waits_until, from + kTrialSpread);
  setTimer(call);
  log_.write(LogLevel::Info, "call.awaits_trial",
             {{"request", std::string_view(state.request.id.value)},
              {"fingerprint", quarantine::toText(fingerprint)},
              {"calls_on_trial", static_cast<std::int64_t>(state.need.trial->on_trial.size())},
              {"for_ms", toMilliseconds(from - now)}});
  return true;
}

/// A stream that has shown events goes on: what ends its replica ends it before, and its caller has a part of
/// its answer.
void CallRouter::enforceQuarantine(const wire::CallFingerprint& fingerprint, TimePoint now) {
  if (crashes_.standing(fingerprint) != Standing::Quarantined) {
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
      noteMayHaveRun(call->second);
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
  refuse(call, ResultCode::CallQuarantined, "its fingerprint is " + quarantine::toText(fingerprint),
         crashes_.left(fingerprint, now), now);
}

/// All of them: any may lead next, and whoever leads tells the other routers.
void CallRouter::tellMembers(const std::vector<wire::CrashRecord>& records) {
  if (records.empty()) {
    return;
  }
  for (const NodeName& member : feed_.members()) {
    effects_.emplace_back(wire::SendEffect{member, wire::CrashRecords{records, false}});
  }
}

}  // namespace ferryrock::calls
