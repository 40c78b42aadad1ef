#include "consensus/progress.h"

#include <algorithm>
#include <utility>

namespace ferryrock::consensus {

void Progress::probe(LogIndex from) {
  state = State::Probe;
  next = std::max(from, match.next());
  awaiting_response_since.reset();
  inflight.clear();
  snapshot.reset();
}

void Progress::acknowledge(LogIndex index) {
  match = std::max(match, index);
  next = std::max(next, match.next());
  while (!inflight.empty() && inflight.front() <= match) {
    inflight.pop_front();
  }
}

void Progress::beginSnapshot(std::shared_ptr<const Snapshot> to_send) {
  state = State::Snapshot;
  snapshot = std::move(to_send);
  snapshot_offset = 0;
  awaiting_response_since.reset();
  inflight.clear();
}

void Progress::resetForNewDisk(DiskId new_disk, LogIndex last_index) {
  *this = Progress{};
  disk = new_disk;
  next = last_index.next();
}

}  // namespace ferryrock::consensus
