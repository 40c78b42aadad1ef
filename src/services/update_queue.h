#pragma once

#include <deque>
#include <optional>
#include <set>

#include "common/identifiers.h"

namespace ferryrock::services {

/// Routers that are owed an update: each once, in the order in which they came to be owed one, so that no
/// router waits for longer than those that were owed theirs before it. Used by one thread.
class UpdateQueue {
 public:
  /// A router that waits already keeps its place.
  void add(const NodeName& router) {
    if (waiting_.insert(router).second) {
      order_.push_back(router);
    }
  }
  void remove(const NodeName& router) { waiting_.erase(router); }
  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }
  /// The one that has waited longest; nullopt: none waits.
  std::optional<NodeName> take() {
    while (!order_.empty()) {
      NodeName router = std::move(order_.front());
      order_.pop_front();
      if (waiting_.erase(router) > 0) {
        return router;
      }
    }
    return std::nullopt;
  }

 private:
  std::deque<NodeName> order_;  ///< also those that were removed
  std::set<NodeName> waiting_;
};

}  // namespace ferryrock::services
