#include <algorithm>
#include <utility>

#include "services/service_control_impl.h"

namespace ferryrock::services {
namespace {

constexpr Duration kPlanInterval = std::chrono::milliseconds(100);
/// For calls that wait at a large fleet.
constexpr Duration kHurriedPlanInterval = std::chrono::milliseconds(20);
/// A plan passes over all replicas; so many of them are passed in a second at most.
constexpr double kReplicasPlannedPerSecond = 100'000;
constexpr Duration kMembershipPause = std::chrono::milliseconds(100);
/// Of the directory that routers get.
constexpr std::size_t kMostAddresses = 64;
/// Between two rounds of updates to a large fleet, at least.
constexpr Duration kPushInterval = std::chrono::milliseconds(20);
/// Pause after a round for each update of it: some 4,000 a second, so that a leader keeps more than half of
/// its processor for other work.
constexpr Duration kPausePerUpdate = std::chrono::microseconds(250);
/// Entries of replica tables that one round sends to a large fleet, some 70 B each in a message. What a new
/// leader owes all routers would else wait in its memory at once.
constexpr std::size_t kEntriesPerRound = 100'000;
/// Pause after a round for each entry of it: 28 MB a second.
constexpr Duration kPausePerEntry = std::chrono::nanoseconds(2500);
/// Members and the directory, as updates tell them, are gathered anew after this time.
constexpr Duration kContextLasts = std::chrono::milliseconds(50);
/// For this long a new leader tells also routers that it knows from other members alone.
constexpr Duration kAnnounced = std::chrono::milliseconds(1500);
/// Less than the interval of the routers' regular statuses.
constexpr Duration kSignOfLife = std::chrono::milliseconds(200);
/// Between two tellings of loads to a router, at least. Streams last about 2 s; what a router sends in
/// between it knows itself.
constexpr Duration kLoadsInterval = std::chrono::milliseconds(400);
/// Of loads to all routers: 0.8% of what a leader's link of 1,000 Mbit/s carries, and a tenth of what calls
/// of today's fleets send from zone to zone.
constexpr double kLoadBytesPerSecond = 100'000;
constexpr double kBytesPerLoad = 14;
/// Fleets so large that a router would be told less often aren't told at all: older sums aren't gone by.
/// About 14,000 entries over all routers; a leader that told 3,000 replicas to 300 routers took 48% of a core
/// in place of 27%.
constexpr Duration kLongestLoadsInterval = std::chrono::seconds(2);

std::vector<ServiceName> plainServices(const wire::ServiceCatalog& catalog) {
  std::vector<ServiceName> services;
  for (const wire::HostedService& service : catalog.services) {
    if (!service.engine) {
      services.push_back(service.name);
    }
  }
  return services;
}

bool waitsForModel(const wire::CallRouterStatus& status) {
  return std::any_of(status.wants.begin(), status.wants.end(),
                     [](const wire::ModelWant& want) { return want.waiting > 0; });
}

}  // namespace

void ServiceControlImpl::leadOn(TimePoint now) {
  if (!leader_->complete && now - leader_->since > settings_.replica_silence) {
    leader_->complete = true;
    leader_->contexts.clear();
    registry_.renewAll();
  }
  settleNotices(now);
  followQuotas(now);
  planModels(now);
  pushTables(now);
  proveCatalogs(now);
  mendMembership(now);
  settleAcknowledgements(now);
  followSpread(now);
  storeQuarantines(now);
}

void ServiceControlImpl::followSpread(TimePoint now) {
  const CatalogVersion version = node_->hosted().catalog().version;
  if (auto spread = leader_->spread.look(version, directory_.routers(), now)) {
    effects_.emplace_back(std::move(*spread));
  }
}

/// Routers whose proof is missing or about to end don't wait for their next regular update.
void ServiceControlImpl::proveCatalogs(TimePoint now) {
  const auto followed = leader_->proof_wanted.empty() ? std::nullopt : node_->log().followedAt(now);
  if (!followed || !node_->log().hasLease(now)) {
    return;
  }
  std::erase_if(leader_->proof_wanted, [&](const NodeName& router) {
    const auto record = directory_.routers().find(router);
    if (record == directory_.routers().end()) {
      return true;
    }
    const wire::ProvedStatus proved = leader_->receipts.provedBy(router, *followed);
    const bool provable = proved.incarnation == record->second.status.incarnation;
    if (provable) {
      sendUpdate(record->second.status, now);
    }
    return provable;
  });
}

/// A tenant that is limited, or isn't any more, can't wait for the routers' next statuses.
void ServiceControlImpl::followQuotas(TimePoint now) {
  const wire::ServiceCatalog& catalog = node_->hosted().catalog();
  if (catalog.version != leader_->quota_version) {
    leader_->quota_version = catalog.version;
    leader_->tables.setPlainServices(plainServices(catalog));
    leader_->quotas.setCatalog(catalog, now);
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

/// Of many statuses and pushes in one moment each would gather the same.
const FeedContext& ServiceControlImpl::feedContext(const ZoneName& zone, TimePoint now) {
  if (now - leader_->contexts_taken >= kContextLasts) {
    leader_->contexts.clear();
    leader_->contexts_taken = now;
  }
  const auto known = leader_->contexts.find(zone);
  if (known != leader_->contexts.end()) {
    return known->second;
  }
  const std::size_t routers = std::max<std::size_t>(1, directory_.acceptingCount(now));
  std::vector<std::string> directory = directory_.addresses(zone, now, kMostAddresses);
  const std::uint64_t digest = wire::directoryDigest(directory);
  FeedContext context{node_->hosted().catalog(), memberNodes(),        static_cast<std::uint32_t>(routers),
                      leader_->complete,         std::move(directory), digest};
  return leader_->contexts.emplace(zone, std::move(context)).first->second;
}

void ServiceControlImpl::updateRouter(const wire::CallRouterStatus& status, TimePoint now) {
  leader_->demand.accept(status.router, status.wants, now);
  if (subscribes(status)) {
    leader_->tables.accept(status, now);
  } else {
    leader_->tables.forget(status.router);
  }
  if (needsPlan(status)) {
    hurryPlan(now);
  }
  if (status.wants_proof) {
    leader_->proof_wanted.insert(status.router);
  }
  if (!owedUpdate(status, now)) {
    return;
  }
  if (isLargeFleet()) {
    leader_->unanswered.insert(status.router);
  } else {
    sendUpdate(status, now);
  }
}

/// A router that holds everything gets no more than a regular sign of life: what it tells in between needs no
/// answer.
bool ServiceControlImpl::owedUpdate(const wire::CallRouterStatus& status, TimePoint now) {
  const wire::CallRouterStatus expected = leader_->updates.expected(status, now);
  const bool holds_table =
      subscribes(status) ? !status.missed_update : leader_->feed.holds(expected, leader_->feed.revision());
  const bool current = holds_table && expected.catalog >= node_->hosted().catalog().version &&
                       expected.directory == feedContext(status.zone, now).directory_digest &&
                       !waitsForModel(status);
  // A little less than routers' intervals, so that each regular status has its answer.
  const Duration sign_of_life = std::max(kSignOfLife, leaderStatusInterval() * 4 / 5);
  return !current || now - leader_->updates.lastSent(status.router) >= sign_of_life;
}

std::size_t ServiceControlImpl::sendUpdate(const wire::CallRouterStatus& status, TimePoint now) {
  const FeedContext& context = feedContext(status.zone, now);
  const wire::CallRouterStatus expected = leader_->updates.expected(status, now);
  wire::ServiceUpdate update;
  if (subscribes(status)) {
    update = leader_->feed.withoutReplicas(expected, context);
    leader_->tables.fill(update, status, now);
  } else {
    update = leader_->feed.updateFor(expected, context);
    update.confirm = awaitsConfirmation(status);
  }
  update.status_interval_ms = toMilliseconds(leaderStatusInterval());
  update.coming = comingFor(status, now);
  update.limited_tenants = leader_->quotas.limited();
  if (const auto followed = node_->log().followedAt(now)) {
    update.proved = leader_->receipts.provedBy(status.router, *followed);
  }
  update.loads = loadsFor(status.router, now);
  leader_->updates.onSent(status.router, update, now);
  const std::size_t entries = update.replicas.size();
  send(status.router, std::move(update));
  return entries;
}

std::optional<std::vector<wire::ReplicaLoad>> ServiceControlImpl::loadsFor(const NodeName& router,
                                                                           TimePoint now) {
  const Duration since = now - leader_->updates.loadsSent(router);
  if (!settings_.tells_loads || since < kLoadsInterval) {
    return std::nullopt;
  }
  std::vector<wire::ReplicaLoad> loads = leader_->loads.loads(now);
  const auto entries = static_cast<double>(loads.size() * directory_.routers().size());
  const auto paced = std::chrono::duration<double>(entries * kBytesPerLoad / kLoadBytesPerSecond);
  const bool useful = paced <= kLongestLoadsInterval;
  return !useful || since < paced ? std::nullopt : std::optional(std::move(loads));
}

/// Of the models that the router's calls wait for, those that are being loaded.
std::vector<wire::ComingModel> ServiceControlImpl::comingFor(const wire::CallRouterStatus& status,
                                                             TimePoint now) {
  std::vector<wire::ComingModel> coming;
  for (const wire::ModelWant& want : status.wants) {
    if (want.waiting == 0) {
      continue;
    }
    for (const wire::HostedService& service : node_->hosted().catalog().services) {
      const auto ready =
          service.name == want.service ? leader_->placer.expectedAt(service, want.model, now) : std::nullopt;
      if (ready) {
        coming.push_back({want.service, want.model, toMilliseconds(*ready - now)});
      }
    }
  }
  return coming;
}

/// True when a notice waits until this router tells that it holds a revision. A router that has told so isn't
/// asked again: its answer to each update would be answered by the next one, without end.
bool ServiceControlImpl::awaitsConfirmation(const wire::CallRouterStatus& status) const {
  return std::any_of(notices_.all().begin(), notices_.all().end(), [&](const LeaveNotice& notice) {
    return notice.revision && !leader_->feed.holds(status, *notice.revision);
  });
}

bool ServiceControlImpl::hasNews() const {
  return leader_->push_to_all || registry_.changes() != leader_->pushed_changes ||
         node_->hosted().catalog().version != leader_->pushed_version ||
         leader_->placer.loadsBegun() != leader_->pushed_loads || leader_->tables.hasDue();
}

/// One round of updates. Routers of a small fleet are told of each change at once. Those of a large one are
/// told in rounds with pauses in proportion to the last round, so that the leader's work for updates stays
/// bounded: all of them if the change can't wait, else those whose status asks for it and those whose calls
/// wait for a model. The others, and what is lost on the way, follow with the next status; routers for which
/// a round has no room left are told in the next one.
void ServiceControlImpl::pushTables(TimePoint now) {
  const bool news = hasNews();
  if (!news && leader_->unanswered.empty()) {
    return;
  }
  const bool large = isLargeFleet();
  if (!node_->log().hasLease(now)) {
    leader_->next_push = now + kPushInterval;
    return;
  }
  if (large && now < leader_->next_push) {
    return;
  }
  const CatalogVersion version = node_->hosted().catalog().version;
  const bool to_all = !large || leader_->push_to_all || version != leader_->pushed_version;
  if (leader_->placer.loadsBegun() != leader_->pushed_loads) {
    leader_->tables.tellWaiting();
  }
  leader_->push_to_all = false;
  leader_->pushed_changes = registry_.changes();
  leader_->pushed_loads = leader_->placer.loadsBegun();
  leader_->pushed_version = version;
  const std::set<NodeName> told = routersToTell(to_all, news);
  std::int64_t sent = 0;
  std::size_t entries = 0;
  const bool announces = now - leader_->since < kAnnounced;
  for (const NodeName& router : told) {
    const auto record = directory_.routers().find(router);
    const bool known = record != directory_.routers().end();
    if (!known || (!announces && now - record->second.heard > reachedFor())) {
      continue;
    }
    if (large && entries >= kEntriesPerRound) {
      leader_->unanswered.insert(router);
    } else {
      entries += sendUpdate(record->second.status, now);
      ++sent;
    }
  }
  const Duration for_entries = kPausePerEntry * static_cast<std::int64_t>(entries);
  leader_->next_push = now + std::max<Duration>({kPushInterval, kPausePerUpdate * sent, for_entries});
}

Duration ServiceControlImpl::leastPlanInterval() const {
  const double seconds = static_cast<double>(registry_.replicas().size()) / kReplicasPlannedPerSecond;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Plans soon, but not for each of many calls that wait.
void ServiceControlImpl::hurryPlan(TimePoint now) {
  const Duration hurried = std::max(kHurriedPlanInterval, leastPlanInterval());
  const TimePoint soon = !isLargeFleet() ? now : std::max(now, leader_->planned + hurried);
  leader_->next_plan = std::min(leader_->next_plan, soon);
}

void ServiceControlImpl::planModels(TimePoint now) {
  if (now < leader_->next_plan || !node_->log().hasLease(now)) {
    return;
  }
  leader_->next_plan = now + std::max(kPlanInterval, leastPlanInterval());
  leader_->planned = now;
  leader_->demand.fade(now);
  const std::set<ReplicaId> unreachable = directory_.unreachable(now);
  if (settings_.tells_loads) {
    leader_->placer.takeSlowness(leader_->loads.slowness(now));
  }
  for (PlacerEffect& effect : leader_->placer.plan(node_->hosted().catalog(), unreachable, now)) {
    std::visit([this](auto& typed) { effects_.emplace_back(std::move(typed)); }, effect);
  }
}

void ServiceControlImpl::mendMembership(TimePoint now) {
  if (leader_->membership_change_open || now < leader_->next_membership_change) {
    return;
  }
  const auto change = keeper_.nextChange(node_->log().membership(), settings_.control.log.id, now);
  if (!change) {
    return;
  }
  leader_->membership_change_open = true;
  leader_->next_membership_change = now + kMembershipPause;
  const std::uint64_t id = next_id_++;
  proposals_.emplace(id, MembershipProposal{});
  take(node_->changeMembership(id, *change, now), now);
}

}  // namespace ferryrock::services
