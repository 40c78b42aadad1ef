#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "common/identifiers.h"
#include "common/random.h"

namespace ferryrock::router {

/// A replica that may take one request more, as balancing policies see it.
struct Candidate {
  SlotId slot;
  double load = 0;      ///< requests on it: the router's own, corrected by what the engine reported
  double weight = 1;    ///< 0 to 1: below 1 while it starts slowly
  double slowness = 1;  ///< its time for a chunk as a multiple of the fastest candidate's
};

/// Chooses one of several replicas. Small and replaceable. Used by one thread.
class BalancingPolicy {
 public:
  virtual ~BalancingPolicy() = default;
  /// Index of the chosen candidate; candidates aren't empty.
  virtual std::size_t choose(std::span<const Candidate> candidates, Random& random) = 0;
};

/// Two different candidates at random; the one with less load for its weight wins. A baseline that needs no
/// look at all candidates.
class TwoChoicesPolicy : public BalancingPolicy {
 public:
  std::size_t choose(std::span<const Candidate> candidates, Random& random) override;
};

/// Each candidate with the same probability; a baseline.
class RandomPolicy : public BalancingPolicy {
 public:
  std::size_t choose(std::span<const Candidate> candidates, Random& random) override;
};

/// One after the other in slot order; a baseline.
class RoundRobinPolicy : public BalancingPolicy {
 public:
  std::size_t choose(std::span<const Candidate> candidates, Random& random) override;

 private:
  SlotId last_;
};

/// The one with the least load for its weight; ties at random. The default: own counts lead and reports are
/// bounded, so that routers with stale reports don't herd (bench/routing_bench, docs/design/routing.md).
class LeastLoadedPolicy : public BalancingPolicy {
 public:
  std::size_t choose(std::span<const Candidate> candidates, Random& random) override;
};

/// By name: "two-choices", "round-robin", "random", "least-loaded". Throws Error SettingOutOfRange.
std::unique_ptr<BalancingPolicy> createBalancingPolicy(const std::string& name);

}  // namespace ferryrock::router
