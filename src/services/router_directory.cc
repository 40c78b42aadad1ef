#include "services/router_directory.h"

#include <algorithm>

namespace ferryrock::services {
namespace {

constexpr Duration kForgottenAfter = std::chrono::seconds(10);
/// Routers tell the leader what they can't reach more often than this.
constexpr Duration kReachIsFresh = std::chrono::milliseconds(1000);

}  // namespace

bool RouterDirectory::accept(const wire::CallRouterStatus& status, TimePoint now) {
  RouterRecord& record = routers_[status.router];
  const bool same_life = record.status.incarnation == status.incarnation;
  if (same_life && status.sequence <= record.status.sequence) {
    return false;
  }
  record.status = status;
  record.heard = now;
  return true;
}

void RouterDirectory::expire(TimePoint now) {
  std::erase_if(routers_, [now](const auto& item) { return now - item.second.heard > kForgottenAfter; });
}

bool RouterDirectory::offered(const RouterRecord& record, TimePoint now) {
  return record.status.accepting && now - record.heard <= kOfferedFor;
}

std::vector<std::string> RouterDirectory::addresses(const ZoneName& zone, TimePoint now,
                                                    std::size_t limit) const {
  std::vector<std::string> own;
  std::vector<std::string> others;
  std::set<ZoneName> zones;
  for (const auto& [name, record] : routers_) {
    if (offered(record, now)) {
      zones.insert(record.status.zone);
      (record.status.zone == zone ? own : others).push_back(record.status.address);
    }
  }
  const std::size_t of_zone = std::max(kFewestChoices, limit / std::max<std::size_t>(1, zones.size()));
  if (own.size() >= std::min(kFewestChoices, limit)) {
    own.resize(std::min({own.size(), of_zone, limit}));
    return own;
  }
  own.insert(own.end(), others.begin(), others.end());
  own.resize(std::min(own.size(), limit));
  return own;
}

std::size_t RouterDirectory::acceptingCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      routers_.begin(), routers_.end(), [now](const auto& item) { return offered(item.second, now); }));
}

std::set<ReplicaId> RouterDirectory::unreachable(TimePoint now) const {
  std::set<ReplicaId> ids;
  for (const auto& [name, record] : routers_) {
    if (now - record.heard <= kReachIsFresh) {
      ids.insert(record.status.unreachable.begin(), record.status.unreachable.end());
    }
  }
  return ids;
}

}  // namespace ferryrock::services
