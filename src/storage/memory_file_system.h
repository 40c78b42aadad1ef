#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "common/random.h"
#include "storage/log_storage.h"

/// In-memory disk for tests and the simulator, with injected faults: loss of unsynced data, torn writes, a
/// full disk and failing syncs.
namespace ferryrock::storage {

/// Thrown by the file system of a MemoryDisk from the operation selected by crashAfter() on.
class DiskCrashed : public std::runtime_error {
 public:
  DiskCrashed() : std::runtime_error("the simulated machine stopped during a file operation") {}
};

/// Must outlive the file systems opened on it, as a disk outlives processes. Not thread-safe.
class MemoryDisk {
 public:
  /// The seed determines which unsynced data survives a crash.
  explicit MemoryDisk(std::uint64_t seed);
  ~MemoryDisk();
  MemoryDisk(const MemoryDisk&) = delete;
  MemoryDisk& operator=(const MemoryDisk&) = delete;

  /// Throws DataFolderLocked while another file system is open on this disk.
  std::unique_ptr<FileSystem> open();

  /// Simulates a power loss. Of the unsynced creations, renames and removals, a random prefix survives; of
  /// unsynced appended bytes, a random prefix whose end may be zeroed. A file truncated since its last sync
  /// keeps either its new or its last synced contents. To be called after the open file system is destroyed.
  void crash();
  /// Loses all data, as when the disk is replaced by a new one.
  void wipe();
  /// Lets `operations` more modifying operations succeed (0: none); all later ones throw DiskCrashed until
  /// crash() is called.
  void crashAfter(std::uint64_t operations);
  /// An append that would take the total size of all files above the limit writes half of its bytes and
  /// throws DiskFull; nullopt: no limit.
  void setCapacity(std::optional<std::uint64_t> bytes);
  void setSyncsFail(bool fail);
  /// Flips one bit of the byte at offset `byte`, durably.
  void damage(const std::string& path, std::uint64_t byte);

  std::uint64_t syncs() const { return syncs_; }
  std::uint64_t tornWrites() const { return torn_writes_; }
  std::uint64_t bytes() const;

 private:
  friend class MemoryFileSystem;
  struct File;
  using Names = std::map<std::string, std::shared_ptr<File>>;
  /// An unsynced change of a name in the folder; a null target removes the name.
  struct NameChange {
    std::string name;
    std::shared_ptr<File> target;
  };
  using NameOperation = std::vector<NameChange>;

  void countOperation();
  void changeNames(NameOperation operation);
  static void apply(const NameOperation& operation, Names& names);
  void loseUnsynced(File& file);

  Random random_;
  Names names_;
  Names durable_names_;
  std::vector<NameOperation> unsynced_name_changes_;
  std::optional<std::uint64_t> operations_left_;
  std::optional<std::uint64_t> capacity_;
  bool syncs_fail_ = false;
  bool open_ = false;
  std::uint64_t syncs_ = 0;
  std::uint64_t torn_writes_ = 0;
};

}  // namespace ferryrock::storage
