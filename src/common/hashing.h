#pragma once

#include <cstdint>
#include <string_view>

namespace ferryrock {

/// XXH3 64-bit hash; stable across processes, machines and versions.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace ferryrock
