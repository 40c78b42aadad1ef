#include "services/proof_requests.h"

#include <utility>

namespace ferryrock::services {

void ProofRequests::add(const NodeName& router, std::uint64_t incarnation, TimePoint now) {
  const auto [known, added] = waiting_.try_emplace(router, Request{incarnation, now});
  if (!added && known->second.incarnation == incarnation) {
    return;
  }
  known->second = {incarnation, now};
  order_.push_back({now, router});
}

std::vector<NodeName> ProofRequests::takeAnswerable(TimePoint followed) {
  std::vector<NodeName> answerable;
  while (!order_.empty()) {
    ++examined_;
    if (order_.front().at > followed) {
      break;
    }
    const Place place = std::move(order_.front());
    order_.pop_front();
    const auto request = waiting_.find(place.router);
    if (request != waiting_.end() && request->second.at == place.at) {
      waiting_.erase(request);
      answerable.push_back(place.router);
    }
  }
  return answerable;
}

}  // namespace ferryrock::services
