#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "services/retry_oracle.h"
#include "services/service_cluster.h"

namespace ferryrock::services {

/// What replicas do with the attempts that arrive, as shares of them.
struct ReplicaFailures {
  double refused = 0;  ///< turned away without running
  double failed = 0;   ///< run, and answered by an error
  double lost = 0;     ///< run, and never answered: the connection breaks
};

/// A cell with real routers and replicas of the service "desk", of which some fail their calls. Calls arrive
/// at random routers and may be repeated.
class RetryFleet {
 public:
  static constexpr double kSlack = 52;

  RetryFleet(std::size_t routers, std::size_t replicas, std::uint64_t seed);

  /// Runs the cell for the time with calls at this rate over all routers together.
  void callFor(Duration time, double calls_per_second);
  /// Until this time has passed, all replicas refuse all calls and ask for a backoff for the rest of it.
  void backOffFor(Duration time) { backoff_until_ = cluster.now() + time; }
  /// Restarts this share of the routers, chosen at random.
  void restartRouters(double share);
  /// Cuts this share of the routers off from all members, chosen at random, until the cluster is healed.
  void cutRoutersOff(double share);
  void killMember(std::size_t number, Duration down);
  void killLeader(Duration down);

  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
  RetryOracle oracle;
  ReplicaFailures failures;
  Duration queue_time{};  ///< for which replicas queue a call before they refuse it
  Random random;
  std::size_t answered = 0;
  std::map<ResultCode, std::size_t> refusals;

 private:
  static constexpr Duration kHop = std::chrono::milliseconds(1);
  static constexpr Duration kServiceTime = std::chrono::milliseconds(20);
  static constexpr Duration kHeartbeat = std::chrono::milliseconds(600);
  static constexpr std::size_t kMembers = 3;

  void onEffect(RunningRouter& router, const calls::Effect& effect);
  void arrive(RunningRouter& router, const calls::SendAttemptEffect& sent);
  void respond(RunningRouter& router, const calls::SendAttemptEffect& sent, int status, bool not_run);
  void breakOff(RunningRouter& router, const calls::SendAttemptEffect& sent);
  void sendHeartbeat(std::size_t number);
  void call(RunningRouter& router);
  std::vector<RunningRouter*> chooseRouters(double share);

  std::uint64_t next_request_ = 1;
  std::map<std::pair<NodeName, calls::CallNumber>, std::string> requests_;
  TimePoint backoff_until_{};
  std::uint64_t sequence_ = 0;
};

}  // namespace ferryrock::services
