#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::services {

/// Routers that can't prove their catalog for long. One can be told that it may once a majority of the
/// members has followed the leader after its status came. Requests are kept in the order in which they came,
/// so that looking for those that can be answered costs what is answered, however many wait. Used by one
/// thread.
class ProofRequests {
 public:
  /// The router's status came just now; its former request, if any of the same life waits, keeps its place.
  void add(const NodeName& router, std::uint64_t incarnation, TimePoint now);
  /// The routers whose requests came no later than `followed`; they are forgotten.
  std::vector<NodeName> takeAnswerable(TimePoint followed);
  bool empty() const { return waiting_.empty(); }
  /// Requests that were looked at so far.
  std::uint64_t examined() const { return examined_; }

 private:
  struct Request {
    std::uint64_t incarnation = 0;
    TimePoint at{};
  };
  struct Place {
    TimePoint at{};
    NodeName router;
  };

  std::map<NodeName, Request> waiting_;
  std::deque<Place> order_;  ///< oldest first; also of lives that have ended
  std::uint64_t examined_ = 0;
};

}  // namespace ferryrock::services
