#pragma once

#include <cstdint>
#include <vector>

#include "common/time.h"

namespace ferryrock::load::experiment {

/// Figures of one policy on one trace, of models for which no replicas are held without demand.
struct ExperimentFigures {
  std::uint64_t requests = 0;
  std::uint64_t cold = 0;     ///< requests that found no replica ready
  std::uint64_t refused = 0;  ///< whose deadline passed before a replica was ready
  std::uint64_t loads = 0;
  std::uint64_t loads_from_store = 0;
  double cold_seconds = 0;  ///< waited for a replica, over all requests
  double p50_cold = 0;      ///< seconds, of the requests that found no replica
  double p50 = 0;           ///< seconds until a replica was ready, of all requests; 0 if one was
  double p99 = 0;
  double p999 = 0;
  double held_hours = 0;  ///< accelerator hours, each replica by its share of the accelerator's memory
  double idle_hours = 0;  ///< of them, while the replica ran no request
};

/// Adds up what an experiment measures. Nothing before the begin counts.
class ExperimentMeter {
 public:
  explicit ExperimentMeter(TimePoint begin) : begin_(begin), advanced_to_(begin) {}

  void onServed(TimePoint arrived, Duration cold_start);
  void onRefused(TimePoint arrived, Duration waited);
  void onLoad(TimePoint now, bool from_store);
  /// The share of accelerators held, or busy, changed by an amount.
  void addHeld(TimePoint now, double share);
  void addBusy(TimePoint now, double share);
  ExperimentFigures figures(TimePoint end);

 private:
  void advance(TimePoint now);

  TimePoint begin_;
  TimePoint advanced_to_;
  double held_ = 0;
  double busy_ = 0;
  std::vector<double> waits_;  ///< seconds, of cold requests only
  ExperimentFigures sums_;
};

}  // namespace ferryrock::load::experiment
