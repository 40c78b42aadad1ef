#pragma once

#include "wire/service_types.h"

/// Control of hosted services: the catalog, the registry of replicas, the directory of routers, the upkeep of
/// the cell and the placement of models. Logic only.
namespace ferryrock::services {

/// Throws Error InvalidCatalog with the place of the first contradiction: a route that names an unknown
/// service, two routes of one host and prefix, weights that add up to 0, a timeout that isn't positive,
/// two tenants of one name or with a common key. The text shows no key.
void checkCatalog(const wire::ServiceCatalog& catalog);

}  // namespace ferryrock::services
