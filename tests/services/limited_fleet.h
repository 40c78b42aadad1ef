#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "services/service_cluster.h"

namespace ferryrock::services {

/// Arrivals at one replica that has a limit for all routers, judged by the limit alone.
class LimitOracle {
 public:
  /// The replica names the limit from `from` on, until it names another or ends.
  void named(double per_second, TimePoint from) { limits_.push_back({per_second, from}); }
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
      if (first.at < limits_.front().from + kLearned) {
        continue;
      }
      const auto in_window = [&](const Arrival& arrival) {
        return arrival.at >= first.at && arrival.at <= first.at + kWindow && counts(arrival);
      };
      const auto got = std::count_if(arrivals_.begin(), arrivals_.end(), in_window);
      const double allowed = kOvershoot * toSeconds(kWindow) * highest(first.at) + kSlack;
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
    double per_second = 0;
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
  /// Of the limits that were named at some time of the window that begins at `from`.
  double highest(TimePoint from) const {
    double most = 0;
    for (std::size_t i = 0; i < limits_.size(); ++i) {
      const TimePoint end = i + 1 < limits_.size() ? limits_[i + 1].from : TimePoint::max();
      const bool held = limits_[i].from <= from + kWindow && end >= from;
      most = held ? std::max(most, limits_[i].per_second) : most;
    }
    return most;
  }

  std::vector<NamedLimit> limits_;
  std::map<std::string, TimePoint> told_;
  std::vector<Arrival> arrivals_;
  std::map<std::string, std::vector<Excuse>> excuses_;
};

/// Routers and members with replicas of the service "desk" that answer after a while, and may name limits.
/// Calls come to random routers.
class LimitedFleet {
 public:
  LimitedFleet(std::size_t routers, std::size_t replicas, std::uint64_t seed);

  static std::string replicaName(std::size_t number) { return "r" + std::to_string(number); }
  /// From now on the replica names this limit; nullopt: none.
  void setLimit(std::size_t replica, std::optional<double> per_second);
  /// Calls of all routers at this rate, for the time.
  void callFor(Duration time, double calls_per_second);
  LimitOracle& oracle(std::size_t replica) { return oracles_[replicaName(replica)]; }
  std::uint64_t refused() const;
  /// The router's sendings aren't counted from now on, for the time.
  void excuseRouter(std::size_t router, Duration time);

  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
  /// Told when callers of refused calls may come back.
  std::vector<std::optional<Duration>> retry_after;
  std::map<ResultCode, std::size_t> refusals;
  std::size_t answered = 0;
  Duration longest_refusal{};  ///< from a call's coming to its refusal

 private:
  static constexpr Duration kHop = std::chrono::milliseconds(1);
  static constexpr Duration kServing = std::chrono::milliseconds(40);
  static constexpr Duration kHeartbeat = std::chrono::milliseconds(600);

  void onEffect(RunningRouter& router, const calls::Effect& effect);
  void answer(RunningRouter& router, const calls::SendAttemptEffect& sent);
  void beat(std::size_t number);
  void call(RunningRouter& router);

  Random random_;
  std::map<std::string, std::optional<double>> limits_;
  std::map<std::string, LimitOracle> oracles_;
  std::map<std::pair<NodeName, calls::CallNumber>, TimePoint> came_;
  std::uint64_t sequence_ = 0;
};

}  // namespace ferryrock::services
