#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "common/time.h"
#include "load/experiment/usage_trace.h"
#include "wire/messages.h"

namespace ferryrock::load::experiment {

/// What one router knows of demand, and the reports it makes of it: only names whose figures changed.
class RouterDemand {
 public:
  explicit RouterDemand(NodeName name) : name_(std::move(name)) {}

  void onArrival(std::size_t model, TimePoint deadline);
  /// A waiting request was dispatched, or given up.
  void onWaitEnded(std::size_t model, TimePoint deadline);
  void onStarted(std::size_t model);
  void onEnded(std::size_t model);
  bool changed() const { return !changed_.empty(); }
  wire::DemandReport takeReport(const std::vector<wire::ResolvedModel>& models, TimePoint now);

 private:
  struct Figures {
    std::multiset<TimePoint> deadlines;  ///< of waiting requests
    std::uint32_t running = 0;
    std::uint64_t arrivals = 0;
  };

  NodeName name_;
  std::map<std::size_t, Figures> figures_;
  std::set<std::size_t> changed_;
  std::uint64_t sequence_ = 0;
};

}  // namespace ferryrock::load::experiment
