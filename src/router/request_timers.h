#pragma once

#include "router/router_parts.h"

namespace ferryrock::router {

/// Longest wait for a table entry or a claim while the control cell seems to be there.
inline constexpr Duration kControlTimeout = std::chrono::seconds(3);

/// When a request is looked at again. Used by one thread.
class RequestTimers {
 public:
  explicit RequestTimers(RouterParts& parts) : parts_(parts) {}

  /// Instant at which the request's final answer has to leave at the latest.
  TimePoint latestAnswer(const Request& request) const;
  /// Instant at which a waiting request is given up, since it couldn't be finished any more.
  TimePoint giveUpAt(const Request& request) const;
  /// Instant at which the living attempt counts as stalled unless it makes progress.
  TimePoint stallsAt(const Request& request) const;
  /// Instant at which a request that waits for the control cell is given up.
  TimePoint controlTimeoutAt(const Request& request) const;
  /// Sets the request's next wake.
  void schedule(const Request& request, TimePoint now);

 private:
  Duration stallTimeout(const Request& request) const;
  RouterParts& parts_;
};

}  // namespace ferryrock::router
