#pragma once

#include <memory>
#include <vector>

#include "common/time.h"

namespace ferryrock::placement {

/// One bin of the distribution of idle-gap lengths; bins are logarithmically spaced.
struct GapBin {
  double low_seconds = 0;
  double high_seconds = 0;
  double probability = 0;
  /// Representative length of the bin: its geometric mean, or half of its upper edge if it begins at 0.
  double representativeSeconds() const;
};
using GapDistribution = std::vector<GapBin>;

/// Histograms of one model's idle gaps, one for each part of the day in which a gap begins. Old gaps decay,
/// so that the history follows changes in usage. Memory is under 1 KB. Adding a gap is O(1) on average,
/// computing a distribution O(bins).
class GapHistory {
 public:
  GapHistory();
  ~GapHistory();
  GapHistory(GapHistory&&) noexcept;
  GapHistory& operator=(GapHistory&&) noexcept;

  void add(Duration gap, TimePoint began);
  /// Decayed number of gaps; at most a few hundred.
  double count() const;
  /// Distribution of a gap that begins at this time of the day. Parts of the day with few gaps are smoothed
  /// towards the model's whole history, and models with few gaps towards prior.
  GapDistribution distribution(TimePoint began, const GapDistribution& prior) const;
  /// Distribution over the whole day; uniform over the bins if the history is empty.
  GapDistribution pooled() const;

 private:
  struct Histogram;
  std::unique_ptr<Histogram> histogram_;
};

}  // namespace ferryrock::placement
