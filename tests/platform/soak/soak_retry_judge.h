#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "platform/soak/soak_oracle.h"

namespace ferryrock::platform {

/// Judges the attempts that arrive at the replicas of each service beyond the first of each call, over all
/// routers and in any window. Logic only.
class SoakRetryJudge {
 public:
  explicit SoakRetryJudge(SoakOracle& oracle) : oracle_(oracle) {}

  void onSent(const std::string& service, TimePoint now);
  void onArrived(const std::string& service, const std::string& id, TimePoint now);
  /// Breaks BUDGET for each service whose bound doesn't hold in some window.
  void judge();
  /// Largest share of a budget that was used in a window.
  double worstUse() const { return worst_use_; }

  static constexpr Duration kWindow = std::chrono::seconds(10);
  static constexpr double kShare = 0.2;
  static constexpr double kSlack = 10;

 private:
  struct Service {
    std::vector<TimePoint> sent;
    std::set<std::string> arrived;
    std::vector<TimePoint> repeats;
  };
  static std::size_t count(const std::vector<TimePoint>& times, TimePoint from, TimePoint to);
  static double allowedFrom(const Service& service, TimePoint from);

  SoakOracle& oracle_;
  std::map<std::string, Service> services_;
  double worst_use_ = 0;
};

}  // namespace ferryrock::platform
