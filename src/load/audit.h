#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "load/call_record.h"
#include "load/change_record.h"
#include "load/decisions.h"
#include "load/fault_history.h"
#include "load/journal.h"
#include "load/planned_operation.h"
#include "load/served_names.h"

namespace ferryrock::load {

/// What the audit looks for; a clean run has none of any.
enum class Offence : std::uint8_t {
  Lost,                 ///< a call without a final answer from a router that nobody had disturbed
  AnsweredTwice,        ///< an answer that ended twice, or one request's answer given to two callers
  RunTwice,             ///< a key that engines admitted more than once
  RefusedButRun,        ///< refused as not run, and an engine had admitted it
  Late,                 ///< a final answer after the deadline and the slack
  NotOwn,               ///< text that doesn't belong to the caller's request
  NotWhole,             ///< an answer that claims to be complete and isn't
  Untruthful,           ///< an answer without a stated outcome, or text from a request that says "not-run"
  HeldUndecided,        ///< a replica that was held without a decision, or beyond the model's limit
  MemoryOvercommitted,  ///< more memory held on an accelerator than it has
  WorkToLeaving,        ///< a run admitted by an engine that had been leaving for longer than the grace
  ChangeLost,           ///< an accepted change that the cell's history or tree doesn't hold at the end
  ChangeTwice,          ///< a change identifier with two outcomes, or a version accepted twice
  ChangeReverted,       ///< a process whose settings went back to an older version
  ChangeLate,           ///< an accepted change that a process didn't have in force in time
  Unrecorded,           ///< a planned operation without any record: the evidence isn't whole
};

/// All offences, in the order of the table.
const std::vector<Offence>& allOffences();
std::string offenceTitle(Offence offence);

struct Offender {
  Offence offence = Offence::Lost;
  std::string subject;  ///< operation, key, slot or accelerator
  std::string detail;
};

struct AuditSettings {
  /// How long after its deadline an answer still counts as in time: scheduling of the caller's own machine.
  std::int64_t late_slack_ms = 250;
  /// How long after it began to leave an engine may still admit runs.
  std::int64_t leaving_grace_ms = 4'000;
  /// How long after its acceptance a change must be in force at every process.
  std::int64_t in_force_ms = 4'000;
};

struct AuditInput {
  std::vector<CallRecord> calls;
  std::vector<EngineJournal> journals;
  std::optional<Decisions> decisions;  ///< without them, only uniqueness of slots is checked
  FaultHistory faults;
  ServedNames names;                      ///< what engines run for the names that callers address
  ChangeHistory changes;                  ///< empty: no operators were recorded
  std::vector<PlannedOperation> planned;  ///< empty: records aren't compared with a trace
};

/// Plain counts beside the offences, so that a clean audit can be told from an empty one.
struct AuditCounts {
  std::uint64_t operations = 0;
  std::uint64_t calls = 0;
  std::uint64_t ran = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t outcome_unknown = 0;
  std::uint64_t left = 0;
  std::uint64_t excused_calls =
      0;  ///< calls broken or late while their own router was dead, paused or cut on purpose
  std::uint64_t unanswered_operations = 0;  ///< operations none of whose calls ended with an answer
  std::uint64_t engine_runs = 0;
  std::uint64_t replicas_held = 0;
  std::uint64_t torn_journal_lines = 0;
  std::uint64_t slots_decided = 0;
  std::uint64_t leaving_engines = 0;
  WallMilliseconds last_work_to_leaving_ms = 0;  ///< longest time from leaving to an engine's last new run
  std::uint64_t changes_accepted = 0;
  std::uint64_t changes_refused = 0;
  std::uint64_t versions_sighted = 0;
};

struct AuditReport {
  AuditCounts counts;
  std::vector<Offender> offenders;

  bool clean() const { return offenders.empty(); }
  std::uint64_t count(Offence offence) const;
};

/// Joins what callers saw with what engines did. Knows nothing of the product's insides.
AuditReport audit(const AuditInput& input, const AuditSettings& settings);

/// The table for people: counts, then offences, then each offender (at most max_offenders of each kind).
std::string formatReport(const AuditReport& report, std::size_t max_offenders);

}  // namespace ferryrock::load
