#include "services/store_loads.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace ferryrock::services {
namespace {

/// Initial limit of concurrent loads, before any load was timed, whatever their duration.
constexpr double kInitialWidth = 4;
/// The operator's rate is enforced over windows of this length, reduced to kRateShare for loads that begin
/// late.
constexpr Duration kRateWindow = std::chrono::seconds(5);
constexpr double kRateShare = 0.9;
/// Typical maximum of two delays together: from the order to the begin of the load, and from its end to the
/// arrival of the replica's report. Without this allowance, loads of less than a second would appear slow.
constexpr Duration kReportDelay = std::chrono::milliseconds(400);
/// Interval between two checks for overdue loads, and the multiple of the nominal duration from which a load
/// counts as overdue.
constexpr Duration kOverdueCheckInterval = std::chrono::milliseconds(500);
constexpr double kLateFactor = 1.35;

Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

StoreLoads::StoreLoads(bool bounded_by_width)
    : bounded_by_width_(bounded_by_width), estimator_(TimePoint{}, kInitialWidth) {}

bool StoreLoads::mayBegin(double loads_per_second, TimePoint now) {
  while (!begun_.empty() && now - begun_.front() > kRateWindow) {
    begun_.pop_front();
  }
  const double max_begun = loads_per_second * toSeconds(kRateWindow) * kRateShare;
  const bool within_rate = loads_per_second <= 0 || static_cast<double>(begun_.size()) + 1 <= max_begun;
  return within_rate && (!bounded_by_width_ || estimator_.hasRoom(inFlight()));
}

void StoreLoads::onBegun(const ReplicaId& replica, Duration nominal, TimePoint now) {
  advance(now);
  loads_[replica] = Load{now, nominal, load_seconds_};
  begun_.push_back(now);
}

void StoreLoads::onEnded(const ReplicaId& replica, TimePoint now) {
  const auto found = loads_.find(replica);
  if (found == loads_.end()) {
    return;
  }
  const Load load = found->second;
  const double concurrent = concurrentSince(load, now);
  remove(found, now);
  const Duration duration = std::max(Duration::zero(), now - load.begun - kReportDelay);
  estimator_.onTimedLoad({load.nominal, duration, concurrent, true});
}

void StoreLoads::onDropped(const ReplicaId& replica, TimePoint now) {
  const auto found = loads_.find(replica);
  if (found != loads_.end()) {
    remove(found, now);
  }
}

/// A single overdue load may be the fault of its replica. If at least two, and at least half of all, are
/// overdue, the store is treated as slow.
void StoreLoads::observeOverdue(TimePoint now) {
  if (now < next_overdue_check_) {
    return;
  }
  next_overdue_check_ = now + kOverdueCheckInterval;
  std::vector<placement::TimedLoad> late;
  for (const auto& [replica, load] : loads_) {
    const Duration duration = std::max(Duration::zero(), now - load.begun - kReportDelay);
    if (duration > scaled(load.nominal, kLateFactor)) {
      late.push_back({load.nominal, duration, concurrentSince(load, now), false});
    }
  }
  if (late.size() >= 2 && 2 * late.size() >= loads_.size()) {
    estimator_.onTimedLoad(late.front());
  }
}

void StoreLoads::keepIf(const std::function<bool(const ReplicaId&)>& kept, TimePoint now) {
  advance(now);
  std::erase_if(loads_, [&kept](const auto& item) { return !kept(item.first); });
}

StoreLoads::Forecast StoreLoads::forecast(TimePoint now) const {
  std::multiset<TimePoint> ends;
  for (const auto& [replica, load] : loads_) {
    ends.insert(std::max(now, load.begun + expected(load)));
  }
  const auto width = static_cast<std::size_t>(std::max(1.0, std::floor(estimator_.width())));
  return Forecast(std::move(ends), width);
}

TimePoint StoreLoads::Forecast::add(Duration nominal, TimePoint now) {
  TimePoint begin = now;
  while (ends_.size() >= width_) {
    begin = std::max(begin, *ends_.begin());
    ends_.erase(ends_.begin());
  }
  const TimePoint end = begin + nominal;
  ends_.insert(end);
  return end;
}

void StoreLoads::advance(TimePoint now) {
  load_seconds_ +=
      toSeconds(std::max(Duration::zero(), now - advanced_)) * static_cast<double>(loads_.size());
  advanced_ = std::max(advanced_, now);
}

double StoreLoads::concurrentSince(const Load& load, TimePoint now) const {
  const double since_advance =
      toSeconds(std::max(Duration::zero(), now - advanced_)) * static_cast<double>(loads_.size());
  const double passed = toSeconds(now - load.begun);
  return passed <= 0 ? 1 : (load_seconds_ + since_advance - load.load_seconds_before) / passed;
}

Duration StoreLoads::expected(const Load& load) const {
  const double oversubscription = static_cast<double>(loads_.size()) / estimator_.width();
  return scaled(load.nominal, std::max(1.0, oversubscription));
}

void StoreLoads::remove(std::map<ReplicaId, Load>::iterator load, TimePoint now) {
  advance(now);
  loads_.erase(load);
}

}  // namespace ferryrock::services
