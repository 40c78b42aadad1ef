#include "services/proof_requests.h"

#include <utility>

namespace ferryrock::services {

void ProofRequests::add(const NodeName& router, std::uint64_t incarnation, TimePoint now) {
  const auto [known, added] = pending_.try_emplace(router, Request{incarnation, now});
  if (!added && known->second.incarnation == incarnation) {
    return;
  }
  known->second = {incarnation, now};
  queue_.push_back({now, router});
}

std::vector<NodeName> ProofRequests::takeAnswerable(TimePoint followed) {
  std::vector<NodeName> answerable;
  while (!queue_.empty()) {
    ++examined_;
    if (queue_.front().arrived_at > followed) {
      break;
    }
    const QueueEntry entry = std::move(queue_.front());
    queue_.pop_front();
    const auto request = pending_.find(entry.router);
    if (request != pending_.end() && request->second.arrived_at == entry.arrived_at) {
      pending_.erase(request);
      answerable.push_back(entry.router);
    }
  }
  return answerable;
}

}  // namespace ferryrock::services
