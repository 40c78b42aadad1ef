#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "wire/service_types.h"

/// Who may call: tenants, their keys and what they may use. Logic only, without input, output or a clock.
namespace ferryrock::tenancy {

/// What a call brought to prove who sent it.
struct Credential {
  enum class Form : std::uint8_t {
    None,       ///< nothing
    Malformed,  ///< something that no key can be, or more than one
    Key,
  };
  Form form = Form::None;
  std::string key;  ///< of Form::Key; never logged
};

/// The tenants of one catalog by their keys. Immutable; the catalog must outlive it.
class KeyTable {
 public:
  explicit KeyTable(const wire::ServiceCatalog& catalog);

  /// False: the catalog has no tenants, so that keys mean nothing to the system.
  bool inUse() const { return in_use_; }
  /// nullptr: no tenant holds the key. The time it takes doesn't tell how much of a key was right: places in
  /// the index depend on a seed of this process, and texts of equal length are compared in constant time.
  const wire::Tenant* find(std::string_view key) const;

 private:
  struct Entry {
    std::string_view key;
    const wire::Tenant* tenant = nullptr;
  };
  bool in_use_ = false;
  std::uint64_t seed_;
  std::unordered_multimap<std::uint64_t, Entry> entries_;  ///< by the seeded hash of the key
};

}  // namespace ferryrock::tenancy
