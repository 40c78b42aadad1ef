#include <map>
#include <set>
#include <string>

#include "load/audit_parts.h"
#include "load/expected_text.h"

/// Checks that need the callers' records alone.
namespace ferryrock::load {

namespace {

bool finished(const CallRecord& call) {
  return call.end == CallEnd::Answered;
}

std::string nameOf(const CallRecord& call) {
  return call.operation + "/" + std::to_string(call.call) +
         (call.request_id.empty() ? "" : " " + call.request_id);
}

void add(AuditReport& report, Offence offence, const CallRecord& call, const std::string& detail) {
  report.offenders.push_back(
      {offence, nameOf(call), detail + " (router " + call.router + ", model " + call.model + ")"});
}

/// One answer's text against the only text that is right for the request.
void checkText(const CallRecord& call, const ServedNames& names, AuditReport& report) {
  const std::string expected = expectedText(names.engineName(call.model), call.prompt, call.max_tokens);
  if (expected.compare(0, call.text.size(), call.text) != 0) {
    add(report, Offence::NotOwn, call, "text differs from the one that belongs to the request");
    return;
  }
  if (call.whole && call.text.size() < expected.size()) {
    add(report, Offence::NotWhole, call,
        std::to_string(call.text.size()) + " of " + std::to_string(expected.size()) +
            " bytes, claimed to be whole");
  }
}

/// A final answer must state one of the three outcomes, and the outcome must fit what came with it.
void checkOutcome(const CallRecord& call, AuditReport& report) {
  const bool known = call.outcome == "ran" || call.outcome == "not-run" || call.outcome == "unknown";
  if (!known) {
    add(report, Offence::Untruthful, call,
        "outcome '" + call.outcome + "', status " + std::to_string(call.status));
  } else if (call.outcome == "not-run" && !call.text.empty()) {
    add(report, Offence::Untruthful, call, "text came with the outcome 'not-run'");
  } else if (call.whole && call.outcome != "ran") {
    add(report, Offence::Untruthful, call, "a whole answer came with the outcome '" + call.outcome + "'");
  }
}

void countOutcome(const CallRecord& call, AuditCounts& counts) {
  if (call.end == CallEnd::Left) {
    ++counts.left;
  } else if (!finished(call)) {
    return;
  } else if (call.outcome == "ran") {
    ++counts.ran;
  } else if (call.outcome == "not-run") {
    ++counts.refused_not_run;
  } else {
    ++counts.outcome_unknown;
  }
}

/// A stream that its caller reads slowly may end late through the caller's own doing.
bool late(const CallRecord& call, const AuditSettings& settings) {
  return !call.slow_reader && call.end_ms > call.deadline_ms + settings.late_slack_ms;
}

/// What is known of one operation over all of its calls.
struct OperationState {
  bool answered = false;
  bool left = false;
};

bool broken(const CallRecord& call) {
  return call.end == CallEnd::Cut || call.end == CallEnd::TimedOut;
}

/// A router that was stopped as planned isn't there to connect to until it is started again; a request that
/// it got a byte of is its own.
bool metNobody(const CallRecord& call, const FaultHistory& faults) {
  return call.unsent && faults.stopped(call.router, call.sent_ms, call.end_ms);
}

void checkCall(const CallRecord& call, bool disturbed, const AuditInput& input, const AuditSettings& settings,
               AuditReport& report) {
  checkText(call, input.names, report);
  if (call.ends > 1) {
    add(report, Offence::AnsweredTwice, call, "the answer ended " + std::to_string(call.ends) + " times");
  }
  if (broken(call) && !disturbed && !metNobody(call, input.faults)) {
    add(report, Offence::Lost, call, "no final answer: " + call.failure);
  }
  if (!finished(call)) {
    return;
  }
  checkOutcome(call, report);
  if (late(call, settings) && !disturbed) {
    add(report, Offence::Late, call,
        std::to_string(call.end_ms - call.deadline_ms) + " ms after the deadline");
  }
}

/// Two calls that were told the same request identifier share an answer that belongs to one.
void checkSharedRequests(const AuditInput& input, AuditReport& report) {
  std::set<std::string> seen;
  for (const CallRecord& call : input.calls) {
    if (!call.request_id.empty() && !seen.insert(call.request_id).second) {
      add(report, Offence::AnsweredTwice, call, "another call was answered with the same request identifier");
    }
  }
}

}  // namespace

void auditAnswers(const AuditInput& input, const AuditSettings& settings, AuditReport& report) {
  std::map<std::string, OperationState> operations;
  for (const CallRecord& call : input.calls) {
    const bool disturbed = input.faults.disturbed(call.router, call.sent_ms, call.end_ms);
    checkCall(call, disturbed, input, settings, report);
    countOutcome(call, report.counts);
    const bool excused = disturbed && (broken(call) || (finished(call) && late(call, settings)));
    report.counts.excused_calls += excused ? 1 : 0;
    OperationState& state = operations[call.operation];
    state.answered = state.answered || finished(call);
    state.left = state.left || call.end == CallEnd::Left;
  }
  checkSharedRequests(input, report);
  for (const PlannedOperation& planned : input.planned) {
    if (!operations.contains(planned.operation)) {
      report.offenders.push_back(
          {Offence::Unrecorded, planned.operation, "the trace has it, the records don't"});
    }
  }
  for (const auto& [name, state] : operations) {
    report.counts.unanswered_operations += state.answered || state.left ? 0 : 1;
  }
  report.counts.operations = operations.size();
  report.counts.calls = input.calls.size();
}

}  // namespace ferryrock::load
