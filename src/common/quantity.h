#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/time.h"

namespace ferryrock {

/// Parses "250ms", "1.5s", "10m", "2h", "7d". Throws Error MissingUnit for a number without a unit,
/// SettingOutOfRange for a value that is too large, WrongSettingType for other malformed text.
Duration parseDuration(std::string_view text);
/// Parses "512B", "17KB", "128MB", "40GB", "16KiB", "16MiB", "80GiB" (KB = 1000, KiB = 1024).
std::uint64_t parseBytes(std::string_view text);
/// Returns the shortest text that parses to the same value.
std::string formatDuration(Duration duration);
std::string formatBytes(std::uint64_t bytes);

}  // namespace ferryrock
