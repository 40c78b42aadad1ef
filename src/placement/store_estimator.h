#pragma once

#include <array>
#include <cstdint>

#include "placement/planner.h"

namespace ferryrock::placement {

/// A load from the weight store whose duration at full speed is configured by the operator.
struct TimedLoad {
  Duration nominal{};     ///< at full speed; 0: not configured, the load is ignored
  Duration duration{};    ///< until the end, or until now
  double concurrent = 1;  ///< average number of concurrent loads, including this one
  bool ended = true;
};

/// Estimates the load speed of each tier and the capacity of the weight store: load starts per second (its
/// rate) and concurrent transfers at full speed (its width). Loads begin no faster than that, so that the
/// load order policy decides their order and not the store's queue. Every call is O(1).
class StoreEstimator {
 public:
  explicit StoreEstimator(TimePoint now);
  /// Sets the initial width, for stores whose loads are timed (onTimedLoad()).
  StoreEstimator(TimePoint now, double width);

  /// Announces a load with this duration at full speed. Until a load has been timed, the width is derived
  /// from the longest announced duration: overloading a store with short loads shows quickly and delays them
  /// little, so short loads may begin with a larger width.
  void expectLoad(Duration nominal);

  /// Expected duration of a load that begins now.
  Duration expectedLoad(CheckpointTier tier, std::uint64_t bytes) const;
  /// True if another load from the weight store may begin while in_flight of them run.
  bool mayBegin(std::uint32_t in_flight, TimePoint now) const;
  /// Earliest time at which the rate allows another load to begin.
  TimePoint nextBegin() const { return next_begin_; }
  void onBegun(TimePoint now);
  void onObserved(const LoadObservation& observation);
  /// Updates the width, and nothing else, from a load with a configured duration at full speed that has ended
  /// or is still running. Loads beyond the width share its speed, so that concurrent / slowdown estimates the
  /// width.
  void onTimedLoad(const TimedLoad& load);
  /// True if another load stays within the width while in_flight run.
  bool hasRoom(std::uint32_t in_flight) const;

  double rate() const { return rate_; }
  double width() const { return width_; }
  /// True while the store delivers less than half of its best recent speed.
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
  bool probing_fast_ = true;  ///< no load has been slowed down by concurrent loads yet
  bool timed_ = false;        ///< a load has been timed; the width is learned and expectLoad() has no effect
  Duration longest_expected_{};
  TimePoint next_begin_;
};

}  // namespace ferryrock::placement
