#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "services/service_cluster.h"

namespace ferryrock::services {

/// A cell with real routers and replicas of the service "desk" that run a few calls at once, queue a few
/// more, and refuse the rest. While brittle, a replica says so in all its responses.
class BrittleFleet {
 public:
  BrittleFleet(std::size_t routers, std::size_t replicas, std::uint64_t seed);

  /// From now on the replicas state that they survive this many refusals a second.
  void makeBrittle(double refusals_per_second) { brittle_ = refusals_per_second; }
  void setQueue(std::size_t calls) { queue_ = calls; }
  void callFor(Duration time, double calls_per_second);
  /// Largest number of refusals of one replica within one second since the last reset.
  std::size_t worstSecond() const { return worst_second_; }
  /// Number of times since the last reset that a replica refused more calls in a second than it survives.
  std::size_t falls() const { return falls_; }
  void resetCounts();

  ServiceCluster cluster;
  std::size_t served = 0;

  static constexpr std::size_t kSlots = 6;
  static constexpr Duration kServiceTime = std::chrono::milliseconds(200);

 private:
  static constexpr Duration kHop = std::chrono::milliseconds(1);
  static constexpr Duration kHeartbeat = std::chrono::milliseconds(600);

  struct BrittleReplica {
    std::size_t in_system = 0;
    TimePoint last_start{};
    std::deque<TimePoint> slots_free;  ///< when each call in the system ends, in order
    std::deque<TimePoint> refusals;
  };

  void arrive(RunningRouter& router, const calls::SendAttemptEffect& sent);
  void respond(RunningRouter& router, const calls::SendAttemptEffect& sent, bool refused);
  void refuse(BrittleReplica& replica);
  void sendHeartbeat(std::size_t number);
  void call(RunningRouter& router);

  Random random_;
  std::vector<RunningRouter*> routers_;
  std::map<std::string, BrittleReplica> replicas_;
  std::optional<double> brittle_;
  std::size_t queue_ = 4;
  std::size_t worst_second_ = 0;
  std::size_t falls_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace ferryrock::services
