#include "tenancy/key_table.h"

#include <catch2/catch.hpp>

namespace ferryrock::tenancy {
namespace {

wire::ServiceCatalog catalogOf(std::vector<wire::Tenant> tenants) {
  wire::ServiceCatalog catalog;
  catalog.tenants = std::move(tenants);
  catalog.has_tenants = true;
  return catalog;
}

wire::Tenant tenant(const std::string& name, std::vector<std::string> keys) {
  wire::Tenant tenant;
  tenant.name = TenantName(name);
  tenant.keys = std::move(keys);
  return tenant;
}

TEST_CASE("A lookup finds the tenant that holds the key and matches whole keys only") {
  const wire::ServiceCatalog catalog = catalogOf({tenant("a", {"key-1", "key-2"}), tenant("b", {"key-3"})});
  const KeyTable keys(catalog);
  CHECK(keys.requiresKeys());
  REQUIRE(keys.find("key-2") != nullptr);
  CHECK(keys.find("key-2")->name == TenantName("a"));
  CHECK(keys.find("key-3")->name == TenantName("b"));
  for (const char* wrong : {"", "key", "key-", "key-4", "key-11", "KEY-1", "key-1 ", "key-1,key-2"}) {
    CHECK(keys.find(wrong) == nullptr);
  }
}

TEST_CASE("Keys are checked as soon as the catalog has a tenant list, even an empty one") {
  CHECK_FALSE(KeyTable(wire::ServiceCatalog{}).requiresKeys());
  CHECK(KeyTable(catalogOf({})).requiresKeys());
  const wire::ServiceCatalog without_keys = catalogOf({tenant("a", {})});
  CHECK(KeyTable(without_keys).requiresKeys());
}

}  // namespace
}  // namespace ferryrock::tenancy
