#include "placement/gap_history.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdint>

namespace ferryrock::placement {
namespace {

namespace histogram = boost::histogram;

constexpr int kDayParts = 6;
constexpr int kGapBins = 32;
constexpr double kMinGapSeconds = 1;
constexpr double kMaxGapSeconds = 7 * 24 * 3600;
constexpr std::int64_t kSecondsPerDay = 24LL * 3600;
/// All counts are halved when the total exceeds this, so that old gaps decay.
constexpr double kDecayThreshold = 400;
/// Smoothing weights in numbers of gaps: of the whole day against a part of the day, and of the prior against
/// the model.
constexpr double kPooledWeight = 6;
constexpr double kPriorWeight = 3;

using DayAxis = histogram::axis::integer<int, histogram::use_default, histogram::axis::option::none_t>;
using GapAxis = histogram::axis::regular<double, histogram::axis::transform::log, histogram::use_default,
                                         histogram::axis::option::none_t>;
using Storage = histogram::dense_storage<float>;
using Counts = histogram::histogram<std::tuple<DayAxis, GapAxis>, Storage>;

int dayPart(TimePoint time) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
  const std::int64_t of_day = ((seconds % kSecondsPerDay) + kSecondsPerDay) % kSecondsPerDay;
  return static_cast<int>(of_day * kDayParts / kSecondsPerDay);
}

double boundedSeconds(Duration gap) {
  constexpr double kInside = 0.999;
  const double seconds = toSeconds(gap);
  return std::clamp(seconds, kMinGapSeconds, kMaxGapSeconds * kInside);
}

GapDistribution emptyBins(const GapAxis& axis) {
  GapDistribution bins(kGapBins);
  for (int index = 0; index < kGapBins; ++index) {
    bins[index].low_seconds = index == 0 ? 0 : axis.value(index);
    bins[index].high_seconds = axis.value(index + 1);
    bins[index].probability = 1.0 / kGapBins;
  }
  return bins;
}

}  // namespace

double GapBin::representativeSeconds() const {
  return low_seconds > 0 ? std::sqrt(low_seconds * high_seconds) : high_seconds / 2;
}

struct GapHistory::Histogram {
  Counts counts = histogram::make_histogram_with(
      Storage{}, DayAxis(0, kDayParts),
      GapAxis(histogram::axis::transform::log{}, kGapBins, kMinGapSeconds, kMaxGapSeconds));
  double total = 0;
  float day_totals[kDayParts] = {};
};

GapHistory::GapHistory() : histogram_(std::make_unique<Histogram>()) {}
GapHistory::~GapHistory() = default;
GapHistory::GapHistory(GapHistory&&) noexcept = default;
GapHistory& GapHistory::operator=(GapHistory&&) noexcept = default;

void GapHistory::add(Duration gap, TimePoint began) {
  const int part = dayPart(began);
  histogram_->counts(part, boundedSeconds(gap));
  histogram_->total += 1;
  histogram_->day_totals[part] += 1;
  if (histogram_->total <= kDecayThreshold) {
    return;
  }
  histogram_->counts *= 0.5;
  histogram_->total *= 0.5;
  for (float& day_total : histogram_->day_totals) {
    day_total *= 0.5F;
  }
}

double GapHistory::count() const {
  return histogram_->total;
}

GapDistribution GapHistory::pooled() const {
  GapDistribution bins = emptyBins(histogram_->counts.axis(std::integral_constant<unsigned, 1>{}));
  if (histogram_->total <= 0) {
    return bins;
  }
  for (int index = 0; index < kGapBins; ++index) {
    double sum = 0;
    for (int part = 0; part < kDayParts; ++part) {
      sum += histogram_->counts.at(part, index);
    }
    bins[index].probability = sum / histogram_->total;
  }
  return bins;
}

GapDistribution GapHistory::distribution(TimePoint began, const GapDistribution& prior) const {
  const int part = dayPart(began);
  GapDistribution bins = pooled();
  const double total = histogram_->total;
  const double day_total = histogram_->day_totals[part];
  for (int index = 0; index < kGapBins; ++index) {
    const double seen = bins[index].probability * (total > 0 ? total : 0);
    const double model = (seen + kPriorWeight * prior[index].probability) / (total + kPriorWeight);
    const double of_day = histogram_->counts.at(part, index);
    bins[index].probability = (of_day + kPooledWeight * model) / (day_total + kPooledWeight);
  }
  return bins;
}

}  // namespace ferryrock::placement
