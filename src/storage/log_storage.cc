#include "storage/log_storage.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "common/error.h"
#include "storage/folder_reader.h"
#include "storage/frame.h"
#include "storage/log_records.h"

namespace ferryrock::storage {
namespace {

class LogStorageImpl : public LogStorage {
 public:
  LogStorageImpl(std::unique_ptr<FileSystem> files, MemberId member, std::uint64_t segment_bytes)
      : files_(std::move(files)), member_(member), max_segment_bytes_(segment_bytes) {}

  consensus::RecoveredState recover() override;
  void persist(const std::vector<consensus::PersistEffect>& writes) override;
  void repair() override;
  std::vector<consensus::PersistEffect> unwritten() const override { return unwritten_; }

 private:
  struct Segment {
    std::uint64_t number = 0;
    LogIndex highest_index;
  };

  void checkMember(const FolderContents& contents) const;
  /// Progress of one call of persist().
  struct PersistProgress {
    std::size_t synced_records = 0;    ///< number of writes whose records are synced
    std::size_t completed_writes = 0;  ///< number of writes whose records and snapshot, if any, are synced
  };

  static std::uint64_t discardTornTail(FolderContents& contents);
  void persistAll(const std::vector<consensus::PersistEffect>& writes, PersistProgress& progress);
  void keepUnwritten(const std::vector<consensus::PersistEffect>& writes, const PersistProgress& progress);
  void addRecords(const consensus::PersistEffect& write, Records& records);
  void flush(Records& records);
  void writeSnapshot(const consensus::Snapshot& snapshot);
  void truncateCurrentSegment();
  void beginSegment();
  void removeObsolete();
  std::string currentName() const { return segmentName(segments_.back().number); }

