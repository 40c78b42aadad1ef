#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include "load/figures.h"
#include "load/holds.h"
#include "load/summary.h"

namespace ferryrock::load {

namespace {

struct Window {
  WallMilliseconds from = 0;
  WallMilliseconds to = 0;

  bool holds(WallMilliseconds time) const { return time >= from && time < to; }
};

/// Models that were asked for in the window.
std::set<std::string> modelsWithin(const std::vector<CallRecord>& calls, const Window& window) {
  std::set<std::string> models;
  for (const CallRecord& call : calls) {
    if (window.holds(call.sent_ms)) {
      models.insert(call.model);
    }
  }
  return models;
}

/// Longest time within the window without a first token or an end of an answer that ran.
WallMilliseconds longestGap(const std::vector<CallRecord>& calls, const Window& window) {
  std::vector<WallMilliseconds> progress = {window.from, window.to};
  for (const CallRecord& call : calls) {
    if (!call.whole) {
      continue;
    }
    for (const WallMilliseconds time : {call.first_token_ms.value_or(0), call.end_ms}) {
      if (window.holds(time)) {
        progress.push_back(time);
      }
    }
  }
  std::sort(progress.begin(), progress.end());
  WallMilliseconds longest = 0;
  for (std::size_t index = 1; index < progress.size(); ++index) {
    longest = std::max(longest, progress[index] - progress[index - 1]);
  }
  return longest;
}

/// Of streams for these models, with an idempotency key or without one.
WallMilliseconds firstTokenTail(const std::vector<CallRecord>& calls, const std::set<std::string>& models,
                                const Window& window, bool keyed) {
  std::vector<WallMilliseconds> times;
  for (const CallRecord& call : calls) {
    const bool counts = call.stream && call.first_token_ms && models.contains(call.model) &&
                        call.key.empty() != keyed && window.holds(call.sent_ms);
    if (counts) {
      times.push_back(*call.first_token_ms - call.sent_ms);
    }
  }
  return percentile(times, 0.99);
}

bool withoutAnswer(const CallRecord& call) {
  return call.end == CallEnd::Cut || call.end == CallEnd::TimedOut;
}

void countCall(const CallRecord& call, const FaultRecord& fault, const Window& after,
               DisturbanceFigures& figures) {
  const bool in_flight = call.sent_ms <= fault.wall_ms && call.end_ms > fault.wall_ms;
  figures.in_flight += in_flight ? 1 : 0;
  figures.in_flight_at_it += in_flight && call.router == fault.url ? 1 : 0;
  if (!in_flight && !after.holds(call.sent_ms)) {
    return;
  }
  if (withoutAnswer(call)) {
    ++(call.unsent ? figures.unsent_after : figures.cut_after);
  } else if (call.end == CallEnd::Answered && call.outcome != "ran") {
    ++figures.not_ran_after;
  }
}

WallMilliseconds firstOrder(const RunEvidence& evidence, WallMilliseconds at) {
  std::map<std::uint64_t, WallMilliseconds> decided;
  for (const SlotDecision& decision : evidence.decisions.slots) {
    decided[decision.slot] = decision.wall_ms;
  }
  WallMilliseconds first = -1;
  for (const EngineJournal& journal : evidence.journals) {
    for (const Hold& hold : holdsOf(journal, evidence.faults)) {
      const auto decision = decided.find(hold.slot);
      const bool decided_after = decision != decided.end() && decision->second > at;
      if (decided_after && (first < 0 || hold.begin_ms - at < first)) {
        first = hold.begin_ms - at;
      }
    }
  }
  return first;
}

DisturbanceFigures figuresOf(const RunEvidence& evidence, const FaultRecord& fault,
                             WallMilliseconds window_ms) {
  const Window before{fault.wall_ms - window_ms, fault.wall_ms};
  const Window after{fault.wall_ms, fault.wall_ms + window_ms};
  DisturbanceFigures figures;
  figures.action = fault.action;
  figures.name = fault.name;
  figures.wall_ms = fault.wall_ms;
  figures.first_order_ms = firstOrder(evidence, fault.wall_ms);
  figures.longest_gap_before_ms = longestGap(evidence.calls, before);
  figures.longest_gap_after_ms = longestGap(evidence.calls, after);
  const std::set<std::string> models = modelsWithin(evidence.calls, before);
  figures.first_token_p99_before_ms = firstTokenTail(evidence.calls, models, before, false);
  figures.first_token_p99_after_ms = firstTokenTail(evidence.calls, models, after, false);
  figures.keyed_first_token_p99_after_ms = firstTokenTail(evidence.calls, models, after, true);
  for (const CallRecord& call : evidence.calls) {
    countCall(call, fault, after, figures);
  }
  return figures;
}

}  // namespace

std::vector<DisturbanceFigures> disturbanceFigures(const RunEvidence& evidence, const std::string& action,
                                                   const std::string& name_prefix,
                                                   WallMilliseconds window_ms) {
  std::vector<DisturbanceFigures> figures;
  for (const FaultRecord& fault : evidence.faults.records()) {
    if (fault.action == action && fault.name.starts_with(name_prefix)) {
      figures.push_back(figuresOf(evidence, fault, window_ms));
    }
  }
  return figures;
}

std::string formatDisturbances(const std::vector<DisturbanceFigures>& figures) {
  std::ostringstream out;
  for (const DisturbanceFigures& each : figures) {
    out << each.action << " name=" << each.name << " first_order_ms=" << each.first_order_ms
        << " longest_gap_before_ms=" << each.longest_gap_before_ms
        << " longest_gap_after_ms=" << each.longest_gap_after_ms
        << " first_token_p99_before_ms=" << each.first_token_p99_before_ms
        << " first_token_p99_after_ms=" << each.first_token_p99_after_ms
        << " keyed_first_token_p99_after_ms=" << each.keyed_first_token_p99_after_ms
        << " in_flight=" << each.in_flight << " in_flight_at_it=" << each.in_flight_at_it
        << " cut_after=" << each.cut_after << " unsent_after=" << each.unsent_after
        << " not_ran_after=" << each.not_ran_after << "\n";
  }
  return out.str();
}

}  // namespace ferryrock::load
