#pragma once

#include <array>
#include <cstdint>

#include "placement/planner.h"

namespace ferryrock::placement {

/// A load from the weight store whose duration at full speed is stated by the operator.
struct TimedLoad {
  Duration nominal{};     ///< at full speed; 0: not stated, nothing is learned
  Duration duration{};    ///< so far
  double concurrent = 1;  ///< loads under way meanwhile, itself included, on average
  bool ended = true;
};

/// Learns how fast checkpoints arrive from each tier, and how many loads the weight store takes: starts a
/// second (its rate) and transfers at full speed (its width). Loads are begun no faster than that, so the
/// order in which they are begun stays this side's choice and isn't left to the store's queue. O(1) for each
/// call.
class StoreEstimator {
 public:
  explicit StoreEstimator(TimePoint now);
  /// Begins at that width, for stores whose loads are timed (onTimedLoad()).
  StoreEstimator(TimePoint now, double width);

  /// A load that takes so long at full speed is wanted. Until a load was timed, the width follows from the
  /// longest of them: a store that is overfull with short loads shows that soon and delays them little, so
  /// short ones may begin wide.
  void expectLoad(Duration nominal);

  /// Expected duration of a load that is begun now.
  Duration expectedLoad(CheckpointTier tier, std::uint64_t bytes) const;
  /// True if another load from the weight store may begin while in_flight of them run.
  bool mayBegin(std::uint32_t in_flight, TimePoint now) const;
  /// Earliest time at which the rate allows another begin.
  TimePoint nextBegin() const { return next_begin_; }
  void onBegun(TimePoint now);
  void onObserved(const LoadObservation& observation);
  /// A load whose duration at full speed is stated has ended, or has lasted so long without ending: learns
  /// the width alone. Loads beyond the width share its speed, so that concurrent / slowdown is the width.
  void onTimedLoad(const TimedLoad& load);
  /// True if another load stays within the width while in_flight run.
  bool hasRoom(std::uint32_t in_flight) const;

  double rate() const { return rate_; }
  double width() const { return width_; }
  /// True while the store gives less than half of the speed that it gave at its best lately.
  bool isSlow() const;

 private:
  struct TierSpeed {
    double seconds_per_byte = 0;
    double fixed_seconds = 0;
    std::uint64_t observations = 0;
  };
  void learnSpeed(const LoadObservation& observation, double slowdown);
  void learnWidth(const LoadObservation& observation, double slowdown);
  void learnRate(const LoadObservation& observation, double slowdown);

  std::array<TierSpeed, 4> tiers_;
  double best_seconds_per_byte_ = 0;
  double rate_;
  double width_;
  bool probing_fast_ = true;  ///< no load has been slowed by others yet
  bool timed_ = false;        ///< a load was timed: the width is learned from now on
  Duration longest_expected_{};
  TimePoint next_begin_;
};

}  // namespace ferryrock::placement
