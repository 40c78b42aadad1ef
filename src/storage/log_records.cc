#include "storage/log_records.h"

#include <array>
#include <cinttypes>
#include <cstdio>

#include "wire/codec.h"

namespace ferryrock::storage {
namespace {

constexpr std::string_view kSegmentPrefix = "segment-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";

std::string numberedName(std::string_view prefix, std::uint64_t number) {
  std::array<char, 24> digits{};
  std::snprintf(digits.data(), digits.size(), "%020" PRIu64, number);
  return std::string(prefix) + digits.data();
}

}  // namespace

std::string encodeRecords(const Records& records) {
  return wire::encode(records);
}
Records decodeRecords(std::string_view bytes) {
  return wire::decode<Records>(bytes);
}
std::string encodeSnapshot(const consensus::Snapshot& snapshot) {
  return wire::encode(snapshot);
}
consensus::Snapshot decodeSnapshot(std::string_view bytes) {
  return wire::decode<consensus::Snapshot>(bytes);
}

std::string segmentName(std::uint64_t number) {
  return numberedName(kSegmentPrefix, number);
}
std::string snapshotName(LogIndex last_index) {
  return numberedName(kSnapshotPrefix, last_index.value);
}

bool isSegmentName(std::string_view name) {
  return name.starts_with(kSegmentPrefix) && !isTemporaryName(name);
}
bool isSnapshotName(std::string_view name) {
  return name.starts_with(kSnapshotPrefix) && !isTemporaryName(name);
}
bool isTemporaryName(std::string_view name) {
  return name.ends_with(kTemporarySuffix);
}
std::string temporaryName(const std::string& name) {
  return name + std::string(kTemporarySuffix);
}

}  // namespace ferryrock::storage
