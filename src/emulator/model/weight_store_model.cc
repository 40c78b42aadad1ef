#include "emulator/model/weight_store_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ferryrock::emulator {
namespace {

/// Less than this is left over by rounding only.
constexpr double kNegligibleBytes = 0.5;

Duration fromSecondsRoundedUp(double seconds) {
  constexpr double kNanosecondsPerSecond = 1e9;
  return Duration(static_cast<Duration::rep>(std::ceil(seconds * kNanosecondsPerSecond)));
}

}  // namespace

double WeightStoreModel::bytesPerSecond() const {
  const double transfers = static_cast<double>(std::max<std::size_t>(active_.size(), 1));
  const double share = std::min(1.0, static_cast<double>(settings_.width) / transfers);
  return static_cast<double>(settings_.bytes_per_second) * share / (slow_factor_ * settings_.time_scale);
}

Duration WeightStoreModel::startInterval() const {
  return fromSecondsRoundedUp(settings_.time_scale / settings_.starts_per_second);
}

TimePoint WeightStoreModel::completionOf(double remaining) const {
  return advanced_to_ + fromSecondsRoundedUp(remaining / bytesPerSecond());
}

void WeightStoreModel::advance(TimePoint now) {
  while (advanced_to_ < now && !stopped_ && !active_.empty()) {
    double least = active_.begin()->second;
    for (const auto& [transfer, remaining] : active_) {
      least = std::min(least, remaining);
    }
    const TimePoint until = std::min(now, completionOf(least));
    const double moved = toSeconds(until - advanced_to_) * bytesPerSecond();
    advanced_to_ = until;
    for (auto entry = active_.begin(); entry != active_.end();) {
      entry->second -= moved;
      if (entry->second > kNegligibleBytes) {
        ++entry;
        continue;
      }
      completed_.push_back(entry->first);
      entry = active_.erase(entry);
    }
  }
  advanced_to_ = std::max(advanced_to_, now);
}

void WeightStoreModel::startQueued(TimePoint now) {
  while (!stopped_ && !queue_.empty() && next_start_ <= now) {
    active_[queue_.front().transfer] = static_cast<double>(queue_.front().bytes);
    queue_.pop_front();
    next_start_ = now + startInterval();
  }
}

void WeightStoreModel::request(TimePoint now, StoreTransferId transfer, std::uint64_t bytes) {
  tick(now);
  queue_.push_back({transfer, bytes});
  startQueued(now);
}

void WeightStoreModel::cancel(TimePoint now, StoreTransferId transfer) {
  tick(now);
  active_.erase(transfer);
  std::erase_if(queue_, [&](const Queued& queued) { return queued.transfer == transfer; });
}

void WeightStoreModel::setSlowFactor(TimePoint now, double factor) {
  tick(now);
  slow_factor_ = factor;
}

void WeightStoreModel::setStopped(TimePoint now, bool stopped) {
  tick(now);
  stopped_ = stopped;
}

void WeightStoreModel::tick(TimePoint now) {
  advance(now);
  startQueued(now);
}

std::optional<TimePoint> WeightStoreModel::nextWakeup() const {
  if (stopped_) {
    return std::nullopt;
  }
  std::optional<TimePoint> earliest;
  for (const auto& [transfer, remaining] : active_) {
    const TimePoint ends = completionOf(remaining);
    earliest = earliest ? std::min(*earliest, ends) : ends;
  }
  if (!queue_.empty()) {
    earliest = earliest ? std::min(*earliest, next_start_) : next_start_;
  }
  return earliest;
}

std::vector<StoreTransferId> WeightStoreModel::takeCompleted() {
  return std::exchange(completed_, {});
}

}  // namespace ferryrock::emulator
