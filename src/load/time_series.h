#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/call_record.h"
#include "load/fault_history.h"

namespace ferryrock::load {

/// What callers met within one interval of a run; calls count where they ended.
struct SeriesPoint {
  double second = 0;  ///< beginning of the interval, since the first call
  std::uint64_t ran = 0;
  std::uint64_t not_ran = 0;  ///< refused, or of unknown outcome
  std::uint64_t broken = 0;   ///< without a final answer
  WallMilliseconds first_token_p50_ms = 0;
  WallMilliseconds first_token_p99_ms = 0;
  WallMilliseconds latency_p50_ms = 0;
  WallMilliseconds latency_p99_ms = 0;
};

/// The run in intervals of equal length, empty ones included.
std::vector<SeriesPoint> timeSeries(const std::vector<CallRecord>& records, WallMilliseconds interval_ms);

/// Writes series.tsv and plot.gp into the folder, which is made if it's missing. 'gnuplot plot.gp', run in
/// the folder, draws latency, time to the first token and answers a second over time, with a mark for each
/// caused failure. Throws Error UnreadableFile.
void writePlot(const std::string& folder, const std::vector<CallRecord>& records, const FaultHistory& faults,
               WallMilliseconds interval_ms);

}  // namespace ferryrock::load
