#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "common/time.h"
#include "consensus/quorum_log.h"

namespace ferryrock::consensus {

/// The leader's view of the log of one other member.
struct Progress {
  enum class State : std::uint8_t {
    Probe,      ///< the end of the common prefix is unknown; one batch is in flight at a time
    Replicate,  ///< batches are pipelined without waiting for responses
    Snapshot,   ///< a snapshot is being sent, one chunk at a time
  };

  State state = State::Probe;
  LogIndex match;  ///< highest index known to match the leader's log and to be synced
  LogIndex next;   ///< index of the next entry to send
  DiskId disk;     ///< disk identity in the last response; 0: no response yet
  std::optional<TimePoint> awaiting_response_since;  ///< Probe, Snapshot: send time of the unanswered message
  std::deque<LogIndex> inflight;                     ///< Replicate: last index of each unacknowledged batch
  std::uint64_t acknowledged_round = 0;              ///< highest heartbeat round that the member acknowledged
  std::optional<TimePoint> last_contact;             ///< send time of the latest acknowledged round
  std::shared_ptr<const Snapshot> snapshot;          ///< Snapshot: the snapshot being sent
  std::uint64_t snapshot_offset = 0;

  /// Enters Probe, with `from` as the next entry to send, but never an entry up to match.
  void probe(LogIndex from);
  /// Records that the member has synced all entries up to index.
  void acknowledge(LogIndex index);
  void beginSnapshot(std::shared_ptr<const Snapshot> to_send);
  /// Resets the progress of a learner whose disk was replaced; last_index is the end of the leader's log.
  void resetForNewDisk(DiskId new_disk, LogIndex last_index);
};

}  // namespace ferryrock::consensus
