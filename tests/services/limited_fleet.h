#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "services/limit_oracle.h"
#include "services/service_cluster.h"

namespace ferryrock::services {

/// A cell with real routers and replicas of the service "desk", which respond after 40 ms and may announce
/// limits. Calls arrive at random routers.
class LimitedFleet {
 public:
  LimitedFleet(std::size_t routers, std::size_t replicas, std::uint64_t seed);

  static std::string replicaName(std::size_t number) { return "r" + std::to_string(number); }
  /// Makes the replica announce this limit from now on; nullopt: no limit.
  void setLimit(std::size_t replica, std::optional<double> per_second);
  /// Runs the cell for the time with calls at this rate over all routers together.
  void callFor(Duration time, double calls_per_second);
  LimitOracle& oracle(std::size_t replica) { return oracles_[replicaName(replica)]; }
  std::uint64_t refused() const;
  /// Excludes the router's calls from the limit checks for the time from now.
  void excludeRouter(std::size_t router, Duration time);

  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
  /// Retry-after times of the refused calls.
  std::vector<std::optional<Duration>> retry_after;
  std::map<ResultCode, std::size_t> refusals;
  std::size_t answered = 0;
  Duration max_refusal_time{};  ///< maximum time from a call's arrival to its refusal

 private:
  static constexpr Duration kHop = std::chrono::milliseconds(1);
  static constexpr Duration kServiceTime = std::chrono::milliseconds(40);
  static constexpr Duration kHeartbeat = std::chrono::milliseconds(600);

  void onEffect(RunningRouter& router, const calls::Effect& effect);
  void answer(RunningRouter& router, const calls::SendAttemptEffect& sent);
  void sendHeartbeat(std::size_t number);
  void call(RunningRouter& router);

  Random random_;
  std::map<std::string, std::optional<double>> limits_;
  std::map<std::string, LimitOracle> oracles_;
  std::map<std::pair<NodeName, calls::CallNumber>, TimePoint> arrival_times_;
  std::uint64_t sequence_ = 0;
};

}  // namespace ferryrock::services
