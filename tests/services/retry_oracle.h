#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "balance/retry_budget_settings.h"
#include "common/time.h"

namespace ferryrock::services {

/// Checks the arrivals at the replicas of one service against its retry budget, as an observer outside of the
/// system counts them. Callers' requests are numbered by the test.
class RetryOracle {
 public:
  explicit RetryOracle(const balance::RetryBudgetSettings& budget) : budget_(budget) {}

  void requestSent(TimePoint at) { requests_.push_back(at); }
  void arrived(const std::string& request, TimePoint at) {
    if (!arrived_.insert(request).second) {
      repeats_.push_back(at);
    }
  }
  /// Largest number of repeated arrivals beyond what the budget allows, over all windows; 0 or less: the
  /// budget was kept.
  double worstExcess() const {
    double worst = -budget_.slack;
    for (const TimePoint from : repeats_) {
      worst = std::max(worst, static_cast<double>(repeatsSince(from)) - allowedFrom(from));
    }
    return worst;
  }
  /// Largest share of the budget that was used in a window.
  double worstUse() const {
    double worst = 0;
    for (const TimePoint from : repeats_) {
      worst = std::max(worst, static_cast<double>(repeatsSince(from)) / allowedFrom(from));
    }
    return worst;
  }

 private:
  std::size_t repeatsSince(TimePoint from) const { return count(repeats_, from, from + budget_.window); }
  /// Requests count in the window, in the one before it, or half a window before it, whichever holds the
  /// most.
  double allowedFrom(TimePoint from) const {
    const Duration window = budget_.window;
    const std::size_t requests =
        std::max({count(requests_, from, from + window), count(requests_, from - window, from),
                  count(requests_, from - window / 2, from + window / 2)});
    return budget_.share * static_cast<double>(requests) + budget_.slack;
  }
  static std::size_t count(const std::vector<TimePoint>& times, TimePoint from, TimePoint to) {
    return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), to) -
                                    std::lower_bound(times.begin(), times.end(), from));
  }

  balance::RetryBudgetSettings budget_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> repeats_;
  std::set<std::string> arrived_;
};

}  // namespace ferryrock::services
