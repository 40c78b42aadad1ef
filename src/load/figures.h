#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/call_record.h"
#include "load/decisions.h"
#include "load/fault_history.h"
#include "load/journal.h"

/// Figures of runs on a fleet, one comparable line each.
namespace ferryrock::load {

/// Everything that a run on a fleet left.
struct RunEvidence {
  std::vector<CallRecord> calls;
  std::vector<EngineJournal> journals;
  Decisions decisions;
  FaultHistory faults;
};

/// What a burst of requests for one cold model met. Times are in milliseconds.
struct BurstFigures {
  std::uint64_t requests = 0;
  std::uint64_t ran = 0;
  std::uint64_t replicas_held = 0;
  std::uint64_t replicas_decided = 0;
  WallMilliseconds first_decision_ms = 0;  ///< from the first request to the first decision
  WallMilliseconds load_ms = 0;            ///< from the first load's beginning to a ready replica
  WallMilliseconds service_p50_ms = 0;     ///< from an engine's admission of a request to its end
  WallMilliseconds latency_p50_ms = 0;
  WallMilliseconds latency_p99_ms = 0;
  /// The 99th percentile if all requests had been there at once, each replica had begun its load when it did,
  /// had run `concurrency` requests from the moment it was ready without a pause, and nothing else had taken
  /// time.
  WallMilliseconds bound_p99_ms = 0;
};

/// concurrency: requests that one replica runs at once.
BurstFigures burstFigures(const RunEvidence& evidence, const std::string& model, std::uint32_t concurrency);
std::string formatBurst(const BurstFigures& figures);

/// What callers met around one caused failure or planned stop. "Before" and "after" are windows of equal
/// length.
struct DisturbanceFigures {
  std::string action;
  std::string name;
  WallMilliseconds wall_ms = 0;
  /// Until an engine began a load that was decided afterwards; -1: none did.
  WallMilliseconds first_order_ms = -1;
  WallMilliseconds longest_gap_before_ms = 0;  ///< between two signs of progress of answers
  WallMilliseconds longest_gap_after_ms = 0;
  WallMilliseconds first_token_p99_before_ms = 0;  ///< of streams without a key, for models asked for before
  WallMilliseconds first_token_p99_after_ms = 0;
  WallMilliseconds keyed_first_token_p99_after_ms = 0;  ///< of requests with a key: they wait for their claim
  std::uint64_t in_flight = 0;                          ///< calls under way at the moment, over all routers
  std::uint64_t in_flight_at_it = 0;                    ///< of these, at the disturbed router
  std::uint64_t cut_after = 0;      ///< calls that were sent and got no final answer, begun before or after
  std::uint64_t unsent_after = 0;   ///< calls of which no byte left
  std::uint64_t not_ran_after = 0;  ///< refused, or of unknown outcome
};

/// One entry for each record of that action in the fault log whose name begins so.
std::vector<DisturbanceFigures> disturbanceFigures(const RunEvidence& evidence, const std::string& action,
                                                   const std::string& name_prefix,
                                                   WallMilliseconds window_ms);
std::string formatDisturbances(const std::vector<DisturbanceFigures>& figures);

}  // namespace ferryrock::load
