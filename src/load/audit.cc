#include "load/audit.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "common/error.h"
#include "load/audit_parts.h"

namespace ferryrock::load {

namespace {

constexpr int kTitleWidth = 52;
constexpr int kCountWidth = 10;

void writeRow(std::ostringstream& out, const std::string& title, std::uint64_t count) {
  out << "  " << std::left << std::setw(kTitleWidth) << title << std::right << std::setw(kCountWidth) << count
      << "\n";
}

void writeCounts(std::ostringstream& out, const AuditCounts& counts) {
  out << "seen\n";
  writeRow(out, "operations of callers", counts.operations);
  writeRow(out, "calls", counts.calls);
  writeRow(out, "  answered: ran", counts.ran);
  writeRow(out, "  refused: not run", counts.refused_not_run);
  writeRow(out, "  failed: outcome unknown", counts.outcome_unknown);
  writeRow(out, "  left by the caller", counts.left);
  writeRow(out, "  broken or late by a caused failure of the router", counts.excused_calls);
  writeRow(out, "operations without an answer", counts.unanswered_operations);
  writeRow(out, "runs admitted by engines", counts.engine_runs);
  writeRow(out, "replicas held", counts.replicas_held);
  writeRow(out, "replicas decided", counts.slots_decided);
  writeRow(out, "journal lines torn by an engine's death", counts.torn_journal_lines);
  writeRow(out, "engines that were leaving", counts.leaving_engines);
  writeRow(out, "  longest time to their last new run (ms)",
           static_cast<std::uint64_t>(counts.last_work_to_leaving_ms));
  writeRow(out, "changes accepted", counts.changes_accepted);
  writeRow(out, "changes refused", counts.changes_refused);
  writeRow(out, "versions sighted at processes", counts.versions_sighted);
}

void writeOffenders(std::ostringstream& out, const AuditReport& report, Offence offence, std::size_t limit) {
  std::size_t written = 0;
  for (const Offender& offender : report.offenders) {
    if (offender.offence != offence) {
      continue;
    }
    if (written == limit) {
      out << "  ... and " << report.count(offence) - limit << " more\n";
      return;
    }
    out << "  " << offenceTitle(offence) << ": " << offender.subject << ": " << offender.detail << "\n";
    ++written;
  }
}

}  // namespace

const std::vector<Offence>& allOffences() {
  static const std::vector<Offence> offences = {Offence::Lost,          Offence::AnsweredTwice,
                                                Offence::RunTwice,      Offence::RefusedButRun,
                                                Offence::Late,          Offence::NotOwn,
                                                Offence::NotWhole,      Offence::Untruthful,
                                                Offence::HeldUndecided, Offence::MemoryOvercommitted,
                                                Offence::WorkToLeaving, Offence::ChangeLost,
                                                Offence::ChangeTwice,   Offence::ChangeReverted,
                                                Offence::ChangeLate,    Offence::Unrecorded};
  return offences;
}

std::string offenceTitle(Offence offence) {
  switch (offence) {
    case Offence::Lost:
      return "lost";
    case Offence::AnsweredTwice:
      return "answered twice";
    case Offence::RunTwice:
      return "run twice";
    case Offence::RefusedButRun:
      return "refused as not run but run";
    case Offence::Late:
      return "answered late";
    case Offence::NotOwn:
      return "answer not the caller's own";
    case Offence::NotWhole:
      return "answer not whole";
    case Offence::Untruthful:
      return "answer without a true outcome";
    case Offence::HeldUndecided:
      return "replica held beyond those decided";
    case Offence::MemoryOvercommitted:
      return "memory overcommitted";
    case Offence::WorkToLeaving:
      return "new work to a leaving engine";
    case Offence::ChangeLost:
      return "accepted change lost";
    case Offence::ChangeTwice:
      return "change with two outcomes";
    case Offence::ChangeReverted:
      return "settings reverted";
    case Offence::ChangeLate:
      return "change not in force in time";
    case Offence::Unrecorded:
      return "planned operation without a record";
  }
  throw Error(ResultCode::Internal, "unknown offence");
}

std::uint64_t AuditReport::count(Offence offence) const {
  return static_cast<std::uint64_t>(
      std::count_if(offenders.begin(), offenders.end(),
                    [offence](const Offender& offender) { return offender.offence == offence; }));
}

AuditReport audit(const AuditInput& input, const AuditSettings& settings) {
  AuditReport report;
  for (const EngineJournal& journal : input.journals) {
    report.counts.torn_journal_lines += journal.torn_lines;
  }
  auditAnswers(input, settings, report);
  auditRuns(input, report);
  auditLeaving(input, settings, report);
  auditChanges(input, settings, report);
  auditReplicas(input, report);
  auditMemory(input, report);
  return report;
}

std::string formatReport(const AuditReport& report, std::size_t max_offenders) {
  std::ostringstream out;
  writeCounts(out, report.counts);
  out << "offences\n";
  for (const Offence offence : allOffences()) {
    writeRow(out, offenceTitle(offence), report.count(offence));
  }
  if (!report.clean()) {
    out << "offenders\n";
    for (const Offence offence : allOffences()) {
      writeOffenders(out, report, offence, max_offenders);
    }
  }
  out << (report.clean() ? "audit: clean\n" : "audit: NOT clean\n");
  return out.str();
}

}  // namespace ferryrock::load
