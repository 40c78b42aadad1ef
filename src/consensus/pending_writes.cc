#include "consensus/pending_writes.h"

#include <algorithm>
#include <utility>

namespace ferryrock::consensus {

void PendingWrites::add(LogIndex last_index) {
  ++issued_;
  writes_.push_back({issued_, last_index});
}

void PendingWrites::truncate(LogIndex last_index) {
  durable_index_ = std::min(durable_index_, last_index);
  for (Write& write : writes_) {
    write.last_index = std::min(write.last_index, last_index);
  }
}

void PendingWrites::hold(std::uint64_t sequence, wire::SendEffect message) {
  held_.push_back({sequence, std::move(message)});
}

std::vector<wire::SendEffect> PendingWrites::onSynced(std::uint64_t sequence) {
  synced_ = std::max(synced_, std::min(sequence, issued_));
  while (!writes_.empty() && writes_.front().sequence <= synced_) {
    durable_index_ = writes_.front().last_index;
    writes_.pop_front();
  }
  std::vector<wire::SendEffect> released;
  while (!held_.empty() && held_.front().sequence <= synced_) {
    released.push_back(std::move(held_.front().message));
    held_.pop_front();
  }
  return released;
}

}  // namespace ferryrock::consensus
