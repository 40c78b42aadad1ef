#include <algorithm>
#include <utility>

#include "services/service_control_impl.h"

/// The part of ServiceControlImpl by which a leader sends updates to routers: when a router needs an update,
/// what the update contains, and how the updates of a large fleet are divided into rounds.
namespace ferryrock::services {
namespace {

/// Minimum time between two rounds of updates to a large fleet.
constexpr Duration kPushInterval = std::chrono::milliseconds(20);
/// Maximum number of updates in one round of a large fleet, so that even a round with a catalog in each
/// update takes only a part of the time between two heartbeats.
constexpr std::size_t kMaxUpdatesPerRound = 128;
/// Pause after a round per update sent, which limits updates to some 4,000 a second, so that a leader keeps
/// more than half of its processor time for other work.
constexpr Duration kPausePerUpdate = std::chrono::microseconds(250);
/// Maximum number of replica table entries that one round sends to a large fleet, some 70 B each in a
/// message. It bounds the memory of a new leader, which would otherwise build the tables of all routers at
/// once.
constexpr std::size_t kMaxEntriesPerRound = 100'000;
/// Pause after a round per table entry sent, which limits entries to 28 MB a second.
constexpr Duration kPausePerEntry = std::chrono::nanoseconds(2500);
/// For this long a new leader also sends updates to routers without recent contact.
constexpr Duration kAnnouncementPeriod = std::chrono::milliseconds(1500);
/// Minimum time between two updates without changes to a router; less than the interval of its regular
/// statuses.
constexpr Duration kKeepaliveInterval = std::chrono::milliseconds(200);
/// Minimum time between two reports of loads to a router. Streams last about 2 s, and a router accounts
/// itself for the calls that it sends in between.
constexpr Duration kLoadsInterval = std::chrono::milliseconds(400);
/// Maximum rate of load reports to all routers together: 0.08% of a leader's link of 1,000 Mbit/s, and a
/// tenth of the traffic between zones that the calls of typical fleets cause.
constexpr double kLoadBytesPerSecond = 100'000;
constexpr double kBytesPerLoad = 14;
/// In fleets so large that the interval would exceed this, no loads are reported: routers ignore older sums.
constexpr Duration kMaxLoadsInterval = std::chrono::seconds(2);
/// Routers that start together with the cell have started by this time.
constexpr Duration kJointStart = std::chrono::seconds(3);

bool waitsForModel(const wire::CallRouterStatus& status) {
  return std::any_of(status.model_calls.begin(), status.model_calls.end(),
                     [](const wire::ModelCallCounts& want) { return want.waiting > 0; });
}

}  // namespace

void ServiceControlImpl::updateRouter(const wire::CallRouterStatus& status, TimePoint now) {
  leader_->demand.accept(status.router, status.model_calls, now);
  if (subscribes(status)) {
    leader_->tables.accept(status, now);
  } else {
    leader_->tables.forget(status.router);
  }
  if (needsPlan(status)) {
    expeditePlan(now);
  }
  if (status.needs_catalog_proof) {
    leader_->proof_requests.add(status.router, status.incarnation, now);
  }
  if (!needsUpdate(status, now)) {
    return;
  }
  if (isLargeFleet() && RetryLedger::isAwaited(status)) {
    leader_->urgent_updates.add(status.router);
  } else if (isLargeFleet()) {
    leader_->regular_updates.add(status.router);
  } else {
    sendUpdate(status, now);
  }
}

/// A router that is up to date gets only regular keepalive updates; its statuses in between need no response.
bool ServiceControlImpl::needsUpdate(const wire::CallRouterStatus& status, TimePoint now) {
  const wire::CallRouterStatus expected = leader_->updates.expected(status, now);
  const bool holds_table =
      subscribes(status) ? !status.missed_update : leader_->feed.holds(expected, leader_->feed.revision());
  const bool current = holds_table && expected.catalog >= node_->hosted().catalog().version &&
                       expected.directory == feedContext(status.zone, now).directory_digest &&
                       !waitsForModel(status) && !RetryLedger::isAwaited(status);
  // A little less than the status interval, so that each regular status gets a response.
  const Duration keepalive_interval = std::max(kKeepaliveInterval, leaderStatusInterval() * 4 / 5);
  return !current || now - leader_->updates.lastSent(status.router) >= keepalive_interval;
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
  update.coming = expectedLoadsFor(status, now);
  update.limited_tenants = leader_->quotas.limited();
  update.grants_limit_credit = true;
  update.confirms_quota_reports = true;
  update.keeps_stream_origins = true;
  if (const auto followed = node_->log().leadershipConfirmedAt(now)) {
    update.proved = leader_->receipts.provedBy(status.router, *followed);
  }
  update.loads = loadsFor(status.router, now);
  update.relays = relaysFor(status, context);
  if (status.takesRetryCredits()) {
    update.retry_credits = leader_->retries.creditsFor(status, leaderStatusInterval(), now);
  }
  leader_->updates.onSent(status.router, update, now);
  const std::size_t entries = update.replicas.size();
  send(status.router, std::move(update));
  return entries;
}

/// A member has heard of all routers once it has run for as long as their use counts. In a cell that was
/// formed while it ran, no router process is older, and those that started together with the cell are the
/// first ones.
RetryLedger ServiceControlImpl::newRetryLedger(TimePoint now) const {
  const Duration counted_for = settings_.retries.window + balance::kRetryDelayMargin;
  EarlierRetryUse earlier;
  for (const auto& [router, record] : directory_.routers()) {
    earlier.routers.insert(router);
  }
  earlier.lists_all = saw_cell_formed_ || now - started_at_ >= counted_for;
  earlier.reported_from = now - counted_for;
  if (saw_cell_formed_) {
    earlier.reported_from = std::max(earlier.reported_from, started_at_ + kJointStart);
  }
  return {settings_.retries, std::move(earlier), now};
}

/// Routers of builds without relays have no relay address.
std::optional<std::vector<wire::RelayRouter>> ServiceControlImpl::relaysFor(
    const wire::CallRouterStatus& status, const FeedContext& context) {
  if (status.relay_address.empty()) {
    return std::nullopt;
  }
  std::vector<wire::RelayRouter> relays = chooseRelays(context.relays, status.router);
  return wire::relaysDigest(relays) == status.relays ? std::nullopt : std::optional(std::move(relays));
}

std::optional<std::vector<wire::ReplicaLoad>> ServiceControlImpl::loadsFor(const NodeName& router,
                                                                           TimePoint now) {
  const Duration since = now - leader_->updates.loadsSent(router);
  if (!settings_.publishes_loads || since < kLoadsInterval) {
    return std::nullopt;
  }
  std::vector<wire::ReplicaLoad> loads = leader_->loads.loads(now);
  const auto entries = static_cast<double>(loads.size() * directory_.routers().size());
  const auto paced = std::chrono::duration<double>(entries * kBytesPerLoad / kLoadBytesPerSecond);
  const bool useful = paced <= kMaxLoadsInterval;
  return !useful || since < paced ? std::nullopt : std::optional(std::move(loads));
}

/// Returns the models that the router's calls wait for and that are being loaded, with the expected time.
std::vector<wire::ExpectedModelLoad> ServiceControlImpl::expectedLoadsFor(
    const wire::CallRouterStatus& status, TimePoint now) {
  std::vector<wire::ExpectedModelLoad> coming;
  for (const wire::ModelCallCounts& want : status.model_calls) {
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

/// Returns true if a leave notice waits for this router to confirm a revision. A router that has confirmed it
/// isn't requested to do so again: otherwise its status would trigger an update and the update a status,
/// endlessly.
bool ServiceControlImpl::awaitsConfirmation(const wire::CallRouterStatus& status) const {
  return std::any_of(notices_.all().begin(), notices_.all().end(), [&](const LeaveNotice& notice) {
    return notice.revision && !leader_->feed.holds(status, *notice.revision);
  });
}

bool ServiceControlImpl::hasPendingChanges() const {
  return leader_->push_to_all || registry_.changes() != leader_->pushed_changes ||
         node_->hosted().catalog().version != leader_->pushed_version ||
         leader_->placer.loadsBegun() != leader_->pushed_loads || leader_->tables.hasDue();
}

/// Sends one round of updates. In a small fleet all routers get each change at once. In a large fleet rounds
/// have a bounded size and are followed by a pause in proportion to it, so that the leader's work for updates
/// stays bounded and no round delays its heartbeats. Urgent changes go to all routers; others go to routers
/// whose status requires an update and to those whose calls wait for a model. The remaining routers get the
/// changes, and updates that were lost, after their next status. Routers that don't fit into a round get
/// their update in the next one.
void ServiceControlImpl::pushTables(TimePoint now) {
  const bool has_changes = hasPendingChanges();
  if (!has_changes && !hasQueuedUpdates()) {
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
  if (has_changes) {
    queueUpdates();
  }
  std::size_t sent = 0;
  std::size_t entries = 0;
  while (!large || (sent < kMaxUpdatesPerRound && entries < kMaxEntriesPerRound)) {
    const std::optional<NodeName> router = takeNextRouter();
    if (!router) {
      break;
    }
    const auto record = directory_.routers().find(*router);
    if (record != directory_.routers().end() && isReachable(record->second, now)) {
      entries += sendUpdate(record->second.status, now);
      ++sent;
    }
  }
  const Duration for_updates = kPausePerUpdate * static_cast<std::int64_t>(sent);
  const Duration for_entries = kPausePerEntry * static_cast<std::int64_t>(entries);
  leader_->next_push = now + std::max<Duration>({kPushInterval, for_updates, for_entries});
}

bool ServiceControlImpl::hasQueuedUpdates() const {
  return !leader_->urgent_updates.empty() || !leader_->regular_updates.empty();
}

/// Queues updates with the changes since the last round for all routers, or for those whose calls wait for
/// them.
void ServiceControlImpl::queueUpdates() {
  const CatalogVersion version = node_->hosted().catalog().version;
  const bool to_all = !isLargeFleet() || leader_->push_to_all || version != leader_->pushed_version;
  if (leader_->placer.loadsBegun() != leader_->pushed_loads) {
    leader_->tables.queueWaitingRouters();
  }
  leader_->push_to_all = false;
  leader_->pushed_changes = registry_.changes();
  leader_->pushed_loads = leader_->placer.loadsBegun();
  leader_->pushed_version = version;
  for (const NodeName& router : leader_->tables.takeDue()) {
    leader_->urgent_updates.add(router);
  }
  if (!to_all && leader_->has_subscriptions) {
    return;
  }
  for (const auto& [router, record] : directory_.routers()) {
    if (to_all || waitsForModel(record.status)) {
      leader_->regular_updates.add(router);
    }
  }
}

/// Returns the next router to update: routers with updates that calls or leave notices wait for come first.
std::optional<NodeName> ServiceControlImpl::takeNextRouter() {
  std::optional<NodeName> router = leader_->urgent_updates.take();
  if (router) {
    leader_->regular_updates.remove(*router);
    return router;
  }
  return leader_->regular_updates.take();
}

/// Updates for a router that is cut off would only occupy memory. A new leader also sends updates to routers
/// that it knows only from other members.
bool ServiceControlImpl::isReachable(const RouterRecord& record, TimePoint now) const {
  const bool announces = now - leader_->since < kAnnouncementPeriod;
  return announces || now - record.last_contact <= contactTimeout();
}

}  // namespace ferryrock::services
