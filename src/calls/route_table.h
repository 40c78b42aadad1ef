#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tenancy/key_table.h"
#include "wire/service_types.h"

namespace ferryrock::calls {

/// The routes and services of one catalog, indexed for lookup. Immutable, so that a call can keep the table
/// that it was routed with.
class RouteTable {
 public:
  explicit RouteTable(wire::ServiceCatalog catalog);

  /// Returns the host's route with the longest prefix that matches the path; nullptr: none.
  const wire::CallRoute* find(std::string_view host, std::string_view path) const;
  /// nullptr: unknown service.
  const wire::HostedService* findService(const ServiceName& name) const;
  const tenancy::KeyTable& keys() const { return keys_; }
  CatalogVersion version() const { return catalog_.version; }
  const wire::ServiceCatalog& catalog() const { return catalog_; }

 private:
  wire::ServiceCatalog catalog_;
  tenancy::KeyTable keys_;
  /// By host, then by path prefix.
  std::map<std::string, std::map<std::string, const wire::CallRoute*, std::less<>>, std::less<>> routes_;
  std::map<ServiceName, const wire::HostedService*> services_;
};

/// Returns the host in lower case and without a port.
std::string normalizedHost(std::string_view host);

}  // namespace ferryrock::calls
