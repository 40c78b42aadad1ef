#include "balance/load_key.h"

#include "common/hashing.h"

namespace ferryrock::balance {

std::uint32_t loadKey(std::string_view name) {
  return static_cast<std::uint32_t>(stableHash(name));
}

}  // namespace ferryrock::balance
