#include "services/catalog_rules.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "common/error.h"

namespace ferryrock::services {
namespace {

[[noreturn]] void refuse(const std::string& detail, const std::string& place) {
  throw Error(ResultCode::InvalidCatalog, detail, place);
}

void checkTargets(const wire::CallRoute& route, const std::set<ServiceName>& services,
                  const std::string& place) {
  std::uint64_t weights = 0;
  for (const wire::RouteTarget& target : route.targets) {
    if (!services.contains(target.service)) {
      refuse("there is no service '" + target.service.value + "'", place);
    }
    weights += target.weight;
  }
  if (weights == 0) {
    refuse("the weights of the services add up to 0", place);
  }
}

}  // namespace

void checkCatalog(const wire::ServiceCatalog& catalog) {
  std::set<ServiceName> services;
  for (const wire::HostedService& service : catalog.services) {
    if (!services.insert(service.name).second) {
      refuse("two services have the same name", "service '" + service.name.value + "'");
    }
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const wire::CallRoute& route : catalog.routes) {
    const std::string place = "route '" + route.name.value + "'";
    checkTargets(route, services, place);
    if (!places.insert({route.host, route.path_prefix}).second) {
      refuse("another route has the same host and path prefix", place);
    }
    if (route.timeout_ms <= 0) {
      refuse("the timeout must be above 0", place);
    }
  }
}

}  // namespace ferryrock::services
