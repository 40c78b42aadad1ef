#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "storage/log_storage.h"

namespace ferryrock::storage {

/// Journal of records that matter for a limited time only. The owner calls rotate() once per that time:
/// records of the current and the previous period are kept, older ones are removed. A damaged record is lost
/// together with the later ones of its file. Not thread-safe.
class RecordJournal {
 public:
  explicit RecordJournal(std::unique_ptr<FileSystem> files) : files_(std::move(files)) {}

  /// Returns the records of earlier runs that are still kept, oldest first. Must be called first. Throws
  /// Error as FileSystem::list() and read() do.
  std::vector<std::string> recover();
  /// Appends the record, which is durable on return. Throws Error as the file system does: the record isn't
  /// kept then, and the next call first repairs the file.
  void append(std::string_view record);
  /// Begins a new period and removes the records before the previous one. Throws Error as the file system
  /// does: files that couldn't be removed are removed after the next start.
  void rotate();

 private:
  void repair(const std::string& file);

  std::unique_ptr<FileSystem> files_;
  std::vector<std::uint64_t> previous_files_;  ///< files that the next rotate() removes
  std::uint64_t current_file_ = 0;             ///< 0: no record was appended in this period
  std::uint64_t valid_bytes_ = 0;              ///< length of the durable part of the current file
  bool damaged_ = false;                       ///< the current file may have bytes beyond valid_bytes_
  std::uint64_t last_file_ = 0;
  std::uint64_t last_record_ = 0;
};

}  // namespace ferryrock::storage
