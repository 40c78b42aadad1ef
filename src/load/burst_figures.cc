#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <sstream>

#include "load/figures.h"
#include "load/summary.h"

namespace ferryrock::load {

namespace {

constexpr double kTail = 0.99;

/// One replica of the model as its engine's journal tells.
struct ReplicaTimes {
  WallMilliseconds begin_ms = 0;
  WallMilliseconds ready_ms = 0;  ///< 0: never ready
};

std::vector<ReplicaTimes> replicaTimes(const std::vector<EngineJournal>& journals, const std::string& model) {
  std::map<std::uint64_t, ReplicaTimes> by_slot;
  for (const EngineJournal& journal : journals) {
    for (const JournalEvent& event : journal.events) {
      if (event.kind == JournalEventKind::HoldBegin && event.model == model) {
        by_slot[event.slot].begin_ms = event.wall_ms;
      } else if (event.kind == JournalEventKind::HoldReady && by_slot.contains(event.slot)) {
        by_slot[event.slot].ready_ms = event.wall_ms;
      }
    }
  }
  std::vector<ReplicaTimes> times;
  times.reserve(by_slot.size());
  for (const auto& [slot, replica] : by_slot) {
    times.push_back(replica);
  }
  std::sort(times.begin(), times.end(), [](const ReplicaTimes& left, const ReplicaTimes& right) {
    return left.begin_ms < right.begin_ms;
  });
  return times;
}

std::vector<WallMilliseconds> serviceTimes(const std::vector<EngineJournal>& journals,
                                           const std::string& model) {
  std::vector<WallMilliseconds> times;
  for (const EngineJournal& journal : journals) {
    std::map<std::string, WallMilliseconds> begun;
    for (const JournalEvent& event : journal.events) {
      if (event.kind == JournalEventKind::RunBegin && event.model == model) {
        begun[event.attempt] = event.wall_ms;
      } else if (event.kind == JournalEventKind::RunEnd && begun.contains(event.attempt)) {
        times.push_back(event.wall_ms - begun[event.attempt]);
      }
    }
  }
  return times;
}

/// When the request of that rank ends, if each place of a ready replica takes one request after the other.
WallMilliseconds boundOfRank(const std::vector<ReplicaTimes>& replicas, std::uint32_t concurrency,
                             WallMilliseconds service_ms, std::uint64_t rank) {
  std::priority_queue<WallMilliseconds, std::vector<WallMilliseconds>, std::greater<>> free_at;
  for (const ReplicaTimes& replica : replicas) {
    for (std::uint32_t place = 0; replica.ready_ms != 0 && place < concurrency; ++place) {
      free_at.push(replica.ready_ms);
    }
  }
  WallMilliseconds end_ms = 0;
  for (std::uint64_t done = 0; done < rank && !free_at.empty(); ++done) {
    end_ms = free_at.top() + service_ms;
    free_at.pop();
    free_at.push(end_ms);
  }
  return end_ms;
}

}  // namespace

BurstFigures burstFigures(const RunEvidence& evidence, const std::string& model, std::uint32_t concurrency) {
  BurstFigures figures;
  std::vector<WallMilliseconds> latencies;
  WallMilliseconds first_sent_ms = 0;
  for (const CallRecord& call : evidence.calls) {
    if (call.model != model) {
      continue;
    }
    first_sent_ms = figures.requests == 0 ? call.sent_ms : std::min(first_sent_ms, call.sent_ms);
    ++figures.requests;
    if (call.whole) {
      ++figures.ran;
      latencies.push_back(call.end_ms - call.sent_ms);
    }
  }
  const std::vector<ReplicaTimes> replicas = replicaTimes(evidence.journals, model);
  WallMilliseconds first_ready_ms = 0;
  for (const ReplicaTimes& replica : replicas) {
    const bool earlier = first_ready_ms == 0 || replica.ready_ms < first_ready_ms;
    first_ready_ms = replica.ready_ms != 0 && earlier ? replica.ready_ms : first_ready_ms;
  }
  std::vector<WallMilliseconds> decided;
  for (const SlotDecision& decision : evidence.decisions.slots) {
    if (decision.model == model) {
      decided.push_back(decision.wall_ms);
    }
  }
  figures.replicas_held = replicas.size();
  figures.replicas_decided = decided.size();
  figures.first_decision_ms = percentile(decided, 0) - (decided.empty() ? 0 : first_sent_ms);
  figures.load_ms = replicas.empty() ? 0 : first_ready_ms - replicas.front().begin_ms;
  figures.service_p50_ms = percentile(serviceTimes(evidence.journals, model), 0.5);
  figures.latency_p50_ms = percentile(latencies, 0.5);
  figures.latency_p99_ms = percentile(latencies, kTail);
  const auto rank = static_cast<std::uint64_t>(std::ceil(kTail * static_cast<double>(latencies.size())));
  const WallMilliseconds bound_ms = boundOfRank(replicas, concurrency, figures.service_p50_ms, rank);
  figures.bound_p99_ms = bound_ms == 0 ? 0 : bound_ms - first_sent_ms;
  return figures;
}

std::string formatBurst(const BurstFigures& figures) {
  std::ostringstream out;
  out << "burst requests=" << figures.requests << " ran=" << figures.ran
      << " replicas_held=" << figures.replicas_held << " replicas_decided=" << figures.replicas_decided
      << " first_decision_ms=" << figures.first_decision_ms << " load_ms=" << figures.load_ms
      << " service_p50_ms=" << figures.service_p50_ms << " latency_p50_ms=" << figures.latency_p50_ms
      << " latency_p99_ms=" << figures.latency_p99_ms << " bound_p99_ms=" << figures.bound_p99_ms
      << " over_bound_ms=" << figures.latency_p99_ms - figures.bound_p99_ms << "\n";
  return out.str();
}

}  // namespace ferryrock::load
