#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "wire/messages.h"

namespace ferryrock::consensus {

/// Writes that are not synced yet, and the messages that must not be sent before those writes are synced.
class PendingWrites {
 public:
  /// durable_index is the last index of the recovered log.
  explicit PendingWrites(LogIndex durable_index) : durable_index_(durable_index) {}

  /// Sequence number of the next write.
  std::uint64_t nextSequence() const { return issued_ + 1; }
  std::uint64_t lastIssued() const { return issued_; }
  bool synced(std::uint64_t sequence) const { return sequence <= synced_; }

  /// Registers write nextSequence(); last_index is the last log index once that write is synced.
  void add(LogIndex last_index);
  /// Records a truncation of the log: entries after `last_index` no longer count as durable, even if an
  /// earlier write that contains them was or will be synced.
  void truncate(LogIndex last_index);
  /// Queues a message until write `sequence` is synced; sequences must not decrease.
  void hold(std::uint64_t sequence, wire::SendEffect message);
  /// Marks the writes up to `sequence` as synced; returns the messages that may be sent now.
  std::vector<wire::SendEffect> onSynced(std::uint64_t sequence);

  /// Last index of the synced part of the log.
  LogIndex durableIndex() const { return durable_index_; }

 private:
  friend class QuorumLogInspector;  ///< test access: fingerprints of member states

  struct Write {
    std::uint64_t sequence;
    LogIndex last_index;
  };
  struct HeldMessage {
    std::uint64_t sequence;
    wire::SendEffect message;
  };
  std::uint64_t issued_ = 0;
  std::uint64_t synced_ = 0;
  LogIndex durable_index_;
  std::deque<Write> writes_;
  std::deque<HeldMessage> held_;  ///< ordered by sequence
};

}  // namespace ferryrock::consensus
