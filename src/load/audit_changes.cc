#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "load/audit_parts.h"

/// Checks of the operators' changes against what the cell and its processes show.
namespace ferryrock::load {

namespace {

/// One accepted change over all of its sendings.
struct AcceptedChange {
  std::string change_id;
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  WallMilliseconds accepted_ms = 0;  ///< when an operator was first told
};

using AcceptedByVersion = std::map<std::uint64_t, AcceptedChange>;

void offend(AuditReport& report, Offence offence, const std::string& subject, const std::string& detail) {
  report.offenders.push_back({offence, subject, detail});
}

/// Every definite answer to one identifier must be the same, and a version belongs to one change.
AcceptedByVersion collectAccepted(const std::vector<ChangeRecord>& changes, AuditReport& report) {
  AcceptedByVersion accepted;
  std::map<std::string, const ChangeRecord*> first_answer;
  for (const ChangeRecord& change : changes) {
    if (change.outcome == ChangeOutcome::Unknown) {
      continue;
    }
    const auto [first, is_first] = first_answer.emplace(change.change_id, &change);
    if (first->second->outcome != change.outcome || first->second->version != change.version) {
      offend(report, Offence::ChangeTwice, "change " + change.change_id,
             "first answered with version " + std::to_string(first->second->version) +
                 ", then with version " + std::to_string(change.version) + " (0: refused)");
    }
    if (is_first) {
      ++(change.outcome == ChangeOutcome::Accepted ? report.counts.changes_accepted
                                                   : report.counts.changes_refused);
    }
    if (change.outcome != ChangeOutcome::Accepted) {
      continue;
    }
    const AcceptedChange entry{change.change_id, change.base_version, change.version, change.end_ms};
    AcceptedChange& kept = accepted.emplace(change.version, entry).first->second;
    if (kept.change_id != change.change_id) {
      offend(report, Offence::ChangeTwice, "version " + std::to_string(change.version),
             "given to the changes " + kept.change_id + " and " + change.change_id);
    }
    kept.accepted_ms = std::min(kept.accepted_ms, change.end_ms);
  }
  return accepted;
}

/// Of two changes from one version only one may win; else the later one undid the earlier unseen.
void checkBases(const AcceptedByVersion& accepted, AuditReport& report) {
  std::map<std::uint64_t, const AcceptedChange*> by_base;
  for (const auto& [version, change] : accepted) {
    const auto [other, inserted] = by_base.emplace(change.base_version, &change);
    if (!inserted) {
      offend(report, Offence::ChangeLost, "change " + other->second->change_id,
             "overwritten by " + change.change_id + ", accepted from the same version " +
                 std::to_string(change.base_version));
    }
  }
}

/// The history read at the end is bounded: only what isn't older than its first entry must be in it.
void checkHistory(const AcceptedByVersion& accepted, const std::vector<HistoryLine>& history,
                  AuditReport& report) {
  if (history.empty()) {
    return;
  }
  std::map<std::uint64_t, std::string> by_version;
  for (const HistoryLine& line : history) {
    by_version[line.version] = line.change_id;
  }
  for (const auto& [version, change] : accepted) {
    const auto found = by_version.find(version);
    const bool lost =
        found == by_version.end() ? version >= by_version.begin()->first : found->second != change.change_id;
    if (lost) {
      offend(report, Offence::ChangeLost, "change " + change.change_id,
             "accepted as version " + std::to_string(version) + ", which the history gives to '" +
                 (found == by_version.end() ? "" : found->second) + "'");
    }
  }
}

/// Follows what each process showed, in the order asked.
class SightingCheck {
 public:
  SightingCheck(const AcceptedByVersion& accepted, const FaultHistory& faults, WallMilliseconds in_force_ms,
                AuditReport& report)
      : accepted_(accepted), faults_(faults), in_force_ms_(in_force_ms), report_(report) {}

  void add(const VersionSighting& sighting) {
    std::uint64_t& highest = highest_[sighting.process];
    if (sighting.version != 0 && sighting.version < highest) {
      offend(report_, Offence::ChangeReverted, sighting.process,
             "version " + std::to_string(sighting.version) + " at " + std::to_string(sighting.answered_ms) +
                 " after version " + std::to_string(highest));
    }
    highest = std::max(highest, sighting.version);
    checkInForce(sighting);
  }

 private:
  /// Each version that is late at a process is told once.
  void checkInForce(const VersionSighting& sighting) {
    for (auto change = accepted_.upper_bound(sighting.version); change != accepted_.end(); ++change) {
      const WallMilliseconds since =
          faults_.undisturbedSince(sighting.process, change->second.accepted_ms, sighting.asked_ms);
      const bool late = sighting.asked_ms > since + in_force_ms_;
      if (late && told_.emplace(sighting.process, change->first).second) {
        offend(report_, Offence::ChangeLate, sighting.process,
               "version " + std::to_string(sighting.version) + " in force " +
                   std::to_string(sighting.asked_ms - since) + " ms after version " +
                   std::to_string(change->first) + " was accepted");
      }
    }
  }

  const AcceptedByVersion& accepted_;
  const FaultHistory& faults_;
  WallMilliseconds in_force_ms_;
  AuditReport& report_;
  std::map<std::string, std::uint64_t> highest_;
  std::set<std::pair<std::string, std::uint64_t>> told_;
};

}  // namespace

void auditChanges(const AuditInput& input, const AuditSettings& settings, AuditReport& report) {
  const ChangeHistory& changes = input.changes;
  const AcceptedByVersion accepted = collectAccepted(changes.changes, report);
  checkBases(accepted, report);
  checkHistory(accepted, changes.final_history, report);
  SightingCheck check(accepted, input.faults, settings.in_force_ms, report);
  for (const VersionSighting& sighting : changes.sightings) {
    check.add(sighting);
  }
  report.counts.versions_sighted = changes.sightings.size();
}

}  // namespace ferryrock::load
