#pragma once

#include <map>

#include "common/time.h"
#include "services/router_directory.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Tracks what one leader has sent to each router and what may still be in flight, so that pushes before the
/// router's next status don't repeat it. Used by one thread.
class UpdateLedger {
 public:
  /// Returns the status that the router will have once the updates in flight have arrived. Updates that
  /// aren't confirmed within 400 ms, or that the router reports as missed, count as lost.
  wire::CallRouterStatus expected(const wire::CallRouterStatus& status, TimePoint now);
  void onSent(const NodeName& router, const wire::ServiceUpdate& update, TimePoint now);
  /// When replica loads were last sent to the router; TimePoint{} if never.
  TimePoint loadsSent(const NodeName& router) const;
  /// When an update was last sent to the router; TimePoint{} if never.
  TimePoint lastSent(const NodeName& router) const;
  void keepRouters(const std::map<NodeName, RouterRecord>& routers);

 private:
  struct Sent {
    TimePoint last_sent{};
    LogIndex revision;
    TimePoint revision_reset_at{};  ///< when `revision` was last reset to the router's reported one
    CatalogVersion catalog;
    TimePoint catalog_sent{};
    std::uint64_t directory = 0;
    TimePoint directory_sent{};
    TimePoint loads_sent{};
  };
  std::map<NodeName, Sent> sent_;
};

}  // namespace ferryrock::services
