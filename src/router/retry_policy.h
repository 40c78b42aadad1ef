#pragma once

#include <cstdint>
#include <map>

#include "common/identifiers.h"
#include "common/random.h"
#include "common/time.h"

namespace ferryrock::router {

/// When a request may be tried again: a budget per service, a limit per request, and a jittered backoff that
/// grows. Each request earns its service a part of a retry; a retry that a failing replica caused spends one.
/// Used by one thread.
class RetryPolicy {
 public:
  /// A request of the service was accepted; retry_budget is the retries that each request earns.
  void onRequest(const ModelName& service, double retry_budget);
  /// Spends one retry; false: the budget is empty.
  bool spend(const ModelName& service);
  /// True when a request that was tried so often isn't tried again.
  static bool exhausted(std::uint32_t attempts);
  /// Wait before the next attempt after `failures` failed ones, uniformly between half of it and all of it.
  static Duration backoff(std::uint32_t failures, Random& random);

 private:
  std::map<ModelName, double> budgets_;
};

}  // namespace ferryrock::router