  std::unique_ptr<FileSystem> files_;
  MemberId member_;
  std::uint64_t max_segment_bytes_;
  bool writable_ = false;           ///< recovered, and no write has failed since recovery or the last repair
  bool recovered_ = false;          ///< recover() has read the folder
  bool needs_new_segment_ = false;  ///< the next write must go to a new segment
  std::vector<consensus::PersistEffect> unwritten_;
  consensus::HardState hard_state_;
  std::optional<SnapshotMark> snapshot_;
  std::vector<Segment> segments_;  ///< oldest first; writes go to the last one
  std::uint64_t segment_bytes_ = 0;
  std::uint64_t last_frame_number_ = 0;
};

consensus::RecoveredState LogStorageImpl::recover() {
  FolderContents contents;
  readFolder(*files_, contents);
  checkMember(contents);
  const std::uint64_t torn_bytes = discardTornTail(contents);
  last_frame_number_ = contents.last_frame_number;
  hard_state_ = contents.hard_state;
  for (const SegmentContents& segment : contents.segments) {
    segments_.push_back({segment.number, segment.highest_index});
    segment_bytes_ = segment.valid_bytes;
  }
  consensus::RecoveredState recovered;
  recovered.hard_state = contents.hard_state;
  recovered.entries.assign(std::make_move_iterator(contents.entries.begin()),
                           std::make_move_iterator(contents.entries.end()));
  if (contents.snapshot) {
    recovered.snapshot = std::move(contents.snapshot->snapshot);
    snapshot_ = SnapshotMark{recovered.snapshot->last_index, recovered.snapshot->last_term};
  }
  const bool snapshot_is_marked = !snapshot_ || contents.marked_snapshot_index == snapshot_->last_index;
  needs_new_segment_ = segments_.empty() || !snapshot_is_marked;
  recovered_ = true;
  try {
    if (torn_bytes > 0) {
      truncateCurrentSegment();
    }
    if (needs_new_segment_) {
      beginSegment();
    }
    removeObsolete();
    writable_ = true;
  } catch (const Error& fault) {
    // The recovered state is valid although the disk is full. writable_ stays false, so persist() reports the
    // error.
    if (fault.code() != ResultCode::DiskFull) {
      throw;
    }
  }
  return recovered;
}

void LogStorageImpl::checkMember(const FolderContents& contents) const {
  if (contents.header && contents.header->member != member_) {
    throw Error(ResultCode::WrongDataFolder,
                "the data folder belongs to member " + std::to_string(contents.header->member.value) +
                    ", this process is member " + std::to_string(member_.value),
                contents.segments.front().name);
  }
}

/// Returns the number of bytes in the torn tail. Drops a last segment without a complete header: its header
/// was never synced, so it holds nothing that was acknowledged.
std::uint64_t LogStorageImpl::discardTornTail(FolderContents& contents) {
  if (contents.segments.empty()) {
    return 0;
  }
  const SegmentContents last = contents.segments.back();
  if (last.valid_bytes == 0) {
    contents.segments.pop_back();
  }
  return last.bytes - last.valid_bytes;
}

/// Drops everything after the last frame that is known to be synced, including a segment begun after it.
void LogStorageImpl::truncateCurrentSegment() {
  const std::string next = segmentName(segments_.empty() ? 1 : segments_.back().number + 1);
  if (files_->exists(next)) {
    files_->remove(next);
    files_->syncFolder();
  }
  if (!segments_.empty()) {
    files_->truncate(currentName(), segment_bytes_);
    files_->sync(currentName());
  }
}

void LogStorageImpl::repair() {
  if (!recovered_) {
    throw Error(ResultCode::StorageFailed, "the log is not recovered yet");
  }
  truncateCurrentSegment();
  if (needs_new_segment_) {
    beginSegment();
  }
  removeObsolete();
  writable_ = true;
}

void LogStorageImpl::persist(const std::vector<consensus::PersistEffect>& writes) {
  if (!writable_) {
    unwritten_.insert(unwritten_.end(), writes.begin(), writes.end());
    throw Error(ResultCode::StorageFailed, "the log is not recovered yet, or an earlier write failed");
  }
  writable_ = false;
  unwritten_.clear();
  PersistProgress progress;
  try {
    persistAll(writes, progress);
  } catch (...) {
    keepUnwritten(writes, progress);
    throw;
  }
  writable_ = true;
}

void LogStorageImpl::persistAll(const std::vector<consensus::PersistEffect>& writes,
                                PersistProgress& progress) {
  Records records;
  for (std::size_t i = 0; i < writes.size(); ++i) {
    addRecords(writes[i], records);
    if (writes[i].snapshot) {
      flush(records);
      progress.synced_records = i + 1;
      writeSnapshot(*writes[i].snapshot);
      progress.completed_writes = i + 1;
      needs_new_segment_ = true;
      beginSegment();
      removeObsolete();
    }
  }
  flush(records);
  progress = {writes.size(), writes.size()};
  if (segment_bytes_ >= max_segment_bytes_) {
    needs_new_segment_ = true;
    beginSegment();
  }
}

void LogStorageImpl::keepUnwritten(const std::vector<consensus::PersistEffect>& writes,
                                   const PersistProgress& progress) {
  for (std::size_t i = progress.completed_writes; i < writes.size(); ++i) {
    consensus::PersistEffect rest;
    rest.sequence = writes[i].sequence;
    if (i < progress.synced_records) {
      rest.snapshot = writes[i].snapshot;
    } else {
      rest = writes[i];
    }
    unwritten_.push_back(std::move(rest));
  }
}

void LogStorageImpl::addRecords(const consensus::PersistEffect& write, Records& records) {
  if (write.hard_state) {
    hard_state_ = *write.hard_state;
    records.emplace_back(hard_state_);
  }
  if (write.truncate_from) {
    records.emplace_back(TruncateRecord{*write.truncate_from});
  }
  for (const wire::LogEntry& entry : write.entries) {
    records.emplace_back(entry);
    segments_.back().highest_index = std::max(segments_.back().highest_index, entry.index);
  }
}

void LogStorageImpl::flush(Records& records) {
  if (records.empty()) {
    return;
  }
  const std::string frame = encodeFrame(last_frame_number_ + 1, encodeRecords(records));
  const std::string name = currentName();
  files_->append(name, frame);
  files_->sync(name);
  ++last_frame_number_;
  segment_bytes_ += frame.size();
  records.clear();
}

void LogStorageImpl::writeSnapshot(const consensus::Snapshot& snapshot) {
  const std::string name = snapshotName(snapshot.last_index);
  const std::string temporary = temporaryName(name);
  if (files_->exists(temporary)) {
    files_->remove(temporary);
  }
  files_->append(temporary, encodeFrame(snapshot.last_index.value, encodeSnapshot(snapshot)));
  files_->sync(temporary);
  files_->rename(temporary, name);
  files_->syncFolder();
  snapshot_ = SnapshotMark{snapshot.last_index, snapshot.last_term};
}

void LogStorageImpl::beginSegment() {
  const std::uint64_t number = segments_.empty() ? 1 : segments_.back().number + 1;
  Records records{SegmentHeader{kStorageFormat, member_, number}, hard_state_};
  if (snapshot_) {
    records.emplace_back(*snapshot_);
  }
  const std::uint64_t previous_bytes = std::exchange(segment_bytes_, 0);
  const std::uint64_t previous_frame_number = last_frame_number_;
  segments_.push_back({number, LogIndex{}});
  try {
    flush(records);
    files_->syncFolder();
  } catch (...) {
    segments_.pop_back();
    segment_bytes_ = previous_bytes;
    last_frame_number_ = previous_frame_number;
    throw;
  }
  needs_new_segment_ = false;
}

void LogStorageImpl::removeObsolete() {
  const LogIndex covered = snapshot_ ? snapshot_->last_index : LogIndex{};
  while (segments_.size() > 1 && segments_.front().highest_index <= covered) {
    files_->remove(segmentName(segments_.front().number));
    files_->syncFolder();  // a later removal must not become durable before this one
    segments_.erase(segments_.begin());
  }
  const std::string kept = snapshot_ ? snapshotName(snapshot_->last_index) : std::string();
  for (const std::string& name : files_->list()) {
    if (isTemporaryName(name) || (isSnapshotName(name) && name != kept)) {
      files_->remove(name);
    }
  }
}

}  // namespace

std::unique_ptr<LogStorage> createLogStorage(std::unique_ptr<FileSystem> files, MemberId member,
                                             std::uint64_t segment_bytes) {
  return std::make_unique<LogStorageImpl>(std::move(files), member, segment_bytes);
}

}  // namespace ferryrock::storage
