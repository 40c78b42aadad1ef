#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace ferryrock::services {

/// Arrivals at one replica that has a limit for all routers, judged by the limit alone.
class LimitOracle {
 public:
  /// The replica names this limit from `from` on; nullopt: none any more. Windows in which it named none for
  /// some time aren't judged.
  void named(std::optional<double> per_second, TimePoint from) { limits_.push_back({per_second, from}); }
  /// A router got the head of an answer that names a limit.
  void told(const std::string& router, TimePoint at) { told_.try_emplace(router, at); }
  void arrived(const std::string& router, TimePoint at) { arrivals_.push_back({router, at}); }
  /// The router isn't counted from `from` to `to`: it was cut off, frozen or restarted.
  void excuse(const std::string& router, TimePoint from, TimePoint to) {
    excuses_[router].push_back({from, to});
  }

  /// The most that arrived in a window beyond what the limit allows there, from routers that had been told
  /// for half a second; 0 or less: the limit was kept.
  int excess() const {
    int most = -1;
    if (limits_.empty()) {
      return most;
    }
    for (const Arrival& first : arrivals_) {
      const std::optional<double> limit = highest(first.at);
      if (!limit) {
        continue;
      }
      const auto in_window = [&](const Arrival& arrival) {
        return arrival.at >= first.at && arrival.at <= first.at + kWindow && counts(arrival);
      };
      const auto got = std::count_if(arrivals_.begin(), arrivals_.end(), in_window);
      const double allowed = kOvershoot * toSeconds(kWindow) * *limit + kSlack;
      most = std::max(most, static_cast<int>(got) - static_cast<int>(allowed));
    }
    return most;
  }
  std::size_t arrivals(TimePoint from, TimePoint to) const {
    return static_cast<std::size_t>(
        std::count_if(arrivals_.begin(), arrivals_.end(),
                      [&](const Arrival& arrival) { return arrival.at >= from && arrival.at < to; }));
  }

 private:
  static constexpr Duration kWindow = std::chrono::seconds(4);
  static constexpr Duration kLearned = std::chrono::seconds(3);
  static constexpr Duration kOnTheWay = std::chrono::milliseconds(500);
  static constexpr double kOvershoot = 1.5;
  static constexpr double kSlack = 5;
  struct Arrival {
    std::string router;
    TimePoint at{};
  };
  struct NamedLimit {
    std::optional<double> per_second;
    TimePoint from{};
  };
  struct Excuse {
    TimePoint from{};
    TimePoint to{};
  };

  bool counts(const Arrival& arrival) const {
    const auto told = told_.find(arrival.router);
    const auto excuses = excuses_.find(arrival.router);
    const bool excused =
        excuses != excuses_.end() &&
        std::any_of(excuses->second.begin(), excuses->second.end(), [&](const Excuse& excuse) {
          return arrival.at >= excuse.from && arrival.at <= excuse.to;
        });
    return told != told_.end() && told->second + kOnTheWay <= arrival.at && !excused;
  }
  /// Of the limits that were named in the window that begins at `from`; nullopt: not all of it is judged.
  std::optional<double> highest(TimePoint from) const {
    std::optional<double> most;
    TimePoint first_named = TimePoint::max();
    for (std::size_t i = 0; i < limits_.size(); ++i) {
      const TimePoint end = i + 1 < limits_.size() ? limits_[i + 1].from : TimePoint::max();
      const bool named = limits_[i].per_second.has_value();
      first_named = !named ? TimePoint::max() : std::min(first_named, limits_[i].from);
      if (limits_[i].from > from + kWindow || end < from) {
        continue;
      }
      if (!named || first_named + kLearned > from) {
        return std::nullopt;
      }
      most = std::max(most.value_or(0), *limits_[i].per_second);
    }
    return most;
  }

  std::vector<NamedLimit> limits_;
  std::map<std::string, TimePoint> told_;
  std::vector<Arrival> arrivals_;
  std::map<std::string, std::vector<Excuse>> excuses_;
};

}  // namespace ferryrock::services
