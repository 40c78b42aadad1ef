#include "consensus/snapshot_receiver.h"

#include <utility>

namespace ferryrock::consensus {

std::optional<Snapshot> SnapshotReceiver::add(const wire::SnapshotChunk& chunk) {
  if (!isCurrent(chunk)) {
    begin(chunk);
  }
  if (chunk.offset != bytes_.size() || chunk.bytes.size() > total_ - bytes_.size()) {
    return std::nullopt;
  }
  bytes_ += chunk.bytes;
  if (bytes_.size() < total_) {
    return std::nullopt;
  }
  Snapshot snapshot{chunk.last_index, chunk.last_term, chunk.membership, std::move(bytes_)};
  clear();
  return snapshot;
}

void SnapshotReceiver::clear() {
  leader_.reset();
  bytes_.clear();
  total_ = 0;
}

bool SnapshotReceiver::isCurrent(const wire::SnapshotChunk& chunk) const {
  return leader_ == chunk.leader && term_ == chunk.term && last_index_ == chunk.last_index &&
         total_ == chunk.total;
}

void SnapshotReceiver::begin(const wire::SnapshotChunk& chunk) {
  leader_ = chunk.leader;
  term_ = chunk.term;
  last_index_ = chunk.last_index;
  total_ = chunk.total;
  bytes_.clear();
}

}  // namespace ferryrock::consensus
