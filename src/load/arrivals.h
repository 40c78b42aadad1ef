#pragma once

#include <memory>
#include <vector>

#include "common/random.h"
#include "common/time.h"

namespace ferryrock {
class SettingsReader;
}

namespace ferryrock::load {

/// When requests of one kind arrive; they don't wait for answers (open loop).
class ArrivalProcess {
 public:
  virtual ~ArrivalProcess() = default;
  /// Times of arrival within [0, length), ascending.
  virtual std::vector<Duration> arrivals(Duration length, Random& random) const = 0;
};

/// Independent arrivals, `rate` a second on average.
class PoissonArrivals : public ArrivalProcess {
 public:
  explicit PoissonArrivals(double rate) : rate_(rate) {}
  std::vector<Duration> arrivals(Duration length, Random& random) const override;

 private:
  double rate_;
};

/// One arrival every 1 / `rate` seconds.
class SteadyArrivals : public ArrivalProcess {
 public:
  explicit SteadyArrivals(double rate) : rate_(rate) {}
  std::vector<Duration> arrivals(Duration length, Random& random) const override;

 private:
  double rate_;
};

/// Idle gaps, exponentially distributed around `gap`, each ended by `size` arrivals within `spread`.
class BurstArrivals : public ArrivalProcess {
 public:
  BurstArrivals(Duration gap, std::uint32_t size, Duration spread)
      : gap_(gap), size_(size), spread_(spread) {}
  std::vector<Duration> arrivals(Duration length, Random& random) const override;

 private:
  Duration gap_;
  std::uint32_t size_;
  Duration spread_;
};

/// Reads `arrivals: {kind: poisson|steady, rate: 5}` or `{kind: bursts, gap: 2h, size: 20, spread: 500ms}`.
/// Gaps are divided by idle_compression, so that hours of idleness fit into a short run.
std::unique_ptr<ArrivalProcess> readArrivalProcess(SettingsReader settings, double idle_compression);

}  // namespace ferryrock::load
