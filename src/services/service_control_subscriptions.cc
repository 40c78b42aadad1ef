#include <algorithm>
#include <utility>

#include "services/service_control_impl.h"

/// The part of ServiceControlImpl that keeps a member's work for routers from growing as routers x replicas:
/// from some size on routers are told of the replicas that their calls may need alone, tell their status the
/// less often the more of them there are, and are known to members that don't lead by what the leader tells.
namespace ferryrock::services {
namespace {

/// Up to so many routers are told of each change at once.
constexpr std::size_t kSmallFleet = 16;
/// Up to so many replicas a table of all of them is smaller than what it takes to ask, some 36 kB.
constexpr std::size_t kMostToldToAll = 512;
/// Replicas that report to the leader itself; of more, each costs it a connection and an answer in a
/// heartbeat that the other members can bear.
constexpr std::size_t kReplicasAtLeader = 400;
/// Statuses a second that a leader wants of all routers together, and that another member wants.
constexpr double kStatusesAtLeader = 1000;
constexpr double kStatusesAtMember = 250;
constexpr Duration kLeastMemberInterval = std::chrono::seconds(1);
/// Routers whose statuses can be missed for longer are cut off, frozen or gone. Updates for them would only
/// wait in memory; the next status brings what they lack.
constexpr Duration kReachedFor = std::chrono::milliseconds(1500);

Duration spreadOver(std::size_t routers, double statuses_per_second) {
  const std::chrono::duration<double> interval(static_cast<double>(routers) / statuses_per_second);
  return std::chrono::duration_cast<Duration>(interval);
}

}  // namespace

bool ServiceControlImpl::isLargeFleet() const {
  return directory_.routers().size() > kSmallFleet;
}

bool ServiceControlImpl::hasManyReplicas() const {
  return registry_.replicas().size() > kReplicasAtLeader;
}

Duration ServiceControlImpl::leaderStatusInterval() const {
  return spreadOver(directory_.routers().size(), kStatusesAtLeader);
}

/// In whole powers of the least one, so that routers tell all members in one step. Zero: routers' default.
Duration ServiceControlImpl::memberStatusInterval() const {
  const Duration least = spreadOver(directory_.routers().size(), kStatusesAtMember);
  if (least <= kLeastMemberInterval) {
    return Duration::zero();
  }
  Duration interval = kLeastMemberInterval;
  while (interval < least) {
    interval *= 2;
  }
  return interval;
}

Duration ServiceControlImpl::reachedFor() const {
  return std::max(kReachedFor, leaderStatusInterval() * 5 / 2);
}

bool ServiceControlImpl::subscribes(const wire::CallRouterStatus& status) const {
  return leader_->has_subscriptions && status.subscribes;
}

/// From here on to the end of the term; what routers hold by now isn't known.
void ServiceControlImpl::beginSubscriptions() {
  leader_->has_subscriptions = true;
  for (const auto& [router, record] : directory_.routers()) {
    if (record.status.subscribes) {
      leader_->tables.expect(router);
    }
  }
}

void ServiceControlImpl::followReplicas() {
  const ReplicaIndex::Changes changes = index_.follow(registry_);
  if (!leader_) {
    return;
  }
  if (!leader_->has_subscriptions && registry_.replicas().size() > kMostToldToAll) {
    beginSubscriptions();
  }
  leader_->tables.follow(changes);
}

/// A model that some replica holds needs no plan: the router just doesn't know of it yet.
bool ServiceControlImpl::needsPlan(const wire::CallRouterStatus& status) const {
  return std::any_of(status.wants.begin(), status.wants.end(), [&](const wire::ModelWant& want) {
    const bool held = !index_.find({want.service, want.model, want.adapter}).empty();
    return want.waiting > 0 && !(subscribes(status) && held);
  });
}

/// A member that hears of routers too seldom to offer them to callers is told them, where it doesn't hold the
/// same already.
void ServiceControlImpl::sayContacts(wire::MemberHello& hello, const NodeName& node,
                                     const std::vector<wire::RouterContact>& contacts) const {
  hello.contacts.reset();
  if (contacts.empty()) {
    hello.contacts_digest = leader_ ? 0 : directory_.contactsDigest();
    return;
  }
  hello.contacts_digest = wire::contactsDigest(contacts);
  const wire::MemberHello* theirs = keeper_.helloOf(node);
  if (theirs != nullptr && theirs->readsContacts() && theirs->contacts_digest != hello.contacts_digest) {
    hello.contacts = contacts;
  }
}

void ServiceControlImpl::takeContacts(const NodeName& from, const wire::MemberHello& hello, TimePoint now) {
  directory_.setStatusInterval(leader_ ? leaderStatusInterval() : memberStatusInterval());
  if (leader_ || from != node_->log().leader()) {
    return;
  }
  if (hello.contacts) {
    directory_.takeContacts(*hello.contacts, now);
  } else if (hello.contacts_digest != 0 && hello.contacts_digest == directory_.contactsDigest()) {
    directory_.keepContacts(now);
  }
}

}  // namespace ferryrock::services
