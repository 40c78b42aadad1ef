#pragma once

#include <cstddef>
#include <string_view>

namespace ferryrock::http {

/// Levels of lists and objects within each other that a JSON body may have.
inline constexpr std::size_t kMaxJsonDepth = 64;
/// Values and names of members that a JSON body may have: parsed, each takes many times its size in the text.
inline constexpr std::size_t kMaxJsonValues = 500'000;

/// Checks a body before it is parsed as a whole. Throws Error MalformedBody if it is deeper or has more
/// values than allowed. Doesn't reject text that isn't JSON.
void checkJsonSize(std::string_view text);

}  // namespace ferryrock::http
