#pragma once

#include "load/audit.h"

/// The parts of the audit; each adds its counts and offenders to the report.
namespace ferryrock::load {

/// Lost, answered twice, late, not the caller's own, not whole, untruthful: from the callers' records.
void auditAnswers(const AuditInput& input, const AuditSettings& settings, AuditReport& report);
/// Run twice, refused but run, "ran" without a run: from the callers' records joined with the engines'
/// journals.
void auditRuns(const AuditInput& input, AuditReport& report);
/// Replicas held beyond those decided: from the journals and the decisions.
void auditReplicas(const AuditInput& input, AuditReport& report);
/// Memory overcommitted: from the journals.
void auditMemory(const AuditInput& input, AuditReport& report);

/// New work to leaving engines: from the journals and the fault log.
void auditLeaving(const AuditInput& input, const AuditSettings& settings, AuditReport& report);
/// Lost, reverted, doubled and late changes: from the operators' records and the sightings of versions.
void auditChanges(const AuditInput& input, const AuditSettings& settings, AuditReport& report);

}  // namespace ferryrock::load
