#include <algorithm>

#include "consensus/quorum_log_impl.h"

namespace ferryrock::consensus {

Effects QuorumLogImpl::confirmRead(std::uint64_t read_id, TimePoint now) {
  begin(now);
  if (!leadership_) {
    effects_.emplace_back(ReadReadyEffect{read_id, LogIndex{}, false});
    return finish();
  }
  if (settings_.defects.read_without_quorum) {
    effects_.emplace_back(ReadReadyEffect{read_id, committed_, true});
    return finish();
  }
  // Which entries earlier leaders committed is known only once the first entry of this term is committed.
  const LogIndex index = std::max(committed_, leadership_->term_start_index);
  const bool round_in_flight = !leadership_->reads.empty();
  leadership_->reads.push_back({read_id, leadership_->round + 1, index});
  if (!round_in_flight) {
    broadcastHeartbeat();
  }
  answerReads();
  return finish();
}

void QuorumLogImpl::answerReads() {
  if (!leadership_ || leadership_->reads.empty()) {
    return;
  }
  const std::uint64_t round = quorumRound();
  auto& reads = leadership_->reads;
  while (!reads.empty() && reads.front().round <= round && reads.front().index <= committed_) {
    effects_.emplace_back(ReadReadyEffect{reads.front().read_id, reads.front().index, true});
    reads.pop_front();
  }
  const bool next_round_needed = !reads.empty() && reads.front().round > leadership_->round;
  if (next_round_needed) {
    broadcastHeartbeat();
  }
}

void QuorumLogImpl::failReads() {
  for (const PendingRead& read : leadership_->reads) {
    effects_.emplace_back(ReadReadyEffect{read.read_id, LogIndex{}, false});
  }
  leadership_->reads.clear();
}

}  // namespace ferryrock::consensus
