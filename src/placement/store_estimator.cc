#include "placement/store_estimator.h"

#include <algorithm>
#include <cmath>

namespace ferryrock::placement {
namespace {

constexpr double kInitialRate = 2;
constexpr double kMinRate = 0.05;
constexpr double kMaxRate = 200;
constexpr double kInitialWidth = 8;
constexpr double kMinWidth = 1;
constexpr double kMaxWidth = 500;
/// Seconds per byte before the first observation: memory, disk, peer, weight store.
constexpr std::array<double, 4> kInitialSecondsPerByte = {1 / 20e9, 1 / 6e9, 1 / 8e9, 1 / 4e9};
/// Time that a load takes in addition to the transfer, for allocation and warm-up.
constexpr double kInitialFixedSeconds = 0.5;
constexpr double kSmoothingFactor = 0.2;
/// Loads that take up to this multiple of the expected duration count as full speed.
constexpr double kFullSpeedTolerance = 1.2;
constexpr double kCrowdedSlowdown = 1.3;
constexpr double kWidthProbe = 0.25;
constexpr double kWidthCut = 0.97;
constexpr double kRateProbe = 1.01;
constexpr double kRateCut = 0.97;
/// Total seconds of load time that may begin at once before a load has been timed: 4 loads of 6 s, 40 of 0.6
/// s, or one of 16 s. A store of width 1 completes any of these within this time; four loads of 16 s that
/// share it would all end after 64 s, beyond any caller's timeout.
constexpr double kInitialLoadSeconds = 24;
/// Until a timed load is slowed down by others, each load that ends at full speed at the width limit raises
/// the width: by 1 for loads of this duration, and by more for shorter loads, to which an excessive width
/// costs less.
constexpr double kProbeLoadSeconds = 6;
constexpr double kMaxFastProbe = 8;
/// A single timed load reduces the width at most to this share, because its replica may be slow for other
/// reasons.
constexpr double kMinCutShare = 0.6;
/// Share by which the best speed decays towards the current speed with each load.
constexpr double kBestSpeedDecay = 0.005;

}  // namespace

StoreEstimator::StoreEstimator(TimePoint now) : StoreEstimator(now, kInitialWidth) {}

StoreEstimator::StoreEstimator(TimePoint now, double width)
    : rate_(kInitialRate), width_(width), next_begin_(now) {
  for (std::size_t tier = 0; tier < tiers_.size(); ++tier) {
    tiers_[tier] = {kInitialSecondsPerByte[tier], kInitialFixedSeconds, 0};
  }
}

Duration StoreEstimator::expectedLoad(CheckpointTier tier, std::uint64_t bytes) const {
  const TierSpeed& speed = tiers_[static_cast<std::size_t>(tier)];
  const double expected = speed.fixed_seconds + speed.seconds_per_byte * static_cast<double>(bytes);
  return fromSeconds(expected);
}

void StoreEstimator::expectLoad(Duration nominal) {
  if (!timed_ && nominal > longest_expected_) {
    longest_expected_ = nominal;
    width_ = std::clamp(kInitialLoadSeconds / toSeconds(nominal), kMinWidth, kMaxWidth);
  }
}

bool StoreEstimator::hasRoom(std::uint32_t in_flight) const {
  return in_flight + 1 <= std::max(kMinWidth, std::floor(width_));
}

bool StoreEstimator::mayBegin(std::uint32_t in_flight, TimePoint now) const {
  return now >= next_begin_ && hasRoom(in_flight);
}

void StoreEstimator::onBegun(TimePoint now) {
  const auto interval = fromSeconds(1 / rate_);
  next_begin_ = std::max(next_begin_, now) + interval;
}

void StoreEstimator::onObserved(const LoadObservation& observation) {
  if (!observation.succeeded || observation.bytes == 0) {
    return;
  }
  const double expected = toSeconds(expectedLoad(observation.tier, observation.bytes));
  const double slowdown = toSeconds(observation.duration) / std::max(expected, 1e-3);
  if (observation.tier == CheckpointTier::Remote) {
    learnWidth(observation, slowdown);
    learnRate(observation, slowdown);
  }
  learnSpeed(observation, slowdown);
}

void StoreEstimator::learnSpeed(const LoadObservation& observation, double slowdown) {
  TierSpeed& speed = tiers_[static_cast<std::size_t>(observation.tier)];
  const double transfer = std::max(toSeconds(observation.duration) - speed.fixed_seconds, 1e-3);
  const double observed = transfer / static_cast<double>(observation.bytes);
  const bool crowded =
      observation.tier == CheckpointTier::Remote && observation.concurrent_remote_loads > width_;
  const double share =
      speed.observations == 0 ? 1 : (crowded && slowdown > 1 ? kSmoothingFactor / 4 : kSmoothingFactor);
  speed.seconds_per_byte += share * (observed - speed.seconds_per_byte);
  speed.observations += 1;
  if (observation.tier != CheckpointTier::Remote) {
    return;
  }
  if (best_seconds_per_byte_ == 0 || observed < best_seconds_per_byte_) {
    best_seconds_per_byte_ = observed;
  }
  best_seconds_per_byte_ += kBestSpeedDecay * (speed.seconds_per_byte - best_seconds_per_byte_);
}

void StoreEstimator::learnWidth(const LoadObservation& observation, double slowdown) {
  const double concurrent = observation.concurrent_remote_loads;
  const bool at_limit = concurrent + 1 >= std::floor(width_);
  if (at_limit && slowdown < kFullSpeedTolerance) {
    width_ = std::min(width_ + kWidthProbe, kMaxWidth);
  } else if (concurrent >= 2 && slowdown > kCrowdedSlowdown) {
    width_ = std::max(std::min(width_, std::max(concurrent, width_ * kWidthCut)) * kWidthCut, kMinWidth);
  }
}

void StoreEstimator::onTimedLoad(const TimedLoad& load) {
  if (load.nominal <= Duration::zero()) {
    return;
  }
  const double nominal = std::max(toSeconds(load.nominal), 1e-3);
  const double slowdown = toSeconds(load.duration) / nominal;
  const bool at_limit = load.concurrent + 1 >= std::floor(width_);
  if (load.ended && at_limit && slowdown < kFullSpeedTolerance) {
    const double fast_probe = std::clamp(kProbeLoadSeconds / nominal, 1.0, kMaxFastProbe);
    width_ = std::min(width_ + (probing_fast_ ? fast_probe : kWidthProbe), kMaxWidth);
    timed_ = true;
  } else if (load.concurrent >= 2 && slowdown > kCrowdedSlowdown) {
    const double estimated_width = std::max(load.concurrent / slowdown, width_ * kMinCutShare);
    width_ = std::max(std::min(width_, estimated_width), kMinWidth);
    probing_fast_ = false;
    timed_ = true;
  }
}

void StoreEstimator::learnRate(const LoadObservation& observation, double slowdown) {
  const double expected = toSeconds(expectedLoad(observation.tier, observation.bytes));
  const double extra = toSeconds(observation.duration) - expected;
  const bool waited = observation.concurrent_remote_loads <= width_ && extra > 0.5 / rate_;
  if (waited) {
    rate_ = std::max(rate_ * kRateCut, kMinRate);
  } else if (slowdown < kFullSpeedTolerance) {
    rate_ = std::min(rate_ * kRateProbe, kMaxRate);
  }
}

bool StoreEstimator::isSlow() const {
  const TierSpeed& speed = tiers_[static_cast<std::size_t>(CheckpointTier::Remote)];
  return best_seconds_per_byte_ > 0 && speed.seconds_per_byte > 2 * best_seconds_per_byte_;
}

}  // namespace ferryrock::placement
