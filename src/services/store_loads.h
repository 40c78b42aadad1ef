#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>

#include "common/identifiers.h"
#include "common/time.h"
#include "placement/store_estimator.h"

namespace ferryrock::services {

/// The loads of one service from the weight store: how many may be under way (learned from how long they
/// take), how many may begin (stated by the operator), and when one that has to wait would end. Used by one
/// thread.
class StoreLoads {
 public:
  /// bounded_by_width: false leaves the operator's rate as the only bound.
  explicit StoreLoads(bool bounded_by_width = true);

  /// A load that takes so long at full speed is wanted.
  void expectLoad(Duration nominal) { estimator_.expectLoad(nominal); }
  /// loads_per_second: as the operator states it; 0: not limited.
  bool mayBegin(double loads_per_second, TimePoint now);
  void onBegun(const ReplicaId& replica, Duration nominal, TimePoint now);
  /// The replica holds the model now.
  void onEnded(const ReplicaId& replica, TimePoint now);
  /// The load wasn't taken, or nobody knows what became of it.
  void onDropped(const ReplicaId& replica, TimePoint now);
  /// Learns from loads that should have ended. Call now and then.
  void observeOverdue(TimePoint now);
  /// Drops loads of other replicas.
  void keepIf(const std::function<bool(const ReplicaId&)>& kept, TimePoint now);

  std::uint32_t underWay() const { return static_cast<std::uint32_t>(loads_.size()); }
  double width() const { return estimator_.width(); }

  /// When loads that wait would end, each beginning as soon as the ones before it leave room.
  class Forecast {
   public:
    Forecast(std::multiset<TimePoint> ends, std::size_t width) : ends_(std::move(ends)), width_(width) {}
    /// The next one that waits.
    TimePoint add(Duration nominal, TimePoint now);

   private:
    std::multiset<TimePoint> ends_;  ///< of what is under way or ahead
    std::size_t width_;
  };
  Forecast forecast(TimePoint now) const;

 private:
  struct Load {
    TimePoint begun{};
    Duration nominal{};
    double load_seconds_before = 0;
  };
  void advance(TimePoint now);
  double concurrentSince(const Load& load, TimePoint now) const;
  Duration expected(const Load& load) const;
  void remove(std::map<ReplicaId, Load>::iterator load, TimePoint now);

  bool bounded_by_width_;
  placement::StoreEstimator estimator_;
  std::map<ReplicaId, Load> loads_;
  std::deque<TimePoint> begun_;  ///< of the last window, oldest first
  double load_seconds_ = 0;      ///< integral of the number of loads under way
  TimePoint advanced_{};
  TimePoint next_look_{};
};

}  // namespace ferryrock::services
