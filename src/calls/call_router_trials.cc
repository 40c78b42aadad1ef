#include <algorithm>

#include "calls/call_router.h"
#include "quarantine/call_fingerprint.h"

/// The part of CallRouter that tests quarantined traits with single calls. A call tests a trait if it holds
/// no other quarantined suspect, so that a crash can't be the other one's. The leader grants each trial, over
/// all routers together; the call that asks for one waits for the answer.
namespace ferryrock::calls {
namespace {

/// A leader answers within some 10 ms, after a write to the log.
constexpr Duration kGrantTimeout = std::chrono::milliseconds(250);
/// Minimum interval between two requests for a trial of the same trait.
constexpr Duration kTrialRequestInterval = std::chrono::milliseconds(500);
/// A grant whose call has ended serves another call within this time.
constexpr Duration kGrantLifetime = std::chrono::seconds(10);

}  // namespace

const quarantine::Suspect* CallRouter::testedBy(const std::vector<quarantine::Suspect>& suspects) {
  const bool single = suspects.size() == 1 && suspects.front().kind != wire::SuspectKind::Call;
  return single ? &suspects.front() : nullptr;
}

bool CallRouter::mayRequestTrial(const wire::CallFingerprint& trait, TimePoint now) const {
  const auto grant = trial_grants_.find(trait);
  if (grant != trial_grants_.end() && now < grant->second.valid_until) {
    return !grant->second.call || !calls_.contains(*grant->second.call);
  }
  const auto next = next_trial_request_.find(trait);
  return crashes_.trialOpensAt(trait) <= now && (next == next_trial_request_.end() || next->second <= now);
}

bool CallRouter::passQuarantine(CallPointer call, TimePoint now) {
  Call& state = call->second;
  const std::vector<quarantine::Suspect> suspects = quarantinedSuspects(state);
  if (suspects.empty()) {
    state.trial_deadline.reset();
    return true;
  }
  const quarantine::Suspect* tested = testedBy(suspects);
  if (tested == nullptr || !joinTrial(call, *tested, now)) {
    refuseQuarantined(call, suspects, now);
    return false;
  }
  return state.trial_of.has_value();
}

bool CallRouter::joinTrial(CallPointer call, const quarantine::Suspect& trait, TimePoint now) {
  Call& state = call->second;
  const bool first_request = !state.trial_deadline;
  if (first_request && !mayRequestTrial(trait.fingerprint, now)) {
    return false;
  }
  const auto grant = trial_grants_.find(trait.fingerprint);
  if (grant != trial_grants_.end() && now < grant->second.valid_until &&
      (!grant->second.call || !calls_.contains(*grant->second.call))) {
    grant->second.call = call->first;
    state.trial_of = trait.fingerprint;
    state.trial_deadline.reset();
    return true;
  }
  if (first_request) {
    next_trial_request_[trait.fingerprint] = now + kTrialRequestInterval;
    state.trial_deadline = std::min(state.deadline, now + kGrantTimeout);
    state.wait_deadline = std::max(state.wait_deadline, *state.trial_deadline);
    wire::CrashRecords request;
    request.trial_requests = {trait.fingerprint};
    for (const NodeName& member : feed_.members()) {
      effects_.emplace_back(wire::SendEffect{member, request});
    }
  }
  if (now >= *state.trial_deadline) {
    return false;
  }
  waiting_.insert(call->first);
  state.retry_at = state.trial_deadline;
  setTimer(call);
  return true;
}

void CallRouter::applyTrialGrants(const wire::CrashRecords& records, TimePoint now) {
  std::erase_if(trial_grants_, [now](const auto& item) { return item.second.valid_until <= now; });
  std::erase_if(next_trial_request_, [now](const auto& item) { return item.second <= now; });
  for (const wire::CallFingerprint& trait : records.trial_grants) {
    trial_grants_[trait] = {now + kGrantLifetime, std::nullopt};
    log_.write(LogLevel::Info, "crash.trial_granted", {{"fingerprint", quarantine::toText(trait)}});
    dispatch_pending_ = dispatch_pending_ || !waiting_.empty();
  }
}

void CallRouter::spendTrialGrant(Call& call) {
  if (!call.trial_of) {
    return;
  }
  trial_grants_.erase(*call.trial_of);
  ++counts_.trials;
  log_.write(LogLevel::Warning, "crash.trial",
             {{"request", std::string_view(call.request.id.value)},
              {"fingerprint", quarantine::toText(*call.trial_of)},
              {"replica", std::string_view(call.attempt->replica.value)}});
}

}  // namespace ferryrock::calls
