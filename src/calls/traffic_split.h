#pragma once

#include <cstdint>
#include <map>

#include "wire/service_types.h"

namespace ferryrock::calls {

/// Distributes the calls of each route over its services by weight, with smooth weighted round robin, so that
/// the weights also hold over short sequences. Not thread-safe; used by one thread.
class TrafficSplit {
 public:
  /// Returns the service for the route's next call. The route must have at least one target with a positive
  /// weight.
  const ServiceName& next(const wire::CallRoute& route);

 private:
  struct Turn {
    std::vector<wire::RouteTarget> targets;  ///< targets that `credits` refers to
    std::vector<std::int64_t> credits;
  };
  std::map<RouteName, Turn> turns_;
};

}  // namespace ferryrock::calls
