#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

#include "router/balancing_policy.h"
#include "router/replica_pool.h"
#include "wire/model_types.h"

namespace ferryrock::router {

/// Remembers the replica last used for a key, for the keys used most recently. Used by one thread.
class RecentReplicas {
 public:
  explicit RecentReplicas(std::size_t capacity) : capacity_(capacity) {}
  std::optional<SlotId> find(std::uint64_t key);
  void remember(std::uint64_t key, SlotId slot);
  std::size_t size() const { return slots_.size(); }

 private:
  using Order = std::list<std::pair<std::uint64_t, SlotId>>;

  std::size_t capacity_;
  Order order_;  ///< most recent first
  std::unordered_map<std::uint64_t, Order::iterator> slots_;
};

/// What a request wants of its replica.
struct SelectionRequest {
  std::uint64_t session_key = 0;  ///< hash of model and session; 0: none
  std::uint64_t prefix_key = 0;   ///< hash of model and prompt prefix; 0: none
  std::set<SlotId> tried;         ///< taken again only when nothing else is left
  std::set<ZoneName> failed_zones;
  bool repeatable = true;  ///< false: probes an ejected replica only when there is no other one
};

/// Chooses a replica for a request: the session's own; else the router's zone first, spilling over before
/// queues build; a home of the prompt prefix within a bound; then the balancing policy. Used by one thread.
class ReplicaSelector {
 public:
  ReplicaSelector(ReplicaPool& pool, ZoneName zone, std::unique_ptr<BalancingPolicy> policy, Random random);

  /// nullopt: no replica of the entry may take a request now.
  std::optional<SlotId> select(const wire::RouteEntry& entry, const SelectionRequest& request, TimePoint now);
  /// The request was sent there: later ones of its session prefer it.
  void onDispatched(const SelectionRequest& request, SlotId slot);
  Random& random() { return random_; }

 private:
  struct Option {
    Candidate candidate;
    const Replica* replica = nullptr;
    double limit = 1;  ///< requests that the router has on it at most
  };
  using Options = std::vector<Option>;

  /// Sets the options' slowness.
  static void compareSpeeds(Options& options, TimePoint now);
  /// Load in requests of the fastest option.
  static double loadOf(const Option& option);
  /// Slow start holds a replica back against those that have started; when all are new, none is.
  double largestWeight(const wire::RouteEntry& entry, TimePoint now) const;
  Options eligible(const wire::RouteEntry& entry, TimePoint now) const;
  std::optional<SlotId> sessionReplica(const wire::RouteEntry& entry, const SelectionRequest& request,
                                       TimePoint now);
  std::optional<SlotId> warmReplica(const Options& options, const SelectionRequest& request,
                                    std::uint32_t concurrency, TimePoint now);
  void preferHealthy(Options& options, const SelectionRequest& request) const;
  void preferUntried(Options& options, const SelectionRequest& request) const;
  void preferOwnZone(Options& options) const;

  ReplicaPool& pool_;
  ZoneName zone_;
  std::unique_ptr<BalancingPolicy> policy_;
  Random random_;
  RecentReplicas sessions_;
};

}  // namespace ferryrock::router
