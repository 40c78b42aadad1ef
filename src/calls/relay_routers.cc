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
      relay.exclusion = {};
      relay.service_exclusions.clear();
    }
    relay.router = router;
    next.emplace(router.router, std::move(relay));
  }
  relays_ = std::move(next);
  digest_ = wire::relaysDigest(relays);
  known_ = known_ || !relays.empty();
}

void RelayRouters::Exclusion::extend(TimePoint now) {
  const std::uint32_t doublings = std::min(failures++, kMaxDoublings);
  until = now + std::min(kMaxExclusion, kFirstExclusion * (1U << doublings));
}

bool RelayRouters::Relay::available(const ServiceName& service, TimePoint now) const {
  const auto excluded = service_exclusions.find(service);
  return now >= exclusion.until && (excluded == service_exclusions.end() || now >= excluded->second.until);
}

bool RelayRouters::anyAvailable(const ServiceName& service, TimePoint now) const {
  return std::any_of(relays_.begin(), relays_.end(),
                     [&](const auto& item) { return item.second.available(service, now); });
}

std::optional<wire::RelayRouter> RelayRouters::choose(const ServiceName& service, TimePoint now) const {
  const Relay* best = nullptr;
  const auto rank = [this](const Relay& relay) {
    return std::make_tuple(relay.router.zone != zone_, relay.outstanding);
  };
  for (const auto& [name, relay] : relays_) {
    if (relay.available(service, now) && (best == nullptr || rank(relay) < rank(*best))) {
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

void RelayRouters::onForwarded(const NodeName& relay, const ServiceName& service) {
  const auto found = relays_.find(relay);
  if (found != relays_.end()) {
    found->second.exclusion = {};
    found->second.service_exclusions.erase(service);
  }
}

void RelayRouters::onFailure(const NodeName& relay, TimePoint now) {
  const auto found = relays_.find(relay);
  if (found != relays_.end()) {
    found->second.exclusion.extend(now);
  }
}

void RelayRouters::onUnreachable(const NodeName& relay, const ServiceName& service, TimePoint now) {
  const auto found = relays_.find(relay);
  if (found != relays_.end()) {
    found->second.service_exclusions[service].extend(now);
  }
}

}  // namespace ferryrock::calls
