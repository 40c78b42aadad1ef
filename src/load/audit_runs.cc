#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "load/audit_parts.h"

/// Checks of what engines admitted against what callers were told.
namespace ferryrock::load {

namespace {

/// One admission by an engine.
struct Run {
  std::string engine;
  const JournalEvent* begin = nullptr;
};

using RunsByName = std::map<std::string, std::vector<Run>>;

struct RunIndex {
  RunsByName by_key;
  RunsByName by_request;
  std::uint64_t count = 0;
};

RunIndex indexRuns(const std::vector<EngineJournal>& journals) {
  RunIndex index;
  for (const EngineJournal& journal : journals) {
    for (const JournalEvent& event : journal.events) {
      if (event.kind != JournalEventKind::RunBegin) {
        continue;
      }
      ++index.count;
      index.by_request[event.request].push_back({journal.engine, &event});
      if (!event.key.empty()) {
        index.by_key[event.key].push_back({journal.engine, &event});
      }
    }
  }
  return index;
}

std::string describe(const Run& run) {
  return run.engine + " attempt " + run.begin->attempt + " from chunk " +
         std::to_string(run.begin->from_chunk) + " at " + std::to_string(run.begin->wall_ms) + " (" +
         run.begin->place + ")";
}

void checkKeys(const RunIndex& index, AuditReport& report) {
  for (const auto& [key, runs] : index.by_key) {
    if (runs.size() < 2) {
      continue;
    }
    std::string detail;
    for (const Run& run : runs) {
      detail += (detail.empty() ? "" : "; ") + describe(run);
    }
    report.offenders.push_back({Offence::RunTwice, "key " + key, detail});
  }
}

/// The first run that contradicts a call's "not-run": any run of the call's own request, and for a keyed
/// request any run of the key that began before the caller was told.
const Run* contradictingRun(const CallRecord& call, const RunIndex& index) {
  const auto own = index.by_request.find(call.request_id);
  if (!call.request_id.empty() && own != index.by_request.end()) {
    return &own->second.front();
  }
  const auto keyed = index.by_key.find(call.key);
  if (call.key.empty() || keyed == index.by_key.end()) {
    return nullptr;
  }
  const auto run = std::find_if(keyed->second.begin(), keyed->second.end(),
                                [&call](const Run& each) { return each.begin->wall_ms < call.end_ms; });
  return run == keyed->second.end() ? nullptr : &*run;
}

bool anyRun(const CallRecord& call, const RunIndex& index) {
  return index.by_request.contains(call.request_id) || (!call.key.empty() && index.by_key.contains(call.key));
}

void checkRefused(const CallRecord& call, const RunIndex& index, AuditReport& report) {
  if (const Run* run = contradictingRun(call, index)) {
    report.offenders.push_back({Offence::RefusedButRun,
                                call.operation + "/" + std::to_string(call.call) + " " + call.request_id,
                                "told 'not-run', but " + describe(*run)});
  }
}

/// A whole answer must come from an admission: of its own request, or of its key for a stored answer.
void checkAnswered(const CallRecord& call, const RunIndex& index, AuditReport& report) {
  if (call.whole && !anyRun(call, index)) {
    report.offenders.push_back({Offence::Untruthful,
                                call.operation + "/" + std::to_string(call.call) + " " + call.request_id,
                                "told 'ran', but no engine admitted the request or its key"});
  }
}

}  // namespace

void auditRuns(const AuditInput& input, AuditReport& report) {
  const RunIndex index = indexRuns(input.journals);
  report.counts.engine_runs = index.count;
  checkKeys(index, report);
  for (const CallRecord& call : input.calls) {
    if (call.outcome == "not-run") {
      checkRefused(call, index, report);
    } else if (call.outcome == "ran") {
      checkAnswered(call, index, report);
    }
  }
}

void auditLeaving(const AuditInput& input, const AuditSettings& settings, AuditReport& report) {
  report.counts.leaving_engines = input.faults.leavingCount();
  for (const EngineJournal& journal : input.journals) {
    for (const JournalEvent& event : journal.events) {
      if (event.kind != JournalEventKind::RunBegin) {
        continue;
      }
      const auto since = input.faults.leavingSince(journal.engine, event.wall_ms);
      if (!since) {
        continue;
      }
      const WallMilliseconds after_ms = event.wall_ms - *since;
      report.counts.last_work_to_leaving_ms = std::max(report.counts.last_work_to_leaving_ms, after_ms);
      if (after_ms > settings.leaving_grace_ms) {
        report.offenders.push_back({Offence::WorkToLeaving, journal.engine,
                                    "attempt " + event.attempt + " was admitted " + std::to_string(after_ms) +
                                        " ms after it began to leave (" + event.place + ")"});
      }
    }
  }
}

}  // namespace ferryrock::load
