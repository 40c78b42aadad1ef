#include "load/expected_text.h"

#include <iomanip>
#include <sstream>

#include "common/hashing.h"

namespace ferryrock::load {

namespace {

constexpr std::uint64_t kWordMask = 0xffffff;
constexpr int kWordDigits = 6;

}  // namespace

std::string expectedText(const std::string& model, const std::string& prompt, std::uint32_t max_tokens) {
  const std::string prefix = model + "\n" + prompt + "\n";
  std::ostringstream text;
  text << std::hex << std::setfill('0');
  for (std::uint32_t index = 0; index < max_tokens; ++index) {
    const std::uint64_t hash = stableHash(prefix + std::to_string(index));
    text << 'w' << std::setw(kWordDigits) << (hash & kWordMask) << ' ';
  }
  return text.str();
}

}  // namespace ferryrock::load
