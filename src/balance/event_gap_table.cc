#include "balance/event_gap_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ferryrock::balance {
namespace {

/// Minimum number of reports on a model at a replica before its shortest gap is used. The shortest gap of a
/// few streams is usually undisturbed.
constexpr std::uint32_t kMinReports = 3;
/// A slow replica may get no streams at all. Its slowness is kept for this many windows without a report (1
/// min).
constexpr int kMaxIdleWindows = 10;
/// Iterations after which slowness values converge that are linked only through several models.
constexpr int kIterations = 10;

Duration shorterNonZero(Duration left, Duration right) {
  if (left == Duration::zero() || right == Duration::zero()) {
    return std::max(left, right);
  }
  return std::min(left, right);
}

/// Shortest gap of one model at one replica, as a natural logarithm.
struct Sample {
  std::uint32_t model = 0;
  std::uint32_t replica = 0;
  double gap = 0;
};

/// Estimates the event gap of each model on a replica of full speed: the lowest gap over its replicas,
/// corrected by their slowness.
std::map<std::uint32_t, double> modelGaps(const std::vector<Sample>& samples,
                                          std::map<std::uint32_t, double>& slowness) {
  std::map<std::uint32_t, double> event_gaps;
  for (const Sample& sample : samples) {
    const double gap = sample.gap - slowness[sample.replica];
    const auto [entry, inserted] = event_gaps.try_emplace(sample.model, gap);
    entry->second = inserted ? gap : std::min(entry->second, gap);
  }
  return event_gaps;
}

/// Estimates the slowness of each replica as the mean over its models.
std::map<std::uint32_t, double> replicaSlowness(const std::vector<Sample>& samples,
                                                const std::map<std::uint32_t, double>& event_gaps) {
  std::map<std::uint32_t, std::pair<double, int>> sums;
  for (const Sample& sample : samples) {
    auto& [sum, count] = sums[sample.replica];
    sum += sample.gap - event_gaps.at(sample.model);
    ++count;
  }
  std::map<std::uint32_t, double> slowness;
  for (const auto& [replica, sum] : sums) {
    slowness[replica] = sum.first / sum.second;
  }
  return slowness;
}

}  // namespace

Duration EventGapTable::GapRecord::shortest() const {
  return shorterNonZero(current, previous);
}

void EventGapTable::accept(const std::vector<wire::ObservedEventGap>& event_gaps, TimePoint now) {
  expire(now);
  for (const wire::ObservedEventGap& observed : event_gaps) {
    GapRecord& gap = gap_records_[{observed.model, observed.replica}];
    gap.current = shorterNonZero(gap.current, std::chrono::microseconds(observed.gap_us));
    ++gap.current_reports;
  }
}

void EventGapTable::expire(TimePoint now) {
  if (now < window_end_) {
    return;
  }
  window_end_ = now + kWindow;
  for (auto& [key, gap] : gap_records_) {
    if (gap.current == Duration::zero()) {
      ++gap.idle_windows;
      continue;
    }
    gap.previous = std::exchange(gap.current, Duration::zero());
    gap.previous_reports = std::exchange(gap.current_reports, 0);
    gap.idle_windows = 0;
  }
  std::erase_if(gap_records_, [](const auto& item) { return item.second.idle_windows > kMaxIdleWindows; });
}

/// A model allows a comparison only if several replicas hold it. If all of them are slow, this shows only in
/// the other models that they hold, so replica slowness and model gaps are estimated alternately.
std::map<std::uint32_t, double> EventGapTable::slowness() const {
  std::vector<Sample> samples;
  for (auto first = gap_records_.begin(); first != gap_records_.end();) {
    const std::uint32_t model = first->first.first;
    const std::size_t begin = samples.size();
    for (; first != gap_records_.end() && first->first.first == model; ++first) {
      const GapRecord& gap = first->second;
      const bool known =
          gap.shortest() > Duration::zero() && gap.current_reports + gap.previous_reports >= kMinReports;
      if (known) {
        samples.push_back({model, first->first.second, std::log(toSeconds(gap.shortest()))});
      }
    }
    if (samples.size() == begin + 1) {
      samples.pop_back();
    }
  }
  std::map<std::uint32_t, double> slowness;
  for (int iteration = 0; iteration < kIterations; ++iteration) {
    const auto event_gaps = modelGaps(samples, slowness);
    slowness = replicaSlowness(samples, event_gaps);
  }
  double least = slowness.empty() ? 0 : slowness.begin()->second;
  for (const auto& [replica, value] : slowness) {
    least = std::min(least, value);
  }
  std::map<std::uint32_t, double> ratios;
  for (const auto& [replica, value] : slowness) {
    ratios[replica] = std::exp(value - least);
  }
  return ratios;
}

}  // namespace ferryrock::balance
