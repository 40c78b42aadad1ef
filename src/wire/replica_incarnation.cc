#include "wire/replica_incarnation.h"

#include <array>
#include <charconv>

namespace ferryrock::wire {
namespace {

/// Separates the name from the start time. The last one in an id counts, since a name may contain it too.
constexpr char kSeparator = '@';
/// Base of the start time's text: 8 characters instead of 13 in base 10, in tables of thousands of replicas.
constexpr int kBase = 36;
constexpr std::size_t kMaxDigits = 13;

}  // namespace

ReplicaId replicaIncarnationId(std::string_view name, std::uint64_t start_ms) {
  const bool plain = start_ms == 0 && name.find(kSeparator) == std::string_view::npos;
  if (plain) {
    return ReplicaId(std::string(name));
  }
  std::array<char, kMaxDigits> digits{};
  const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), start_ms, kBase);
  std::string id(name);
  id += kSeparator;
  id.append(digits.data(), written.ptr);
  return ReplicaId(std::move(id));
}

std::string replicaName(const ReplicaId& id) {
  return id.value.substr(0, id.value.rfind(kSeparator));
}

std::uint64_t replicaStartMs(const ReplicaId& id) {
  const std::size_t separator = id.value.rfind(kSeparator);
  std::uint64_t start_ms = 0;
  if (separator != std::string::npos) {
    const char* begin = id.value.data() + separator + 1;
    std::from_chars(begin, id.value.data() + id.value.size(), start_ms, kBase);
  }
  return start_ms;
}

}  // namespace ferryrock::wire
