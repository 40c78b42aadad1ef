#include "router/balancing_policy.h"

#include <algorithm>

#include "common/error.h"

namespace ferryrock::router {
namespace {

constexpr double kMinimumWeight = 0.01;

/// Load after one request more, in requests of the fastest candidate, for the weight.
double cost(const Candidate& candidate) {
  return (candidate.load + 1) * candidate.slowness / std::max(candidate.weight, kMinimumWeight);
}

}  // namespace

std::size_t TwoChoicesPolicy::choose(std::span<const Candidate> candidates, Random& random) {
  if (candidates.size() == 1) {
    return 0;
  }
  const std::size_t first = random.below(candidates.size());
  std::size_t second = random.below(candidates.size() - 1);
  if (second >= first) {
    ++second;
  }
  return cost(candidates[second]) < cost(candidates[first]) ? second : first;
}

std::size_t RandomPolicy::choose(std::span<const Candidate> candidates, Random& random) {
  return random.below(candidates.size());
}

std::size_t RoundRobinPolicy::choose(std::span<const Candidate> candidates, Random& /*random*/) {
  std::size_t lowest = 0;
  std::size_t next = candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const SlotId slot = candidates[i].slot;
    if (slot < candidates[lowest].slot) {
      lowest = i;
    }
    if (slot > last_ && (next == candidates.size() || slot < candidates[next].slot)) {
      next = i;
    }
  }
  const std::size_t chosen = next == candidates.size() ? lowest : next;
  last_ = candidates[chosen].slot;
  return chosen;
}

std::size_t LeastLoadedPolicy::choose(std::span<const Candidate> candidates, Random& random) {
  std::size_t best = 0;
  std::uint64_t ties = 1;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const double difference = cost(candidates[i]) - cost(candidates[best]);
    if (difference < 0) {
      best = i;
      ties = 1;
    } else if (difference == 0) {
      ++ties;
      best = random.below(ties) == 0 ? i : best;
    }
  }
  return best;
}

std::unique_ptr<BalancingPolicy> createBalancingPolicy(const std::string& name) {
  if (name == "two-choices") {
    return std::make_unique<TwoChoicesPolicy>();
  }
  if (name == "round-robin") {
    return std::make_unique<RoundRobinPolicy>();
  }
  if (name == "random") {
    return std::make_unique<RandomPolicy>();
  }
  if (name == "least-loaded") {
    return std::make_unique<LeastLoadedPolicy>();
  }
  throw Error(ResultCode::SettingOutOfRange, "there is no balancing policy '" + name + "'", "balancing");
}

}  // namespace ferryrock::router
