#include "services/catalog_rules.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
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
      refuse("unknown service '" + target.service.value + "'", place);
    }
    weights += target.weight;
  }
  if (weights == 0) {
    refuse("the weights of the route's services add up to 0", place);
  }
}

void checkTenants(const std::vector<wire::Tenant>& tenants) {
  std::set<TenantName> names;
  std::map<std::string_view, TenantName> holders;
  for (const wire::Tenant& tenant : tenants) {
    const std::string place = "tenant '" + tenant.name.value + "'";
    if (!names.insert(tenant.name).second) {
      refuse("another tenant has the same name", place);
    }
    for (const std::string& key : tenant.keys) {
      const auto [holder, first] = holders.emplace(key, tenant.name);
      if (!first && holder->second != tenant.name) {
        refuse("the tenant has a key in common with tenant '" + holder->second.value + "'", place);
      }
    }
  }
}

}  // namespace

void checkCatalog(const wire::ServiceCatalog& catalog) {
  checkTenants(catalog.tenants);
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
      refuse("the timeout must be above 0 ms, got " + std::to_string(route.timeout_ms), place);
    }
  }
}

}  // namespace ferryrock::services
