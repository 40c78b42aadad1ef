#include "calls/relay_routers.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ferryrock::calls {
namespace {

/// Time for which a relay is left out after a failure, doubled with each further one up to the maximum.
constexpr Duration kFirstExclusion = std::chrono::milliseconds(250);
constexpr Duration kMaxExclusion = std::chrono::seconds(4);
constexpr std::uint32_t kMaxDoublings = 4;

}  // namespace

void RelayRouters::set(const std::vector<wire::RelayRouter>& relays) {
  std::map<NodeName, Relay> next;
  for (const wire::RelayRouter& router : relays) {
    const auto known = relays_.find(router.router);
    Relay relay = known == relays_.end() ? Relay{} : known->second;
    // Another address is another process, which hasn't failed yet.
    if (relay.router.address != router.address) {
      relay.failures = 0;
      relay.excluded_until = {};
    }
    relay.router = router;
    next.emplace(router.router, std::move(relay));
  }
  relays_ = std::move(next);
  digest_ = wire::relaysDigest(relays);
}

bool RelayRouters::anyAvailable(TimePoint now) const {
  return std::any_of(relays_.begin(), relays_.end(),
                     [now](const auto& item) { return now >= item.second.excluded_until; });
}

std::optional<wire::RelayRouter> RelayRouters::choose(TimePoint now) const {
  const Relay* best = nullptr;
  const auto rank = [this](const Relay& relay) {
    return std::make_tuple(relay.router.zone != zone_, relay.outstanding);
  };
  for (const auto& [name, relay] : relays_) {
    if (now >= relay.excluded_until && (best == nullptr || rank(relay) < rank(*best))) {
      best = &relay;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->router);
}

void RelayRouters::onSent(const NodeName& relay) {
  const auto found = relays_.find(relay);
  if (found != relays_.end()) {
    ++found->second.outstanding;
  }
}

void RelayRouters::onReleased(const NodeName& relay) {
  const auto found = relays_.find(relay);
  if (found != relays_.end() && found->second.outstanding > 0) {
    --found->second.outstanding;
  }
}

void RelayRouters::onForwarded(const NodeName& relay) {
  const auto found = relays_.find(relay);
  if (found != relays_.end()) {
    found->second.failures = 0;
    found->second.excluded_until = {};
  }
}

void RelayRouters::onFailure(const NodeName& relay, TimePoint now) {
  const auto found = relays_.find(relay);
  if (found == relays_.end()) {
    return;
  }
  const std::uint32_t doublings = std::min(found->second.failures++, kMaxDoublings);
  found->second.excluded_until = now + std::min(kMaxExclusion, kFirstExclusion * (1U << doublings));
}

}  // namespace ferryrock::calls
