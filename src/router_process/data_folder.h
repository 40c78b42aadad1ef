#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "common/time.h"
#include "storage/log_storage.h"

namespace ferryrock::router_process {

/// What a router keeps over its restarts: the number of its starts and its last routing table. Files are
/// replaced whole and carry a checksum. Used by one thread at a time.
class DataFolder {
 public:
  explicit DataFolder(std::unique_ptr<storage::FileSystem> files) : files_(std::move(files)) {}

  /// A number above that of every earlier start, synced before it is returned: the wall time, unless the
  /// clock went back. Throws Error DiskFull, SyncFailed or StorageFailed.
  std::uint64_t beginIncarnation(WallMilliseconds wall_time);

  /// The bytes of the last saved table; nullopt if there are none or they are damaged.
  std::optional<std::string> readTable();
  /// Synced when it returns. Throws as beginIncarnation().
  void saveTable(const std::string& bytes);
  /// A router that finds no table asks a leader for one. Throws as beginIncarnation().
  void removeTable();

 private:
  std::optional<std::string> readFile(const std::string& name);
  void replaceFile(const std::string& name, const std::string& content);

  std::unique_ptr<storage::FileSystem> files_;
};

}  // namespace ferryrock::router_process
