#include <algorithm>
#include <map>
#include <optional>
#include <sstream>

#include "load/change_run.h"
#include "load/summary.h"

namespace ferryrock::load {

namespace {

/// Versions by the time of their sending and of their first acceptance.
struct AcceptedTimes {
  WallMilliseconds sent_ms = 0;
  WallMilliseconds accepted_ms = 0;
};

std::map<std::uint64_t, AcceptedTimes> acceptedTimes(const ChangeHistory& history) {
  std::map<std::uint64_t, AcceptedTimes> times;
  for (const ChangeRecord& change : history.changes) {
    if (change.outcome == ChangeOutcome::Accepted) {
      times.emplace(change.version, AcceptedTimes{change.sent_ms, change.end_ms});
    }
  }
  return times;
}

using SightingsByProcess = std::map<std::string, std::vector<VersionSighting>>;

/// When the last of the processes first showed the version or a later one; nothing if one never did.
std::optional<WallMilliseconds> inForceEverywhere(const SightingsByProcess& processes,
                                                  std::uint64_t version) {
  WallMilliseconds latest = 0;
  for (const auto& [process, sightings] : processes) {
    const auto first =
        std::find_if(sightings.begin(), sightings.end(),
                     [version](const VersionSighting& each) { return each.version >= version; });
    if (first == sightings.end()) {
      return std::nullopt;
    }
    latest = std::max(latest, first->answered_ms);
  }
  return latest;
}

void writeFigure(std::ostringstream& out, const std::string& name,
                 const std::vector<WallMilliseconds>& values) {
  out << name << " p50=" << percentile(values, 0.5) << " p99=" << percentile(values, 0.99)
      << " max=" << percentile(values, 1.0) << " n=" << values.size() << "\n";
}

}  // namespace

std::string formatChangeSummary(const ChangeHistory& history) {
  SightingsByProcess processes;
  for (const VersionSighting& sighting : history.sightings) {
    processes[sighting.process].push_back(sighting);
  }
  const auto times = acceptedTimes(history);
  std::vector<WallMilliseconds> accepted;
  std::vector<WallMilliseconds> in_force;
  std::uint64_t nowhere = 0;
  for (const auto& [version, time] : times) {
    accepted.push_back(time.accepted_ms - time.sent_ms);
    const auto everywhere = inForceEverywhere(processes, version);
    if (everywhere) {
      in_force.push_back(std::max<WallMilliseconds>(*everywhere - time.sent_ms, 0));
    } else {
      ++nowhere;
    }
  }
  std::ostringstream out;
  out << "changes accepted=" << times.size() << " processes=" << processes.size()
      << " not_in_force_everywhere=" << nowhere << "\n";
  writeFigure(out, "change_sent_to_accepted_ms", accepted);
  writeFigure(out, "change_sent_to_in_force_everywhere_ms", in_force);
  return out.str();
}

}  // namespace ferryrock::load
