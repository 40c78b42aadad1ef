#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "consensus/quorum_log.h"

namespace ferryrock::storage {

/// File operations used by the storage. The simulator provides an implementation that loses unsynced data.
/// Paths are relative to the data folder. Every function may throw Error with DiskFull, SyncFailed or
/// StorageFailed.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual std::vector<std::string> list() = 0;
  virtual bool exists(const std::string& path) = 0;
  virtual std::string read(const std::string& path) = 0;
  virtual void append(const std::string& path, std::string_view bytes) = 0;
  virtual void truncate(const std::string& path, std::uint64_t size) = 0;
  virtual void sync(const std::string& path) = 0;
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void remove(const std::string& path) = 0;
  /// Makes the creations, renames and removals so far durable.
  virtual void syncFolder() = 0;
};

/// Files in one data folder, which is created if missing and locked against other processes. Throws
/// DataFolderLocked if another process holds the lock.
std::unique_ptr<FileSystem> createPosixFileSystem(const std::string& data_folder);

/// Checksummed storage of the log segments, hard state and snapshots of one member. Not thread-safe; used by
/// the writer thread. Recovery truncates a torn tail and rejects a damaged record that is followed by others
/// with CorruptRecord.
class LogStorage {
 public:
  virtual ~LogStorage() = default;
  /// Reads the folder and prepares it for writes. Throws CorruptRecord, WrongDataFolder (the folder of
  /// another member, or an unsupported format), SyncFailed or StorageFailed. A full disk is no error here:
  /// persist() then throws until the folder is repaired.
  virtual consensus::RecoveredState recover() = 0;
  /// Writes all effects with a single sync (group commit); each snapshot among them needs additional syncs.
  /// After an error, every further call throws StorageFailed without writing until the folder is repaired.
  /// recover() must be called first.
  virtual void persist(const std::vector<consensus::PersistEffect>& writes) = 0;
  /// Repairs the folder after an error of persist(): truncates the folder to the state known to be synced,
  /// because it is unknown what a failed write or sync has left on disk. Throws if the disk still rejects
  /// writes or syncs; the call can be repeated.
  virtual void repair() = 0;
  /// Writes, or parts of them, passed to persist() since its last success that are not known to be on disk,
  /// in order. After a repair, the caller passes them to persist() again.
  virtual std::vector<consensus::PersistEffect> unwritten() const = 0;
};

/// A new segment is started once the current one reaches this size.
inline constexpr std::uint64_t kDefaultSegmentBytes = 16 << 20;

std::unique_ptr<LogStorage> createLogStorage(std::unique_ptr<FileSystem> files, MemberId member,
                                             std::uint64_t segment_bytes = kDefaultSegmentBytes);

}  // namespace ferryrock::storage
