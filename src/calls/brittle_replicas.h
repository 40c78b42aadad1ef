#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "common/identifiers.h"
#include "common/random.h"
#include "common/time.h"

namespace ferryrock::calls {

/// Replicas that crash if they have to refuse more than a stated number of calls a second, from all routers
/// together, because they are full. From the first such statement on, each router keeps a bound on its own
/// attempts in flight there: at first its share of the replica's slots. While the bound is reached, it tries
/// one attempt more at intervals that grow with the number of routers, so that all of them together try well
/// fewer than the refusals that the replica survives. A refusal lowers the bound to the attempts that were
/// accepted. Not thread-safe; used by one thread.
class BrittleReplicas {
 public:
  explicit BrittleReplicas(std::uint64_t seed) : random_(seed) {}

  /// Records how many refusals a second the replica survives, as stated in a response. Returns true for the
  /// first statement.
  bool record(const ReplicaId& replica, double refusals_per_second, std::uint32_t slots, TimePoint now);
  /// Records that a response doesn't state that the replica is brittle, or that its incarnation has ended.
  void forget(const ReplicaId& replica) { replicas_.erase(replica); }
  bool isBrittle(const ReplicaId& replica) const { return replicas_.contains(replica); }
  std::size_t size() const { return replicas_.size(); }
  /// Sets the number of routers that share the replicas, including this one.
  void setRouters(std::uint32_t routers) { routers_ = routers; }

  /// nullopt: one more attempt may be sent; otherwise the time at which one may be, unless another ends
  /// before.
  std::optional<TimePoint> closedUntil(const ReplicaId& replica, std::uint32_t outstanding,
                                       TimePoint now) const;
  /// Records an attempt. outstanding: the attempts in flight before it.
  void onSent(const ReplicaId& replica, std::uint32_t outstanding, TimePoint now);
  /// Records that the replica refused an attempt because it is full. outstanding: the remaining attempts.
  void onRefused(const ReplicaId& replica, std::uint32_t outstanding, TimePoint now);

 private:
  struct Brittle {
    double refusals_per_second = 0;
    std::uint32_t bound = 0;  ///< attempts that the router may have in flight
    TimePoint next_trial{};   ///< when one more may be tried
  };

  /// Mean time between two trials of this router at the replica.
  Duration trialInterval(const Brittle& brittle) const;

  Random random_;
  std::uint32_t routers_ = 1;
  std::map<ReplicaId, Brittle> replicas_;
};

}  // namespace ferryrock::calls
