#pragma once

#include <cstdint>
#include <string>

namespace ferryrock::load {

/// The text that the stand-in engines generate for a request; docs/ENGINE_PROTOCOL.md has the rule.
std::string expectedText(const std::string& model, const std::string& prompt, std::uint32_t max_tokens);

}  // namespace ferryrock::load
