#include "tenancy/key_table.h"

#include <openssl/crypto.h>

#include <string>

#include "common/hashing.h"
#include "common/random.h"

namespace ferryrock::tenancy {
namespace {

std::uint64_t seededHash(std::uint64_t seed, std::string_view key) {
  return stableHash(std::to_string(seed).append("/").append(key));
}

bool equalInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

KeyTable::KeyTable(const wire::ServiceCatalog& catalog) : in_use_(catalog.has_tenants), seed_(systemSeed()) {
  for (const wire::Tenant& tenant : catalog.tenants) {
    for (const std::string& key : tenant.keys) {
      entries_.emplace(seededHash(seed_, key), Entry{key, &tenant});
    }
  }
}

const wire::Tenant* KeyTable::find(std::string_view key) const {
  const auto [begin, end] = entries_.equal_range(seededHash(seed_, key));
  for (auto entry = begin; entry != end; ++entry) {
    if (equalInConstantTime(entry->second.key, key)) {
      return entry->second.tenant;
    }
  }
  return nullptr;
}

}  // namespace ferryrock::tenancy
