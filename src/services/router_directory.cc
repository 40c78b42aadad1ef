#include "services/router_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "balance/load_key.h"
#include "common/hashing.h"

namespace ferryrock::services {
namespace {

constexpr Duration kRouterExpiry = std::chrono::seconds(10);
/// Routers report unreachable replicas to the leader more often than this.
constexpr Duration kReachabilityTtl = std::chrono::milliseconds(1000);
/// A replica counts as reached for this long after a response to any router, or for two status intervals.
constexpr Duration kReachedTtl = std::chrono::milliseconds(600);
constexpr int kReachedIntervals = 2;
/// Number of missed statuses after which a router counts as gone.
constexpr int kMaxMissedStatuses = 3;
/// Number of relays per router, of its own zone and of other zones each: a router still has one if the others
/// have been lost since the list was made.
constexpr std::size_t kRelaysPerGroup = 3;
/// Candidates kept per group, enough to spread the relayed attempts of many routers.
constexpr std::size_t kMaxRelayCandidates = 64;

void appendRelays(std::vector<wire::RelayRouter>& relays, const std::vector<wire::RelayRouter>& candidates,
                  const NodeName& router) {
  const std::size_t first = candidates.empty() ? 0 : stableHash(router.value) % candidates.size();
  std::size_t added = 0;
  for (std::size_t i = 0; i < candidates.size() && added < kRelaysPerGroup; ++i) {
    const wire::RelayRouter& candidate = candidates[(first + i) % candidates.size()];
    if (candidate.router != router) {
      relays.push_back(candidate);
      ++added;
    }
  }
}

}  // namespace

std::vector<wire::RelayRouter> chooseRelays(const RelayCandidates& candidates, const NodeName& router) {
  std::vector<wire::RelayRouter> relays;
  appendRelays(relays, candidates.same_zone, router);
  appendRelays(relays, candidates.other_zones, router);
  return relays;
}

/// The candidates of other zones are taken at even distances, so that each zone is represented.
RelayCandidates RouterDirectory::relayCandidates(const ZoneName& zone, TimePoint now) const {
  RelayCandidates candidates;
  std::vector<const wire::CallRouterStatus*> others;
  for (const auto& [name, record] : routers_) {
    const wire::CallRouterStatus& status = record.status;
    if (!isOffered(record, now) || status.partitioned || status.relay_address.empty()) {
      continue;
    }
    if (status.zone != zone) {
      others.push_back(&status);
    } else if (candidates.same_zone.size() < kMaxRelayCandidates) {
      candidates.same_zone.push_back({name, status.zone, status.relay_address});
    }
  }
  const std::size_t step = std::max<std::size_t>(1, others.size() / kMaxRelayCandidates);
  for (std::size_t i = 0; i < others.size(); i += step) {
    candidates.other_zones.push_back({others[i]->router, others[i]->zone, others[i]->relay_address});
  }
  return candidates;
}

bool RouterDirectory::accept(const wire::CallRouterStatus& status, TimePoint now) {
  RouterRecord& record = routers_[status.router];
  const bool same_incarnation = record.status.incarnation == status.incarnation;
  if (same_incarnation && status.sequence <= record.status.sequence) {
    return false;
  }
  record.status = status;
  record.last_contact = now;
  for (const wire::LocalReplicaLoad& load : status.local_loads) {
    if (load.reached) {
      reached_at_[load.replica] = now;
    }
  }
  return true;
}

void RouterDirectory::expire(TimePoint now) {
  const Duration expiry = extendedTimeout(kRouterExpiry);
  std::erase_if(routers_,
                [now, expiry](const auto& item) { return now - item.second.last_contact > expiry; });
  std::erase_if(reached_at_, [now, expiry](const auto& item) { return now - item.second > expiry; });
}

Duration RouterDirectory::extendedTimeout(Duration min_timeout) const {
  return std::max(min_timeout, kMaxMissedStatuses * status_interval_);
}

bool RouterDirectory::isOffered(const RouterRecord& record, TimePoint now) const {
  return record.status.accepting && now - record.last_contact <= extendedTimeout(kOfferTimeout);
}

std::vector<wire::RouterContact> RouterDirectory::contacts(TimePoint now) const {
  std::vector<wire::RouterContact> contacts;
  for (const auto& [name, record] : routers_) {
    if (isOffered(record, now)) {
      const wire::CallRouterStatus& status = record.status;
      contacts.push_back({name, status.zone, status.address, status.incarnation, status.subscribes});
    }
  }
  return contacts;
}

void RouterDirectory::applyContacts(const std::vector<wire::RouterContact>& contacts, TimePoint now) {
  for (const NodeName& former : std::exchange(contacts_, {})) {
    const auto record = routers_.find(former);
    if (record != routers_.end()) {
      record->second.status.accepting = false;
    }
  }
  for (const wire::RouterContact& contact : contacts) {
    RouterRecord& record = routers_[contact.router];
    if (record.status.incarnation != contact.incarnation) {
      record.status = {};
      record.status.router = contact.router;
      record.status.zone = contact.zone;
      record.status.address = contact.address;
      record.status.incarnation = contact.incarnation;
      record.status.subscribes = contact.subscribes;
    }
    record.status.accepting = true;
    record.last_contact = now;
    contacts_.insert(contact.router);
  }
  contacts_digest_ = wire::contactsDigest(contacts);
}

void RouterDirectory::renewContacts(TimePoint now) {
  for (const NodeName& contact : contacts_) {
    const auto record = routers_.find(contact);
    if (record != routers_.end()) {
      record->second.last_contact = now;
    }
  }
}

std::vector<std::string> RouterDirectory::addresses(const ZoneName& zone, TimePoint now,
                                                    std::size_t limit) const {
  std::vector<std::string> own;
  std::vector<std::string> others;
  std::set<ZoneName> zones;
  for (const auto& [name, record] : routers_) {
    if (isOffered(record, now)) {
      zones.insert(record.status.zone);
      (record.status.zone == zone ? own : others).push_back(record.status.address);
    }
  }
  const std::size_t max_same_zone = std::max(kMinChoices, limit / std::max<std::size_t>(1, zones.size()));
  if (own.size() >= std::min(kMinChoices, limit)) {
    own.resize(std::min({own.size(), max_same_zone, limit}));
    return own;
  }
  own.insert(own.end(), others.begin(), others.end());
  own.resize(std::min(own.size(), limit));
  return own;
}

std::size_t RouterDirectory::acceptingCount(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(routers_.begin(), routers_.end(),
                    [this, now](const auto& item) { return isOffered(item.second, now); }));
}

bool RouterDirectory::reportsReachability(const RouterRecord& record, TimePoint now) const {
  return now - record.last_contact <= extendedTimeout(kReachabilityTtl);
}

std::set<ReplicaId> RouterDirectory::unreachable(TimePoint now) const {
  const Duration reached_ttl = std::max(kReachedTtl, kReachedIntervals * status_interval_);
  const auto reachedLately = [&](const ReplicaId& id) {
    const auto reached = reached_at_.find(balance::loadKey(id.value));
    return reached != reached_at_.end() && now - reached->second <= reached_ttl;
  };
  std::set<ReplicaId> ids;
  for (const auto& [name, record] : routers_) {
    if (record.status.partitioned || !reportsReachability(record, now)) {
      continue;
    }
    std::copy_if(record.status.unreachable.begin(), record.status.unreachable.end(),
                 std::inserter(ids, ids.end()), [&](const ReplicaId& id) { return !reachedLately(id); });
  }
  return ids;
}

std::size_t RouterDirectory::partitionedCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(routers_.begin(), routers_.end(), [&](const auto& item) {
    return item.second.status.partitioned && reportsReachability(item.second, now);
  }));
}

}  // namespace ferryrock::services
