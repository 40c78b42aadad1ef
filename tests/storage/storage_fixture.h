#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/error.h"
#include "consensus/quorum_log.h"
#include "storage/log_storage.h"
#include "storage/memory_file_system.h"

namespace ferryrock::storage {

inline constexpr MemberId kMember{7};
inline constexpr std::uint64_t kSmallSegment = 600;

/// Builds the writes of one member, with sequence numbers as QuorumLog assigns them.
class WriteBuilder {
 public:
  consensus::PersistEffect hardState(std::uint64_t term, std::uint64_t voted_for = 0);
  /// Appends entries first..last, all of one term.
  consensus::PersistEffect entries(std::uint64_t first, std::uint64_t last, std::uint64_t term = 1);
  /// Truncates the log from `first` on, then appends entries first..last.
  consensus::PersistEffect replacement(std::uint64_t first, std::uint64_t last, std::uint64_t term);
  consensus::PersistEffect snapshot(std::uint64_t last_index, std::uint64_t last_term = 1,
                                    std::size_t state_bytes = 100);

 private:
  consensus::PersistEffect begin();
  std::uint64_t sequence_ = 0;
};

wire::LogEntry entryOf(std::uint64_t index, std::uint64_t term);

/// Compact text of a recovered state, index/term per entry: "term 2 vote 3 snapshot 5 6/2 7/2".
std::string describe(const consensus::RecoveredState& recovered);

/// Opens a storage on the file system and returns the recovered state.
consensus::RecoveredState recoverFrom(std::unique_ptr<FileSystem> files);

/// Code of the Error that the action throws; Ok if it throws none.
ResultCode faultOf(const std::function<void()>& action);

}  // namespace ferryrock::storage
