#include "storage/folder_reader.h"

#include <algorithm>
#include <utility>

#include "common/error.h"
#include "storage/frame.h"

namespace ferryrock::storage {
namespace {

[[noreturn]] void corrupt(const std::string& detail, const std::string& place) {
  throw Error(ResultCode::CorruptRecord, detail, place);
}

std::string atByte(const std::string& name, std::uint64_t offset) {
  return name + " byte " + std::to_string(offset);
}

/// Decodes a payload whose checksum is valid. Throws CorruptRecord if it cannot be decoded nevertheless.
template <class Decode>
auto decodeVerified(const Decode& decode, std::string_view payload, const std::string& place) {
  try {
    return decode(payload);
  } catch (const Error& fault) {
    corrupt("the record has a valid checksum but cannot be decoded: " + fault.detail(), place);
  }
}

/// Rebuilds the hard state and the log from the records of all segments, applied in order.
class Replay {
 public:
  explicit Replay(FolderContents& contents) : contents_(contents) {}

  void apply(const Record& record, SegmentContents& segment, const std::string& place) {
    if (const auto* header = std::get_if<SegmentHeader>(&record)) {
      applyHeader(*header, segment, place);
    } else if (const auto* hard_state = std::get_if<consensus::HardState>(&record)) {
      contents_.hard_state = *hard_state;
    } else if (const auto* entry = std::get_if<wire::LogEntry>(&record)) {
      applyEntry(*entry, segment, place);
    } else if (const auto* truncate = std::get_if<TruncateRecord>(&record)) {
      truncateFrom(truncate->from);
    } else if (const auto* mark = std::get_if<SnapshotMark>(&record)) {
      replaceThrough(mark->last_index, mark->last_term);
      contents_.marked_snapshot_index = mark->last_index;
    }
  }

  /// Drops the entries that the snapshot replaces: those up to last_index, or all of them if the log has no
  /// entry of last_term at last_index.
  void replaceThrough(LogIndex last_index, Term last_term) {
    auto& entries = contents_.entries;
    if (entries.empty() || entries.front().index > last_index) {
      return;
    }
    const std::uint64_t position = last_index.value - entries.front().index.value;
    if (position >= entries.size() || entries[position].term != last_term) {
      entries.clear();
      return;
    }
    entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(position) + 1);
  }

 private:
  void applyHeader(const SegmentHeader& header, const SegmentContents& segment, const std::string& place) {
    if (header.format != kStorageFormat) {
      throw Error(ResultCode::WrongDataFolder,
                  "unsupported storage format of the data folder: " + std::to_string(header.format), place);
    }
    if (header.segment != segment.number || (contents_.header && contents_.header->member != header.member)) {
      corrupt("the header of the segment names another segment or member", place);
    }
    contents_.header = header;
  }

  void applyEntry(const wire::LogEntry& entry, SegmentContents& segment, const std::string& place) {
    auto& entries = contents_.entries;
    if (!entries.empty() && entry.index != entries.back().index.next()) {
      corrupt("entry " + std::to_string(entry.index.value) + " follows entry " +
                  std::to_string(entries.back().index.value),
              place);
    }
    entries.push_back(entry);
    ++segment.entries;
    segment.highest_index = std::max(segment.highest_index, entry.index);
  }

  void truncateFrom(LogIndex from) {
    while (!contents_.entries.empty() && contents_.entries.back().index >= from) {
      contents_.entries.pop_back();
    }
  }

