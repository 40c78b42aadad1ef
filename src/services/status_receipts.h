#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "common/identifiers.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Arrival times of the routers' latest statuses at a leader. From them the leader determines which statuses
/// arrived before a majority of the members last confirmed its leadership. Used by one thread.
class StatusReceipts {
 public:
  void onStatus(const wire::CallRouterStatus& status, TimePoint now);
  /// Returns the router's newest status that arrived no later than `followed`; an empty one if there is none.
  wire::ProvedStatus provedBy(const NodeName& router, TimePoint followed) const;
  template <class Routers>
  void keepRouters(const Routers& routers) {
    std::erase_if(receipts_, [&routers](const auto& item) { return !routers.contains(item.first); });
  }

 private:
  struct Receipt {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint arrived_at{};
  };
  std::map<NodeName, std::deque<Receipt>> receipts_;  ///< oldest first
};

}  // namespace ferryrock::services
