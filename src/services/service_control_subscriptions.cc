#include <algorithm>
#include <utility>

#include "services/service_control_impl.h"

/// The part of ServiceControlImpl that keeps a member's work for routers from growing as routers x replicas.
/// In a large fleet routers receive only the replicas that their calls may need, report their status less
/// often the more routers there are, and members that don't lead get the list of routers from the leader.
namespace ferryrock::services {
namespace {

/// Up to this many routers, every change is sent to all routers at once.
constexpr std::size_t kMaxSmallFleetRouters = 16;
/// Up to this many replicas routers get tables of all replicas: at some 36 kB such a table is smaller than
/// the messages that subscriptions take.
constexpr std::size_t kMaxReplicasInFullTables = 512;
/// Up to this many replicas report to the leader itself. Beyond that they report to the other members, since
/// each costs a connection and a response per heartbeat.
constexpr std::size_t kMaxReplicasAtLeader = 400;
/// Target rates of router statuses per second, over all routers, at the leader and at each other member.
constexpr double kLeaderStatusRate = 1000;
constexpr double kMemberStatusRate = 250;
constexpr Duration kMinMemberInterval = std::chrono::seconds(1);
/// Routers without a status for longer than this are cut off, frozen or gone. Updates for them would only
/// occupy memory; they receive what they lack after their next status.
constexpr Duration kContactTimeout = std::chrono::milliseconds(1500);

Duration intervalForRate(std::size_t routers, double statuses_per_second) {
  const std::chrono::duration<double> interval(static_cast<double>(routers) / statuses_per_second);
  return std::chrono::duration_cast<Duration>(interval);
}

}  // namespace

bool ServiceControlImpl::isLargeFleet() const {
  return directory_.routers().size() > kMaxSmallFleetRouters;
}

bool ServiceControlImpl::hasManyReplicas() const {
  return registry_.replicas().size() > kMaxReplicasAtLeader;
}

Duration ServiceControlImpl::leaderStatusInterval() const {
  return intervalForRate(directory_.routers().size(), kLeaderStatusRate);
}

/// The interval is a power-of-two multiple of kMinMemberInterval, so that routers report to all members in
/// one step. Zero: the routers' default interval.
Duration ServiceControlImpl::memberStatusInterval() const {
  const Duration least = intervalForRate(directory_.routers().size(), kMemberStatusRate);
  if (least <= kMinMemberInterval) {
    return Duration::zero();
  }
  Duration interval = kMinMemberInterval;
  while (interval < least) {
    interval *= 2;
  }
  return interval;
}

Duration ServiceControlImpl::contactTimeout() const {
  return std::max(kContactTimeout, leaderStatusInterval() * 5 / 2);
}

bool ServiceControlImpl::subscribes(const wire::CallRouterStatus& status) const {
  return leader_->has_subscriptions && status.subscribes;
}

/// Switches to subscriptions until the end of the term. The tables that routers hold at this point aren't
/// known.
void ServiceControlImpl::beginSubscriptions() {
  leader_->has_subscriptions = true;
  for (const auto& [router, record] : directory_.routers()) {
    if (record.status.subscribes) {
      leader_->tables.expect(router);
    }
  }
}

void ServiceControlImpl::applyReplicaChanges() {
  const ReplicaIndex::Changes changes = index_.follow(registry_);
  if (!leader_) {
    return;
  }
  if (!leader_->has_subscriptions && registry_.replicas().size() > kMaxReplicasInFullTables) {
    beginSubscriptions();
  }
  leader_->tables.applyChanges(changes, leader_->complete);
}

/// Returns true if a call waits for a model that needs placement. For a subscribed router, a model that some
/// replica has loaded needs none: its next table lists that replica.
bool ServiceControlImpl::needsPlan(const wire::CallRouterStatus& status) const {
  return std::any_of(status.model_calls.begin(), status.model_calls.end(),
                     [&](const wire::ModelCallCounts& want) {
                       const bool held = !index_.find({want.service, want.model, want.adapter}).empty();
                       return want.waiting > 0 && !(subscribes(status) && held);
                     });
}

/// Adds the leader's list of routers to the hello for a member that receives statuses too rarely to offer
/// routers to callers, unless the member reported that it holds the same list.
void ServiceControlImpl::addContacts(wire::MemberHello& hello, const NodeName& node,
                                     const std::vector<wire::RouterContact>& contacts) const {
  hello.contacts.reset();
  if (contacts.empty()) {
    hello.contacts_digest = leader_ ? 0 : directory_.contactsDigest();
    return;
  }
  hello.contacts_digest = wire::contactsDigest(contacts);
  const wire::MemberHello* theirs = membership_manager_.helloOf(node);
  if (theirs != nullptr && theirs->supportsContacts() && theirs->contacts_digest != hello.contacts_digest) {
    hello.contacts = contacts;
  }
}

void ServiceControlImpl::applyContacts(const NodeName& from, const wire::MemberHello& hello, TimePoint now) {
  directory_.setStatusInterval(leader_ ? leaderStatusInterval() : memberStatusInterval());
  if (leader_ || from != node_->log().leader()) {
    return;
  }
  if (hello.contacts) {
    directory_.applyContacts(*hello.contacts, now);
  } else if (hello.contacts_digest != 0 && hello.contacts_digest == directory_.contactsDigest()) {
    directory_.renewContacts(now);
  }
}

}  // namespace ferryrock::services
