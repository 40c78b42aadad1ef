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

/// Tracks the loads of one service from the weight store: how many may run concurrently (learned from their
/// durations), how many may begin per second (set by the operator), and when a queued load is expected to
/// end. Not thread-safe.
class StoreLoads {
 public:
  /// bounded_by_width: if false, only the operator's rate limits loads.
  explicit StoreLoads(bool bounded_by_width = true);

  /// Announces demand for a load of this duration at full speed.
  void expectLoad(Duration nominal) { estimator_.expectLoad(nominal); }
  /// loads_per_second: the operator's limit; 0: unlimited.
  bool mayBegin(double loads_per_second, TimePoint now);
  void onBegun(const ReplicaId& replica, Duration nominal, TimePoint now);
  /// The load is complete: the replica holds the model.
  void onEnded(const ReplicaId& replica, TimePoint now);
  /// The replica rejected the load, or its outcome is unknown. Its duration isn't used for learning.
  void onDropped(const ReplicaId& replica, TimePoint now);
  /// Lowers the width if loads in progress are overdue. To be called periodically; evaluates at most every
  /// 500 ms.
  void observeOverdue(TimePoint now);
  /// Drops the loads of replicas for which `kept` returns false.
  void keepIf(const std::function<bool(const ReplicaId&)>& kept, TimePoint now);

  std::uint32_t inFlight() const { return static_cast<std::uint32_t>(loads_.size()); }
  double width() const { return estimator_.width(); }

  /// Predicts when queued loads end, if each begins as soon as those ahead of it leave capacity.
  class Forecast {
   public:
    Forecast(std::multiset<TimePoint> ends, std::size_t width) : ends_(std::move(ends)), width_(width) {}
    /// Adds the next queued load and returns its expected end.
    TimePoint add(Duration nominal, TimePoint now);

   private:
    std::multiset<TimePoint> ends_;  ///< expected ends of the loads in progress or ahead in the queue
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
  std::deque<TimePoint> begun_;  ///< begin times within the last window, oldest first
  double load_seconds_ = 0;      ///< time integral of the number of loads in progress
  TimePoint advanced_{};
  TimePoint next_overdue_check_{};
};

}  // namespace ferryrock::services