  FolderContents& contents_;
};

/// Reads the newest snapshot that has its final name. A snapshot is synced before it is renamed to that name,
/// so damage in it is not a torn write.
std::optional<SnapshotContents> readSnapshot(FileSystem& files, const std::vector<std::string>& names) {
  const auto newest =
      std::find_if(names.rbegin(), names.rend(), [](const auto& name) { return isSnapshotName(name); });
  if (newest == names.rend()) {
    return std::nullopt;
  }
  const std::string bytes = files.read(*newest);
  const FrameScan scan = scanFrames(bytes);
  if (scan.frames.size() != 1 || scan.valid_bytes != bytes.size()) {
    corrupt("the snapshot is truncated or its checksum does not match", *newest);
  }
  SnapshotContents contents{*newest, bytes.size(),
                            decodeVerified(decodeSnapshot, scan.frames.front().payload, *newest)};
  if (snapshotName(contents.snapshot.last_index) != *newest) {
    corrupt("the snapshot has another index than its file name", *newest);
  }
  return contents;
}

std::uint64_t segmentNumber(const std::string& name) {
  const std::string digits = name.substr(segmentName(0).size() - 20);
  const bool is_number = digits.size() == 20 && digits.find_first_not_of("0123456789") == std::string::npos;
  if (!is_number) {
    corrupt("the name of the file is not a valid segment name", name);
  }
  return std::stoull(digits);
}

void checkTail(const FrameScan& scan, const SegmentContents& segment, bool is_last) {
  if (scan.valid_bytes == segment.bytes) {
    return;
  }
  if (scan.later_frame) {
    corrupt("a damaged record is followed by a valid one at byte " + std::to_string(*scan.later_frame),
            atByte(segment.name, scan.valid_bytes));
  }
  if (!is_last) {
    corrupt("a damaged record is followed by another segment", atByte(segment.name, scan.valid_bytes));
  }
}

void readSegment(FileSystem& files, const std::string& name, bool is_last, Replay& replay,
                 FolderContents& contents) {
  const std::string bytes = files.read(name);
  const FrameScan scan = scanFrames(bytes);
  SegmentContents& segment = contents.segments.emplace_back();
  segment.name = name;
  segment.number = segmentNumber(name);
  segment.bytes = bytes.size();
  segment.valid_bytes = scan.valid_bytes;
  segment.frames = scan.frames.size();
  checkTail(scan, segment, is_last);
  for (const Frame& frame : scan.frames) {
    const std::string place = atByte(name, frame.offset);
    if (contents.last_frame_number != 0 && frame.number != contents.last_frame_number + 1) {
      corrupt("record " + std::to_string(frame.number) + " follows record " +
                  std::to_string(contents.last_frame_number),
              place);
    }
    contents.last_frame_number = frame.number;
    const Records records = decodeVerified(decodeRecords, frame.payload, place);
    const bool opens_segment = frame.offset == 0;
    if (opens_segment && (records.empty() || !std::holds_alternative<SegmentHeader>(records.front()))) {
      corrupt("the segment does not begin with its header", place);
    }
    for (const Record& record : records) {
      replay.apply(record, segment, place);
    }
  }
}

void checkConsistency(const FolderContents& contents) {
  const LogIndex base = contents.snapshot ? contents.snapshot->snapshot.last_index : LogIndex{};
  if (contents.snapshot && !contents.header) {
    corrupt("the folder has a snapshot but no segment", contents.snapshot->name);
  }
  if (!contents.entries.empty() && contents.entries.front().index != base.next()) {
    corrupt("the first entry is " + std::to_string(contents.entries.front().index.value) +
                ", but the snapshot ends at " + std::to_string(base.value),
            contents.segments.front().name);
  }
}

}  // namespace

void readFolder(FileSystem& files, FolderContents& contents) {
  std::vector<std::string> names = files.list();
  std::sort(names.begin(), names.end());
  contents.snapshot = readSnapshot(files, names);
  std::vector<std::string> segments;
  std::copy_if(names.begin(), names.end(), std::back_inserter(segments),
               [](const auto& name) { return isSegmentName(name); });
  Replay replay(contents);
  for (const std::string& name : segments) {
    readSegment(files, name, name == segments.back(), replay, contents);
  }
  if (contents.snapshot) {
    replay.replaceThrough(contents.snapshot->snapshot.last_index, contents.snapshot->snapshot.last_term);
  }
  checkConsistency(contents);
}

}  // namespace ferryrock::storage
