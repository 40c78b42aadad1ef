#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::services {

/// Pending requests of routers whose proof that their catalog is current is missing or about to expire. The
/// leader can answer a request once a majority of the members has followed it after the router's status
/// arrived. Requests are kept in order of arrival, so that the cost of a scan depends on the number of
/// requests that it answers and not on the number pending. Used by one thread.
class ProofRequests {
 public:
  /// Adds a request of a router whose status arrived at `now`. A pending request of the same incarnation
  /// keeps its place in the queue; a request of another incarnation is replaced.
  void add(const NodeName& router, std::uint64_t incarnation, TimePoint now);
  /// Removes and returns the routers whose requests arrived no later than `followed`.
  std::vector<NodeName> takeAnswerable(TimePoint followed);
  bool empty() const { return pending_.empty(); }
  /// Number of queue entries examined by all calls of takeAnswerable() so far.
  std::uint64_t examined() const { return examined_; }

 private:
  struct Request {
    std::uint64_t incarnation = 0;
    TimePoint arrived_at{};
  };
  struct QueueEntry {
    TimePoint arrived_at{};
    NodeName router;
  };

  std::map<NodeName, Request> pending_;
  std::deque<QueueEntry>
      queue_;  ///< oldest first; may contain entries of former incarnations, which are skipped
  std::uint64_t examined_ = 0;
};

}  // namespace ferryrock::services
