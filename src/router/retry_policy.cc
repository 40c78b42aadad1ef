#include "router/retry_policy.h"

#include <algorithm>
#include <chrono>

namespace ferryrock::router {
namespace {

/// A service that has been silent may still retry a few times.
constexpr double kInitialBudget = 10.0;
constexpr double kLargestBudget = 100.0;
constexpr std::uint32_t kMostAttempts = 8;
constexpr Duration kFirstBackoff = std::chrono::milliseconds(5);
constexpr Duration kLongestBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t kMostDoublings = 10;

}  // namespace

void RetryPolicy::onRequest(const ModelName& service, double retry_budget) {
  const auto budget = budgets_.try_emplace(service, kInitialBudget).first;
  budget->second = std::min(kLargestBudget, budget->second + retry_budget);
}

bool RetryPolicy::spend(const ModelName& service) {
  const auto budget = budgets_.try_emplace(service, kInitialBudget).first;
  if (budget->second < 1.0) {
    return false;
  }
  budget->second -= 1.0;
  return true;
}

bool RetryPolicy::exhausted(std::uint32_t attempts) {
  return attempts >= kMostAttempts;
}

Duration RetryPolicy::backoff(std::uint32_t failures, Random& random) {
  const std::uint32_t doublings = std::min(failures == 0 ? 0 : failures - 1, kMostDoublings);
  const Duration longest = std::min(kLongestBackoff, kFirstBackoff * (1U << doublings));
  const double share = 0.5 + 0.5 * random.unit();
  return Duration(static_cast<Duration::rep>(static_cast<double>(longest.count()) * share));
}

}  // namespace ferryrock::router
