#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "wire/service_types.h"

/// Authentication of callers: tenants, their keys and their quotas. Pure logic without I/O or a clock.
namespace ferryrock::tenancy {

/// The credential that a call presented.
struct Credential {
  enum class Form : std::uint8_t {
    None,
    Malformed,  ///< not a well-formed key, or more than one credential
    Key,
  };
  Form form = Form::None;
  std::string key;  ///< set for Form::Key; never logged
};

/// Index from API keys to the tenants of one catalog. Immutable; the catalog must outlive it.
class KeyTable {
 public:
  explicit KeyTable(const wire::ServiceCatalog& catalog);

  /// False if the catalog has no tenant list, in which case keys are not checked.
  bool requiresKeys() const { return in_use_; }
  /// Returns nullptr if no tenant holds the key. The lookup time doesn't reveal how much of a key is right:
  /// positions in the index depend on a per-process seed, and strings of equal length are compared in
  /// constant time.
  const wire::Tenant* find(std::string_view key) const;

 private:
  struct Entry {
    std::string_view key;
    const wire::Tenant* tenant = nullptr;
  };
  bool in_use_ = false;
  std::uint64_t seed_;
  /// Keyed by the seeded hash of the API key.
  std::unordered_multimap<std::uint64_t, Entry> entries_;
};

}  // namespace ferryrock::tenancy
