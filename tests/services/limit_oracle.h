#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace ferryrock::services {

/// Checks the arrivals at one replica against its limit over all routers, independently of how the limit is
/// enforced.
class LimitOracle {
 public:
  /// Records that the replica announces this limit from `from` on; nullopt: no limit. Windows that include a
  /// time without a limit, or that begin less than 3 s after a limit started, aren't checked.
  void limitAnnounced(std::optional<double> per_second, TimePoint from) {
    limits_.push_back({per_second, from});
  }
  /// Records that a router received the head of a response that announces a limit.
  void limitReceived(const std::string& router, TimePoint at) { received_at_.try_emplace(router, at); }
  void callArrived(const std::string& router, TimePoint at) { arrivals_.push_back({router, at}); }
  /// Excludes the router's calls from `from` to `to`, when it was cut off, frozen or restarted.
  void exclude(const std::string& router, TimePoint from, TimePoint to) {
    exclusions_[router].push_back({from, to});
  }

  /// Returns the maximum excess over all windows: the calls that arrived beyond what the limit allows, from
  /// routers that have known the limit for at least half a second. 0 or less: the limit was respected.
  int excess() const {
    int most = -1;
    if (limits_.empty()) {
      return most;
    }
    for (const Arrival& first : arrivals_) {
      const std::optional<double> limit = highestLimit(first.at);
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
  static constexpr Duration kSettlingTime = std::chrono::seconds(3);
  static constexpr Duration kPropagationTime = std::chrono::milliseconds(500);
  static constexpr double kOvershoot = 1.5;
  static constexpr double kSlack = 5;
  struct Arrival {
    std::string router;
    TimePoint at{};
  };
  struct AnnouncedLimit {
    std::optional<double> per_second;
    TimePoint from{};
  };
  struct Exclusion {
    TimePoint from{};
    TimePoint to{};
  };

  bool counts(const Arrival& arrival) const {
    const auto received = received_at_.find(arrival.router);
    const auto exclusions = exclusions_.find(arrival.router);
    const bool excluded =
        exclusions != exclusions_.end() &&
        std::any_of(exclusions->second.begin(), exclusions->second.end(), [&](const Exclusion& exclusion) {
          return arrival.at >= exclusion.from && arrival.at <= exclusion.to;
        });
    return received != received_at_.end() && received->second + kPropagationTime <= arrival.at && !excluded;
  }
  /// Returns the highest limit announced in the window that begins at `from`; nullopt: the window isn't
  /// checked.
  std::optional<double> highestLimit(TimePoint from) const {
    std::optional<double> most;
    TimePoint first_announced = TimePoint::max();
    for (std::size_t i = 0; i < limits_.size(); ++i) {
      const TimePoint end = i + 1 < limits_.size() ? limits_[i + 1].from : TimePoint::max();
      const bool announced = limits_[i].per_second.has_value();
      first_announced = !announced ? TimePoint::max() : std::min(first_announced, limits_[i].from);
      if (limits_[i].from > from + kWindow || end < from) {
        continue;
      }
      if (!announced || first_announced + kSettlingTime > from) {
        return std::nullopt;
      }
      most = std::max(most.value_or(0), *limits_[i].per_second);
    }
    return most;
  }

  std::vector<AnnouncedLimit> limits_;
  std::map<std::string, TimePoint> received_at_;
  std::vector<Arrival> arrivals_;
  std::map<std::string, std::vector<Exclusion>> exclusions_;
};

}  // namespace ferryrock::services
