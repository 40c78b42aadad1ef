#include "load/arrivals.h"

#include <algorithm>

#include "common/settings_reader.h"

namespace ferryrock::load {

namespace {

constexpr double kMaxRate = 1e6;
constexpr std::int64_t kMaxBurst = 1'000'000;

}  // namespace

std::vector<Duration> PoissonArrivals::arrivals(Duration length, Random& random) const {
  std::vector<Duration> times;
  for (double at = random.exponential(1 / rate_); at < toSeconds(length);
       at += random.exponential(1 / rate_)) {
    times.push_back(fromSeconds(at));
  }
  return times;
}

std::vector<Duration> SteadyArrivals::arrivals(Duration length, Random& /*random*/) const {
  std::vector<Duration> times;
  for (std::uint64_t index = 0; static_cast<double>(index) / rate_ < toSeconds(length); ++index) {
    times.push_back(fromSeconds(static_cast<double>(index) / rate_));
  }
  return times;
}

std::vector<Duration> BurstArrivals::arrivals(Duration length, Random& random) const {
  std::vector<Duration> times;
  double at = random.exponential(toSeconds(gap_));
  while (at < toSeconds(length)) {
    for (std::uint32_t index = 0; index < size_; ++index) {
      times.push_back(fromSeconds(at + random.unit() * toSeconds(spread_)));
    }
    at += toSeconds(spread_) + random.exponential(toSeconds(gap_));
  }
  std::erase_if(times, [length](Duration time) { return time >= length; });
  std::sort(times.begin(), times.end());
  return times;
}

std::unique_ptr<ArrivalProcess> readArrivalProcess(SettingsReader settings, double idle_compression) {
  const std::string kind = settings.choice("kind", {"poisson", "steady", "bursts"}, "poisson");
  std::unique_ptr<ArrivalProcess> process;
  if (kind == "bursts") {
    const Duration gap = settings.duration("gap", std::chrono::milliseconds(1), std::chrono::hours(24 * 30));
    const auto size = static_cast<std::uint32_t>(settings.integer("size", 1, kMaxBurst));
    const Duration spread =
        settings.duration("spread", Duration::zero(), std::chrono::hours(1), std::chrono::milliseconds(500));
    process = std::make_unique<BurstArrivals>(fromSeconds(toSeconds(gap) / idle_compression), size, spread);
  } else {
    const double rate = settings.number("rate", 1e-6, kMaxRate);
    if (kind == "steady") {
      process = std::make_unique<SteadyArrivals>(rate);
    } else {
      process = std::make_unique<PoissonArrivals>(rate);
    }
  }
  settings.finish();
  return process;
}

}  // namespace ferryrock::load
