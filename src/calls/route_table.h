#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tenancy/key_table.h"
#include "wire/service_types.h"

namespace ferryrock::calls {

/// One catalog, indexed for finding the route of a call. Immutable, so that calls keep the table that they
/// were routed by.
class RouteTable {
 public:
  explicit RouteTable(wire::ServiceCatalog catalog);

  /// Of the host's routes the one with the longest prefix that begins the path; nullptr: none.
  const wire::CallRoute* find(std::string_view host, std::string_view path) const;
  /// nullptr: unknown.
  const wire::HostedService* findService(const ServiceName& name) const;
  const tenancy::KeyTable& keys() const { return keys_; }
  CatalogVersion version() const { return catalog_.version; }
  const wire::ServiceCatalog& catalog() const { return catalog_; }

 private:
  wire::ServiceCatalog catalog_;
  tenancy::KeyTable keys_;
  /// By host, then by prefix.
  std::map<std::string, std::map<std::string, const wire::CallRoute*, std::less<>>, std::less<>> routes_;
  std::map<ServiceName, const wire::HostedService*> services_;
};

/// Host without a port, in lower case.
std::string normalizedHost(std::string_view host);

}  // namespace ferryrock::calls
