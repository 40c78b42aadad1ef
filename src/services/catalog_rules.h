#pragma once

#include "wire/service_types.h"

/// Control plane of hosted services: the catalog, the replica registry, the router directory, cell membership
/// and model placement. Pure logic without I/O.
namespace ferryrock::services {

/// Throws Error InvalidCatalog with the place of the first violation: a route to an unknown service, two
/// routes with the same host and path prefix, service weights that add up to 0, a timeout that isn't
/// positive, two services with the same name, or two tenants with the same name or a common key. The error
/// message never contains a key.
void checkCatalog(const wire::ServiceCatalog& catalog);

}  // namespace ferryrock::services
