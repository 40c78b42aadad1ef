#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "common/time.h"
#include "platform/soak/soak_oracle.h"

namespace ferryrock::platform {

/// Judges how first attempts are served at routers that are partitioned from all replicas. From kContactTime
/// after the start of a partition on they must be served at least two thirds as often as those at routers
/// that aren't partitioned, unless no more than 10 + 1 in 50 of all fail there.
class SoakReachJudge {
 public:
  explicit SoakReachJudge(SoakOracle& oracle) : oracle_(oracle) {}

  /// The router at this address is partitioned in this time.
  void partition(const std::string& router, TimePoint from, TimePoint to);
  /// The router's calls don't count in this time, since it is down or has just been.
  void excuse(const std::string& router, TimePoint from, TimePoint to);
  void onOutcome(const std::string& router, TimePoint sent, bool served);
  /// True if a request of the router that arrives now may have been held up by a partition: its link was cut
  /// in the last kContactTime.
  bool holdsUp(const std::string& router, TimePoint now) const;
  /// Breaks RECOVER for each partition whose bound doesn't hold.
  void judge();
  std::size_t judged() const { return judged_; }

  static constexpr Duration kContactTime = std::chrono::seconds(3);

 private:
  struct Period {
    std::string router;
    TimePoint from{};
    TimePoint to{};
  };
  struct Counts {
    std::size_t sent = 0;
    std::size_t served = 0;
  };
  struct Partition {
    Period period;
    Counts there;
    Counts elsewhere;
  };

  bool excused(const std::string& router, TimePoint at) const;
  bool partitionedAt(const std::string& router, TimePoint at) const;

  SoakOracle& oracle_;
  std::vector<Partition> partitions_;
  std::vector<Period> excused_;
  std::size_t judged_ = 0;
};

}  // namespace ferryrock::platform
