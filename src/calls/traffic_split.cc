#include "calls/traffic_split.h"

#include <algorithm>

namespace ferryrock::calls {

const ServiceName& TrafficSplit::next(const wire::CallRoute& route) {
  if (route.targets.size() == 1) {
    return route.targets.front().service;
  }
  Turn& turn = turns_[route.name];
  if (turn.targets != route.targets) {
    turn.targets = route.targets;
    turn.credits.assign(route.targets.size(), 0);
  }
  std::int64_t total = 0;
  for (std::size_t i = 0; i < route.targets.size(); ++i) {
    turn.credits[i] += route.targets[i].weight;
    total += route.targets[i].weight;
  }
  const auto richest = std::max_element(turn.credits.begin(), turn.credits.end());
  *richest -= total;
  return route.targets[static_cast<std::size_t>(richest - turn.credits.begin())].service;
}

}  // namespace ferryrock::calls
