#include "router/concurrency_window.h"

#include <algorithm>
#include <chrono>

namespace ferryrock::router {
namespace {

/// Wait at an engine, as a part of a request's whole time, beyond which the window shrinks.
constexpr int kLongWaitDivisor = 4;
constexpr double kShrink = 0.85;
/// A shrink shows in waits only after those that were sent before have their first chunk.
constexpr Duration kShortestShrinkInterval = std::chrono::milliseconds(500);
/// After so long without a shrink the window doubles with each round of answers.
constexpr Duration kCalm = std::chrono::seconds(5);
constexpr double kSmallest = 1.0;

}  // namespace

void ConcurrencyWindow::onFirstChunk(Duration wait, Duration whole, std::size_t places, TimePoint now) {
  if (wait * kLongWaitDivisor > whole) {
    shrink(wait, places, now);
    return;
  }
  const double most = static_cast<double>(places);
  const bool calm = now >= shrunk_at_ + kCalm;
  size_ = std::min(most, size_ + (calm ? 1.0 : 1.0 / std::max(size_, kSmallest)));
  limited_ = limited_ && size_ < most;
}

void ConcurrencyWindow::shrink(Duration wait, std::size_t places, TimePoint now) {
  if (limited_ && now < shrunk_at_ + std::max(wait, kShortestShrinkInterval)) {
    return;
  }
  const double in_use = limited_ ? size_ : static_cast<double>(std::min(places, running_));
  size_ = std::max(kSmallest, in_use * kShrink);
  limited_ = true;
  shrunk_at_ = now;
}

std::size_t ConcurrencyWindow::limit(std::size_t places) const {
  return limited_ ? std::min(places, static_cast<std::size_t>(size_)) : places;
}

}  // namespace ferryrock::router
