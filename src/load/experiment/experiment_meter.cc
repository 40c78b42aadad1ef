#include "load/experiment/experiment_meter.h"

#include <algorithm>
#include <cmath>

namespace ferryrock::load::experiment {
namespace {

constexpr double kSecondsPerHour = 3600;

/// Quantile over waits, sorted, and zeros before them.
double quantile(const std::vector<double>& waits, std::uint64_t zeros, double share) {
  const std::uint64_t total = zeros + waits.size();
  if (total == 0) {
    return 0;
  }
  const auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(total)));
  const std::uint64_t index = std::max<std::uint64_t>(rank, 1) - 1;
  return index < zeros ? 0 : waits[index - zeros];
}

}  // namespace

void ExperimentMeter::onServed(TimePoint arrived, Duration cold_start) {
  if (arrived < begin_) {
    return;
  }
  sums_.requests += 1;
  if (cold_start > Duration::zero()) {
    waits_.push_back(toSeconds(cold_start));
  }
}

void ExperimentMeter::onRefused(TimePoint arrived, Duration waited) {
  onServed(arrived, waited);
  sums_.refused += arrived < begin_ ? 0 : 1;
}

void ExperimentMeter::onLoad(TimePoint now, bool from_store) {
  if (now >= begin_) {
    sums_.loads += 1;
    sums_.loads_from_store += from_store ? 1 : 0;
  }
}

void ExperimentMeter::advance(TimePoint now) {
  if (now <= advanced_to_) {
    return;
  }
  const double hours = toSeconds(now - advanced_to_) / kSecondsPerHour;
  sums_.held_hours += held_ * hours;
  sums_.idle_hours += (held_ - busy_) * hours;
  advanced_to_ = now;
}

void ExperimentMeter::addHeld(TimePoint now, double share) {
  advance(now);
  held_ += share;
}

void ExperimentMeter::addBusy(TimePoint now, double share) {
  advance(now);
  busy_ += share;
}

ExperimentFigures ExperimentMeter::figures(TimePoint end) {
  advance(end);
  ExperimentFigures figures = sums_;
  std::sort(waits_.begin(), waits_.end());
  figures.cold = waits_.size();
  for (const double wait : waits_) {
    figures.cold_seconds += wait;
  }
  const std::uint64_t warm = figures.requests - figures.cold;
  figures.p50_cold = quantile(waits_, 0, 0.5);
  figures.p50 = quantile(waits_, warm, 0.5);
  figures.p99 = quantile(waits_, warm, 0.99);
  figures.p999 = quantile(waits_, warm, 0.999);
  return figures;
}

}  // namespace ferryrock::load::experiment
