#include "router/replica_speed.h"

#include <chrono>

namespace ferryrock::router {
namespace {

constexpr double kSmoothing = 0.3;
/// Age at which a measurement counts no more, so that a replica that was slow is tried again.
constexpr Duration kLife = std::chrono::seconds(30);

}  // namespace

void ReplicaSpeed::onAnswer(Duration first_to_last_chunk, std::uint64_t chunks, TimePoint now) {
  const double whole = toSeconds(first_to_last_chunk);
  const double sample = whole / static_cast<double>(chunks - 1);
  const double share = secondsPerChunk(now) ? kSmoothing : 1.0;
  seconds_per_chunk_ += share * (sample - seconds_per_chunk_);
  measured_ = now;
}

std::optional<double> ReplicaSpeed::secondsPerChunk(TimePoint now) const {
  if (!measured_ || now - *measured_ >= kLife) {
    return std::nullopt;
  }
  return seconds_per_chunk_;
}

}  // namespace ferryrock::router
