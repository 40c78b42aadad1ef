#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "common/time.h"
#include "consensus/progress.h"

namespace ferryrock::consensus {

/// A round of heartbeats. A member that echoes the round's number was still following this leader after the
/// round was sent.
struct HeartbeatRound {
  std::uint64_t number = 0;
  TimePoint sent_at;
};

/// A linearizable read that waits until leadership is confirmed and its read index is committed.
struct PendingRead {
  std::uint64_t read_id = 0;
  std::uint64_t round = 0;  ///< a quorum must have acknowledged this round
  LogIndex index;           ///< read index; must be committed before the read is confirmed
};

/// A leadership transfer in progress.
struct LeadershipTransfer {
  MemberId target;
  TimePoint deadline;         ///< the transfer is abandoned then, and proposals are accepted again
  bool timeout_sent = false;  ///< TimeoutNow was sent to the target
};

/// Leader-only volatile state.
struct Leadership {
  TimePoint elected_at;
  LogIndex term_start_index;  ///< first entry of this term, appended on election
  TimePoint heartbeat_due;
  std::map<MemberId, Progress> peers;
  std::uint64_t round = 0;
  std::deque<HeartbeatRound> rounds;  ///< the most recent rounds, oldest first
  std::deque<PendingRead> reads;      ///< ordered by round
  std::optional<LeadershipTransfer> transfer;
  /// TimeoutNow was sent in this term: the target's election ignores leases. Stays set until the leadership
  /// ends.
  bool lease_forfeited = false;

  /// Send time of the round; nullopt if the round is no longer retained or was never sent.
  std::optional<TimePoint> roundSentAt(std::uint64_t number) const;
  void beginRound(TimePoint now);
};

}  // namespace ferryrock::consensus
