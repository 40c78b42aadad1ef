#pragma once

#include <string>
#include <string_view>

namespace ferryrock {

/// Appends the text in quotes, with what JSON wants escaped.
void appendJsonString(std::string& line, std::string_view text);

}  // namespace ferryrock
