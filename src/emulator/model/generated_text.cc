#include "emulator/model/generated_text.h"

#include <array>
#include <string_view>

#include "common/hashing.h"

namespace ferryrock::emulator {
namespace {

constexpr std::size_t kHexDigits = 6;
constexpr unsigned kBitsPerDigit = 4;
constexpr std::uint64_t kDigitMask = 0xF;
constexpr std::string_view kDigits = "0123456789abcdef";

}  // namespace

GeneratedText::GeneratedText(const ModelName& model, const std::string& prompt)
    : seed_(model.value + "\n" + prompt + "\n"), seed_size_(seed_.size()) {}

std::string GeneratedText::token(std::uint64_t index) {
  seed_ += std::to_string(index);
  std::uint64_t hash = stableHash(seed_);
  seed_.resize(seed_size_);
  std::string word(kHexDigits + 2, ' ');
  word[0] = 'w';
  for (std::size_t digit = kHexDigits; digit > 0; --digit) {
    word[digit] = kDigits[hash & kDigitMask];
    hash >>= kBitsPerDigit;
  }
  return word;
}

}  // namespace ferryrock::emulator
