#pragma once

#include <cstdint>
#include <string>

#include "common/identifiers.h"

namespace ferryrock::emulator {

/// The words that a stand-in engine answers with; anyone who knows the request can work them out.
class GeneratedText {
 public:
  GeneratedText(const ModelName& model, const std::string& prompt);
  /// Token number `index` of the answer: "w" and six hex digits and a space.
  std::string token(std::uint64_t index);

 private:
  std::string seed_;  ///< model, newline, prompt, newline; the index is appended for each token
  std::size_t seed_size_;
};

}  // namespace ferryrock::emulator
