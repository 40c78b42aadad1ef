#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "services/service_cluster.h"

namespace ferryrock::services {

/// What happens to the connections between a partitioned router and the replicas.
enum class PartitionKind : std::uint8_t {
  Silent,   ///< open connections pass nothing, and attempts to open one hang
  Reset,    ///< open connections are reset, and so is each attempt to open one
  Refused,  ///< open connections work, attempts to open one are refused
};

/// Calls that callers sent to a group of routers, at the first attempt.
struct FirstAttempts {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t failed() const { return sent - served; }
};

/// A cell with real routers and replicas of the service "desk", which respond after 30 ms. Routers can be
/// partitioned from all replicas, while callers, members and the other routers reach them and the replicas.
/// Connections are modelled as far as a partition shows: a router reuses a connection that it has, and opens
/// another one if all are in use.
class PartitionedFleet {
 public:
  PartitionedFleet(std::size_t routers, std::size_t replicas, std::uint64_t seed);

  void partition(const std::set<std::size_t>& routers, PartitionKind kind);
  /// Ends the partition. Connections that were silent stay dead.
  void heal();
  /// The replica goes on with its calls, but nothing of it arrives anywhere for this time.
  void silence(std::size_t replica, Duration duration);
  /// Runs the cell for the time with calls at this rate over all routers together. Calls are counted if
  /// `counted` is set.
  void callFor(Duration time, double calls_per_second, bool counted);
  /// Clears the counts.
  void resetCounts();

  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
  FirstAttempts partitioned;  ///< at routers that are partitioned
  FirstAttempts others;
  std::size_t runs = 0;  ///< calls that replicas ran
  std::map<std::string, std::size_t> runs_by_call;

  /// True if first attempts at partitioned routers were served less than two thirds as often as at the
  /// others, and more than 10 + 1 in 50 of all first attempts failed there.
  bool unequal() const;
  /// Sum over the routers.
  std::uint64_t crashesRecorded() const;
  std::size_t relayed = 0;  ///< attempts that routers sent through others
  std::map<ResultCode, std::size_t> refusals;

 private:
  static constexpr Duration kHop = std::chrono::milliseconds(1);
  static constexpr Duration kServiceTime = std::chrono::milliseconds(30);
  static constexpr Duration kHeartbeat = std::chrono::milliseconds(600);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
  static constexpr Duration kRelayConnectTimeout = std::chrono::milliseconds(250);
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
  /// Timeout of data that is sent over a dead connection.
  static constexpr Duration kUnacknowledgedTimeout = std::chrono::milliseconds(1500);

  struct Connections {
    std::size_t idle = 0;
    std::size_t dead = 0;  ///< idle connections that pass nothing
  };
  struct Running {
    RunningRouter* router = nullptr;
    calls::SendAttemptEffect sent;
  };
  using CallKey = std::pair<NodeName, calls::CallNumber>;
  using AttemptKey = std::pair<NodeName, calls::AttemptNumber>;
  using Link = std::pair<NodeName, ReplicaId>;

  void onEffect(RunningRouter& router, const calls::Effect& effect);
  void send(RunningRouter& router, const calls::SendAttemptEffect& sent);
  void sendDirectly(RunningRouter& router, const calls::SendAttemptEffect& sent);
  /// Handles an attempt at its relay.
  void sendRelayed(RunningRouter& router, const calls::SendAttemptEffect& sent);
  RunningRouter& relayOf(const calls::Relay& relay);
  void run(RunningRouter& router, const calls::SendAttemptEffect& sent);
  void answer(RunningRouter& router, const calls::SendAttemptEffect& sent);
  void fail(RunningRouter& router, const calls::SendAttemptEffect& sent, calls::AttemptFailure failure,
            Duration delay);
  void probe(RunningRouter& router, const calls::ProbeReplicaEffect& effect);
  void sendHeartbeat(std::size_t number);
  void call(RunningRouter& router, bool counted);
  void finish(const CallKey& call, bool served);
  bool isPartitioned(const RunningRouter& router) const { return partitioned_nodes_.contains(router.node); }

  Random random_;
  std::set<NodeName> partitioned_nodes_;
  PartitionKind kind_ = PartitionKind::Silent;
  std::map<Link, Connections> connections_;
  std::map<AttemptKey, Running> running_;
  std::map<CallKey, FirstAttempts*> counted_;
  std::map<ReplicaId, TimePoint> silent_until_;
  std::uint64_t sequence_ = 0;
};

}  // namespace ferryrock::services
