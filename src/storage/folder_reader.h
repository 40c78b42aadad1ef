#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "storage/log_records.h"
#include "storage/log_storage.h"

/// Read-only scan of a data folder; used by recovery and by the inspect command.
namespace ferryrock::storage {

struct SegmentContents {
  std::string name;
  std::uint64_t number = 0;
  std::uint64_t bytes = 0;
  std::uint64_t valid_bytes = 0;  ///< size of the valid prefix; less than bytes: the segment has a torn tail
  std::uint64_t frames = 0;
  std::uint64_t entries = 0;
  LogIndex highest_index;  ///< highest index of all entries in the segment; 0: no entries
};

struct SnapshotContents {
  std::string name;
  std::uint64_t bytes = 0;
  consensus::Snapshot snapshot;
};

/// Contents of a data folder. Holds what was read up to the failure if readFolder() throws.
struct FolderContents {
  std::optional<SegmentHeader> header;
  std::vector<SegmentContents> segments;
  std::optional<SnapshotContents> snapshot;  ///< the most recent one
  consensus::HardState hard_state;
  std::deque<wire::LogEntry> entries;   ///< once readFolder() has returned: the entries after the snapshot
  std::uint64_t last_frame_number = 0;  ///< number of the last valid frame; 0: none
  LogIndex marked_snapshot_index;       ///< last index of the latest SnapshotMark in the segments; 0: none
};

/// Reads the whole folder. Throws CorruptRecord if any part other than a torn tail is damaged or missing, and
/// WrongDataFolder for an unsupported format. A torn tail is reported as valid_bytes < bytes of the last
/// segment.
void readFolder(FileSystem& files, FolderContents& contents);

}  // namespace ferryrock::storage
