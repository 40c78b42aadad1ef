#pragma once

#include <deque>
#include <optional>
#include <set>

#include "common/identifiers.h"

namespace ferryrock::services {

/// FIFO queue of routers that need an update, without duplicates. Used by one thread.
class UpdateQueue {
 public:
  /// Appends a router; a router in the queue keeps its place.
  void add(const NodeName& router) {
    if (queued_.insert(router).second) {
      order_.push_back(router);
    }
  }
  void remove(const NodeName& router) { queued_.erase(router); }
  bool empty() const { return queued_.empty(); }
  std::size_t size() const { return queued_.size(); }
  /// Removes and returns the router at the front; nullopt: the queue is empty.
  std::optional<NodeName> take() {
    while (!order_.empty()) {
      NodeName router = std::move(order_.front());
      order_.pop_front();
      if (queued_.erase(router) > 0) {
        return router;
      }
    }
    return std::nullopt;
  }

 private:
  std::deque<NodeName> order_;  ///< may contain removed routers, which take() skips
  std::set<NodeName> queued_;
};

}  // namespace ferryrock::services
