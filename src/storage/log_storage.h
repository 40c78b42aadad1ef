#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "consensus/quorum_log.h"

namespace ferryrock::storage {

/// The operations on files that storage needs; the simulator supplies a disk that loses what wasn't synced.
/// Paths are relative to the data folder. Every member throws Error DiskFull, SyncFailed or StorageFailed.
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
  /// Makes creations, renames and removals last.
  virtual void syncFolder() = 0;
};

/// Files under one data folder, locked against a second process. Throws DataFolderLocked.
std::unique_ptr<FileSystem> createPosixFileSystem(const std::string& data_folder);

/// Log segments, hard state and snapshots of one member, with checksums. Used by one thread (the writer).
/// A torn tail is cut at recovery; a damaged record that others follow is refused with CorruptRecord.
class LogStorage {
 public:
  virtual ~LogStorage() = default;
  /// Throws CorruptRecord or WrongDataFolder (another member's folder). A disk that is full or refuses writes
  /// doesn't stop it: persist() throws until mend() has returned.
  virtual consensus::RecoveredState recover() = 0;
  /// Writes all effects and syncs once (group commit); a snapshot among them takes syncs of its own.
  /// After an error nothing more is written: each further call throws StorageFailed until mend() has
  /// returned. recover() comes first.
  virtual void persist(const std::vector<consensus::PersistEffect>& writes) = 0;
  /// After an error of persist(): cuts the folder back to what is known to be on disk, since a write or a
  /// sync that failed says nothing of what it left there. Throws what the disk refuses; it may be called
  /// again.
  virtual void mend() = 0;
  /// What of the writes since the last persist() that returned isn't known to be on disk, in order.
  virtual std::vector<consensus::PersistEffect> unwritten() const = 0;
};

/// A new segment is begun once the current one has this size.
inline constexpr std::uint64_t kDefaultSegmentBytes = 16 << 20;

std::unique_ptr<LogStorage> createLogStorage(std::unique_ptr<FileSystem> files, MemberId member,
                                             std::uint64_t segment_bytes = kDefaultSegmentBytes);

}  // namespace ferryrock::storage
