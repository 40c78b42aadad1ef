#include <algorithm>
#include <utility>

#include "services/service_control_impl.h"

namespace ferryrock::services {
namespace {

constexpr Duration kPlanInterval = std::chrono::milliseconds(100);
/// Minimum time between plans of a large fleet that are expedited for waiting calls.
constexpr Duration kExpeditedPlanInterval = std::chrono::milliseconds(20);
/// Each plan scans all replicas; plans are spaced so that no more than this many replicas are scanned per
/// second.
constexpr double kReplicasPlannedPerSecond = 100'000;
constexpr Duration kMembershipChangeInterval = std::chrono::milliseconds(100);
/// After a longer pause of this process, hellos may wait to be read, so that their senders seem silent.
constexpr Duration kMaxMembershipCheckGap = std::chrono::seconds(1);
/// Interval at which quotas are updated with the routers that are out of contact.
constexpr Duration kQuotaContactInterval = std::chrono::milliseconds(100);
/// Maximum number of addresses in the directory that routers receive.
constexpr std::size_t kMaxDirectoryAddresses = 64;
/// Time to live of the cached FeedContext with the members and the directory.
constexpr Duration kContextTtl = std::chrono::milliseconds(50);

std::vector<ServiceName> plainServices(const wire::ServiceCatalog& catalog) {
  std::vector<ServiceName> services;
  for (const wire::HostedService& service : catalog.services) {
    if (!service.engine) {
      services.push_back(service.name);
    }
  }
  return services;
}

}  // namespace

void ServiceControlImpl::runLeaderTasks(TimePoint now) {
  if (!leader_->complete && now - leader_->since > settings_.replica_silence) {
    leader_->complete = true;
    leader_->contexts.clear();
    registry_.forceFullUpdates();
  }
  checkNotices(now);
  refreshQuotas(now);
  planModels(now);
  queueCatalogProofs(now);
  pushTables(now);
  repairMembership(now);
  checkAcknowledgements(now);
  reportCatalogRollout(now);
  storeQuarantines(now);
}

void ServiceControlImpl::reportCatalogRollout(TimePoint now) {
  const CatalogVersion version = node_->hosted().catalog().version;
  if (auto rollout = leader_->rollout.poll(version, directory_.routers(), now)) {
    effects_.emplace_back(std::move(*rollout));
  }
}

/// Queues updates for routers whose catalog proof is missing or about to expire, ahead of their next regular
/// update.
void ServiceControlImpl::queueCatalogProofs(TimePoint now) {
  if (leader_->proof_requests.empty() || !node_->log().hasLease(now)) {
    return;
  }
  const auto followed = node_->log().leadershipConfirmedAt(now);
  if (!followed) {
    return;
  }
  for (const NodeName& router : leader_->proof_requests.takeAnswerable(*followed)) {
    leader_->urgent_updates.add(router);
  }
}

/// Updates the quotas from the catalog. A change of the set of limited tenants is pushed to all routers at
/// once.
void ServiceControlImpl::refreshQuotas(TimePoint now) {
  const wire::ServiceCatalog& catalog = node_->hosted().catalog();
  if (catalog.version != leader_->quota_version) {
    leader_->quota_version = catalog.version;
    leader_->tables.setPlainServices(plainServices(catalog));
    leader_->quotas.setCatalog(catalog, now);
  }
  if (now >= leader_->next_quota_contacts) {
    leader_->next_quota_contacts = now + kQuotaContactInterval;
    const Duration timeout = tenancy::scaledTimeout(tenancy::kLeaderTimeout, leaderStatusInterval());
    leader_->quotas.updateContacts(directory_.routers(), timeout, now);
  }
  if (leader_->quotas.refresh(now)) {
    leader_->push_to_all = true;
  }
}

std::vector<NodeName> ServiceControlImpl::memberNodes() const {
  std::vector<NodeName> nodes;
  for (const wire::Member& member : node_->log().membership().members) {
    nodes.push_back(member.node);
  }
  return nodes;
}

/// Returns the cached context of a zone: many statuses and pushes in a short time need the same one.
const FeedContext& ServiceControlImpl::feedContext(const ZoneName& zone, TimePoint now) {
  if (now - leader_->contexts_cleared_at >= kContextTtl) {
    leader_->contexts.clear();
    leader_->contexts_cleared_at = now;
  }
  const auto known = leader_->contexts.find(zone);
  if (known != leader_->contexts.end()) {
    return known->second;
  }
  const std::size_t routers = std::max<std::size_t>(1, directory_.acceptingCount(now));
  std::vector<std::string> directory = directory_.addresses(zone, now, kMaxDirectoryAddresses);
  const std::uint64_t digest = wire::directoryDigest(directory);
  FeedContext context{
      node_->hosted().catalog(), memberNodes(), static_cast<std::uint32_t>(routers),  leader_->complete,
      std::move(directory),      digest,        directory_.relayCandidates(zone, now)};
  return leader_->contexts.emplace(zone, std::move(context)).first->second;
}

Duration ServiceControlImpl::minPlanInterval() const {
  const double seconds = static_cast<double>(registry_.replicas().size()) / kReplicasPlannedPerSecond;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Expedites the next plan. In a large fleet the time between plans stays bounded however many calls wait.
void ServiceControlImpl::expeditePlan(TimePoint now) {
  const Duration min_interval = std::max(kExpeditedPlanInterval, minPlanInterval());
  const TimePoint soon = !isLargeFleet() ? now : std::max(now, leader_->last_plan + min_interval);
  leader_->next_plan = std::min(leader_->next_plan, soon);
}

void ServiceControlImpl::planModels(TimePoint now) {
  if (now < leader_->next_plan) {
    return;
  }
  if (!node_->log().hasLease(now)) {
    leader_->next_plan = now + kPlanInterval;
    return;
  }
  leader_->next_plan = now + std::max(kPlanInterval, minPlanInterval());
  leader_->last_plan = now;
  leader_->demand.decay(now);
  const std::set<ReplicaId> unreachable = directory_.unreachable(now);
  if (settings_.publishes_loads) {
    leader_->placer.setSlowness(leader_->loads.slowness(now));
  }
  for (PlacerEffect& effect : leader_->placer.plan(node_->hosted().catalog(), unreachable, now)) {
    std::visit([this](auto& typed) { effects_.emplace_back(std::move(typed)); }, effect);
  }
}

void ServiceControlImpl::repairMembership(TimePoint now) {
  if (now - std::exchange(leader_->last_membership_check, now) > kMaxMembershipCheckGap) {
    membership_manager_.observeFrom(now);
  }
  if (leader_->membership_change_open || now < leader_->next_membership_change) {
    return;
  }
  const auto change =
      membership_manager_.nextChange(node_->log().membership(), settings_.control.log.id, now);
  if (!change) {
    return;
  }
  leader_->membership_change_open = true;
  leader_->next_membership_change = now + kMembershipChangeInterval;
  const std::uint64_t id = next_id_++;
  proposals_.emplace(id, MembershipProposal{});
  applyEffects(node_->changeMembership(id, *change, now), now);
}

}  // namespace ferryrock::services
