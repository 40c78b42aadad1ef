#pragma once

#include <string>
#include <string_view>

namespace ferryrock {

/// Appends the text as a quoted JSON string, with escapes where JSON requires them.
void appendJsonString(std::string& line, std::string_view text);

}  // namespace ferryrock
