#include "common/json_text.h"

#include <array>
#include <cstdio>

namespace ferryrock {

void appendJsonString(std::string& line, std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  line += '"';
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      line += '\\';
      line += character;
    } else if (byte < kFirstPrintable) {
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\u%04x", byte);
      line += escaped.data();
    } else {
      line += character;
    }
  }
  line += '"';
}

}  // namespace ferryrock
