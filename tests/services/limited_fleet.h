#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "services/limit_oracle.h"
#include "services/service_cluster.h"

namespace ferryrock::services {

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
