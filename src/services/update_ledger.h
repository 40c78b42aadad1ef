#pragma once

#include <map>

#include "common/time.h"
#include "services/router_directory.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// What one leader has sent to each router and what may still be on its way, so that nothing is sent again
/// with every push until the router's next status. Used by one thread.
class UpdateLedger {
 public:
  /// The status that the router will have once what is on its way has arrived. What isn't confirmed after a
  /// while, or was reported as missed, is taken as lost.
  wire::CallRouterStatus expected(const wire::CallRouterStatus& status, TimePoint now);
  void onSent(const NodeName& router, const wire::ServiceUpdate& update, TimePoint now);
  /// When the router was last told the loads of replicas; long ago if never.
  TimePoint loadsSent(const NodeName& router) const;
  /// When the router was last sent something; long ago if never.
  TimePoint lastSent(const NodeName& router) const;
  void keepRouters(const std::map<NodeName, RouterRecord>& routers);

 private:
  struct Sent {
    TimePoint last{};
    LogIndex revision;
    TimePoint revision_since{};  ///< when the router's revision was last built upon
    CatalogVersion catalog;
    TimePoint catalog_sent{};
    std::uint64_t directory = 0;
    TimePoint directory_sent{};
    TimePoint loads_sent{};
  };
  std::map<NodeName, Sent> sent_;
};

}  // namespace ferryrock::services
