#pragma once

#include <cstdint>
#include <optional>

#include "consensus/quorum_log.h"

namespace ferryrock::consensus {

/// Assembles a snapshot that arrives in chunks.
class SnapshotReceiver {
 public:
  /// Appends the chunk if it starts at nextOffset() and ignores it otherwise; a chunk of another snapshot,
  /// leader or term discards the chunks so far. Returns the complete snapshot once the last chunk is added.
  std::optional<Snapshot> add(const wire::SnapshotChunk& chunk);
  /// Offset of the next expected chunk.
  std::uint64_t nextOffset() const { return bytes_.size(); }
  void clear();

 private:
  bool isCurrent(const wire::SnapshotChunk& chunk) const;
  void begin(const wire::SnapshotChunk& chunk);

  std::optional<MemberId> leader_;
  Term term_;
  LogIndex last_index_;
  std::uint64_t total_ = 0;
  std::string bytes_;
};

}  // namespace ferryrock::consensus
