#include "common/quantity.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <string>

#include "common/error.h"

namespace ferryrock {
namespace {

struct Unit {
  std::string_view suffix;
  double scale;  ///< nanoseconds or bytes per unit
};

constexpr std::array kDurationUnits = {Unit{"ns", 1},   Unit{"us", 1e3},   Unit{"ms", 1e6},   Unit{"s", 1e9},
                                       Unit{"m", 60e9}, Unit{"h", 3600e9}, Unit{"d", 86400e9}};
constexpr std::array kByteUnits = {
    Unit{"B", 1},           Unit{"KB", 1e3},           Unit{"MB", 1e6},
    Unit{"GB", 1e9},        Unit{"TB", 1e12},          Unit{"KiB", 1024.0},
    Unit{"MiB", 1048576.0}, Unit{"GiB", 1073741824.0}, Unit{"TiB", 1099511627776.0}};

template <std::size_t Size>
double parseQuantity(std::string_view text, const std::array<Unit, Size>& units, std::string_view example) {
  double amount = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), amount);
  if (fault != std::errc{} || !std::isfinite(amount) || amount < 0) {
    throw Error(
        ResultCode::WrongSettingType,
        "'" + std::string(text) + "' isn't a positive number with a unit such as " + std::string(example));
  }
  const std::string_view suffix(end, static_cast<std::size_t>(text.data() + text.size() - end));
  if (suffix.empty()) {
    throw Error(ResultCode::MissingUnit,
                "'" + std::string(text) + "' has no unit; write for example " + std::string(example));
  }
  for (const Unit& unit : units) {
    if (unit.suffix == suffix) {
      const double value = std::round(amount * unit.scale);
      if (value >= static_cast<double>(std::numeric_limits<std::int64_t>::max())) {
        throw Error(ResultCode::SettingOutOfRange, "'" + std::string(text) + "' is too large");
      }
      return value;
    }
  }
  throw Error(ResultCode::WrongSettingType,
              "'" + std::string(suffix) + "' isn't a unit; write for example " + std::string(example));
}

template <std::size_t Size>
std::string formatQuantity(std::uint64_t value, const std::array<Unit, Size>& units) {
  const Unit* best = &units[0];
  for (const Unit& unit : units) {
    const auto scale = static_cast<std::uint64_t>(unit.scale);
    if (value != 0 && value % scale == 0 && unit.scale > best->scale) {
      best = &unit;
    }
  }
  return std::to_string(value / static_cast<std::uint64_t>(best->scale)) + std::string(best->suffix);
}

}  // namespace

Duration parseDuration(std::string_view text) {
  return Duration(static_cast<std::int64_t>(parseQuantity(text, kDurationUnits, "250ms")));
}

std::uint64_t parseBytes(std::string_view text) {
  return static_cast<std::uint64_t>(parseQuantity(text, kByteUnits, "64MB"));
}

std::string formatDuration(Duration duration) {
  return formatQuantity(static_cast<std::uint64_t>(duration.count()), kDurationUnits);
}

std::string formatBytes(std::uint64_t bytes) {
  return formatQuantity(bytes, kByteUnits);
}

}  // namespace ferryrock
