#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/quorum_log.h"
#include "wire/fields.h"

/// Records stored in the frames of a segment.
namespace ferryrock::storage {

/// Must be increased with each change that older versions of the program cannot read.
inline constexpr std::uint32_t kStorageFormat = 1;

/// First record of each segment.
struct SegmentHeader {
  std::uint32_t format = kStorageFormat;
  MemberId member;
  std::uint64_t segment = 0;
  FERRYROCK_FIELDS(SegmentHeader, format, member, segment)
};

/// All entries from this index on are dropped from the log.
struct TruncateRecord {
  LogIndex from;
  FERRYROCK_FIELDS(TruncateRecord, from)
};

/// A snapshot up to last_index is synced and replaces the entries up to last_index.
struct SnapshotMark {
  LogIndex last_index;
  Term last_term;
  FERRYROCK_FIELDS(SnapshotMark, last_index, last_term)
};

/// New alternatives must be appended at the end: the variant index is the type number on disk.
using Record =
    std::variant<SegmentHeader, consensus::HardState, wire::LogEntry, TruncateRecord, SnapshotMark>;
using Records = std::vector<Record>;

std::string encodeRecords(const Records& records);
/// Throws MalformedMessage.
Records decodeRecords(std::string_view bytes);
std::string encodeSnapshot(const consensus::Snapshot& snapshot);
/// Throws MalformedMessage.
consensus::Snapshot decodeSnapshot(std::string_view bytes);

/// "segment-" and the number, zero-padded to 20 digits so that names sort by number.
std::string segmentName(std::uint64_t number);
/// "snapshot-" and the last index, zero-padded in the same way.
std::string snapshotName(LogIndex last_index);
bool isSegmentName(std::string_view name);
bool isSnapshotName(std::string_view name);
/// True for a snapshot that was not written completely.
bool isTemporaryName(std::string_view name);
std::string temporaryName(const std::string& name);

}  // namespace ferryrock::storage
