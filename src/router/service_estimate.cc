#include "router/service_estimate.h"

#include <algorithm>
#include <chrono>

namespace ferryrock::router {
namespace {

constexpr std::uint64_t kSamplesNeeded = 5;
constexpr double kSmoothing = 0.1;

void blend(double& average, double sample, std::uint64_t samples) {
  const double share = std::max(kSmoothing, 1.0 / static_cast<double>(samples));
  average += share * (sample - average);
}

}  // namespace

void ServiceEstimate::onCompleted(Duration to_first_chunk, Duration total, std::uint64_t chunks) {
  ++samples_;
  blend(first_chunk_seconds_, toSeconds(to_first_chunk), samples_);
  blend(total_seconds_, toSeconds(total), samples_);
  if (chunks > 1) {
    const double between = toSeconds(total - to_first_chunk) / static_cast<double>(chunks - 1);
    blend(chunk_seconds_, between, samples_);
  }
}

std::optional<Duration> ServiceEstimate::runningTime(std::uint32_t max_tokens) const {
  if (samples_ < kSamplesNeeded) {
    return std::nullopt;
  }
  if (max_tokens == 0) {
    return fromSeconds(total_seconds_);
  }
  return fromSeconds(first_chunk_seconds_ + chunk_seconds_ * (max_tokens - 1));
}

std::optional<Duration> ServiceEstimate::waitingTime(std::size_t ahead, std::size_t places) const {
  if (samples_ < kSamplesNeeded || places == 0) {
    return std::nullopt;
  }
  const double rounds = static_cast<double>(ahead + 1) / static_cast<double>(places);
  return fromSeconds(rounds * total_seconds_);
}

}  // namespace ferryrock::router
