#include "services/router_directory.h"

#include <algorithm>
#include <utility>

namespace ferryrock::services {
namespace {

constexpr Duration kForgottenAfter = std::chrono::seconds(10);
/// Routers report unreachable replicas to the leader more often than this.
constexpr Duration kReachIsFresh = std::chrono::milliseconds(1000);
/// Number of missed statuses after which a router counts as gone.
constexpr int kMissedStatuses = 3;

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
  const Duration forgotten_after = longEnough(kForgottenAfter);
  std::erase_if(routers_, [now, forgotten_after](const auto& item) {
    return now - item.second.heard > forgotten_after;
  });
}

Duration RouterDirectory::longEnough(Duration least) const {
  return std::max(least, kMissedStatuses * status_interval_);
}

bool RouterDirectory::offered(const RouterRecord& record, TimePoint now) const {
  return record.status.accepting && now - record.heard <= longEnough(kOfferedFor);
}

std::vector<wire::RouterContact> RouterDirectory::contacts(TimePoint now) const {
  std::vector<wire::RouterContact> contacts;
  for (const auto& [name, record] : routers_) {
    if (offered(record, now)) {
      const wire::CallRouterStatus& status = record.status;
      contacts.push_back({name, status.zone, status.address, status.incarnation, status.subscribes});
    }
  }
  return contacts;
}

void RouterDirectory::takeContacts(const std::vector<wire::RouterContact>& contacts, TimePoint now) {
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
    record.heard = now;
    contacts_.insert(contact.router);
  }
  contacts_digest_ = wire::contactsDigest(contacts);
}

void RouterDirectory::keepContacts(TimePoint now) {
  for (const NodeName& contact : contacts_) {
    const auto record = routers_.find(contact);
    if (record != routers_.end()) {
      record->second.heard = now;
    }
  }
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
      routers_.begin(), routers_.end(), [this, now](const auto& item) { return offered(item.second, now); }));
}

std::set<ReplicaId> RouterDirectory::unreachable(TimePoint now) const {
  std::set<ReplicaId> ids;
  for (const auto& [name, record] : routers_) {
    if (now - record.heard <= longEnough(kReachIsFresh)) {
      ids.insert(record.status.unreachable.begin(), record.status.unreachable.end());
    }
  }
  return ids;
}

}  // namespace ferryrock::services
