#pragma once

#include <cstdint>
#include <map>

#include "wire/service_types.h"

namespace ferryrock::calls {

/// Shares the calls of each route out to its services by weight, evenly at every moment (smooth weighted
/// round robin). Used by one thread.
class TrafficSplit {
 public:
  /// The service for the route's next call. The route has at least one target of positive weight.
  const ServiceName& next(const wire::CallRoute& route);

 private:
  struct Turn {
    std::vector<wire::RouteTarget> targets;  ///< that the credits belong to
    std::vector<std::int64_t> credits;
  };
  std::map<RouteName, Turn> turns_;
};

}  // namespace ferryrock::calls
