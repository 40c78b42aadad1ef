#pragma once

#include <cstddef>
#include <string_view>
#include <variant>

#include "wire/messages.h"

/// Names of message kinds for metrics and logs, by their index in Message.
namespace ferryrock::wire {

inline constexpr std::size_t kMessageKinds = std::variant_size_v<Message>;

std::string_view messageKindName(std::size_t index);

}  // namespace ferryrock::wire
