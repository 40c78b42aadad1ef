#include "calls/replica_table.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>

#include "balance/load_key.h"
#include "balance/slow_replica.h"
#include "common/hashing.h"
#include "wire/replica_incarnation.h"

namespace ferryrock::calls {
namespace {

/// Attempts of all routers that an affinity home may have in excess of the least loaded replica, as a share
/// of its batch size: with 6 routers and a batch size of 64, 6 attempts for each router.
constexpr double kHomeSurplusShare = 0.6;
/// Prompt tokens that are prefilled so quickly that they are ignored when comparing backlogs.
constexpr std::uint64_t kNegligiblePrefillTokens = 200;
/// Calls stay in the local zone if it has at least this many candidates.
constexpr std::ptrdiff_t kMinLocalCandidates = 4;
/// Backoff for a model that a replica reported as missing: initial value, maximum and growth factor.
constexpr Duration kMinMissingBackoff = std::chrono::milliseconds(40);
constexpr Duration kMaxMissingBackoff = std::chrono::milliseconds(640);
constexpr int kMissingBackoffFactor = 4;
/// The gap estimate rises by this fraction (1/200) of the difference to a longer gap.
constexpr int kGapRiseDivisor = 200;
/// A replica whose event gap is above the lowest one by more than this factor is slow. Prefill on a slow
/// replica lengthens the gaps of all its streams, so that faster replicas are preferred.
constexpr double kSlowGapRatio = 1.15;
/// Random spread of costs. Loads are a few hundred milliseconds old; without the spread, all routers would
/// send their calls to the same replica meanwhile.
constexpr double kCostRandomSpread = 0.25;
/// While a replica is being reopened after a backoff, waiting calls check it at this interval, and whenever
/// it accepts a call.
constexpr Duration kReopeningRecheckInterval = std::chrono::milliseconds(50);
/// Without a leader that grants credit, waiting calls check the local allowance under a replica's rate limit
/// at this interval.
constexpr Duration kLimitRecheckInterval = std::chrono::milliseconds(100);
/// Interval between two probes of an unreachable replica.
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
/// Number of relays in a row that couldn't connect to a replica before it counts as unreachable for all: one
/// alone may be partitioned itself.
constexpr std::uint32_t kMaxRelayFailures = 2;

std::uint64_t homeWeight(const Replica& replica, std::uint64_t key) {
  return stableHash(replica.routed.id.value, key);
}

}  // namespace

bool Replica::holds(const ModelName& model, const std::string& adapter) const {
  if (model.empty()) {
    return true;
  }
  return std::any_of(routed.held.begin(), routed.held.end(), [&](const wire::LoadedModel& held) {
    const bool adapter_there = adapter.empty() || std::find(held.adapters.begin(), held.adapters.end(),
                                                            adapter) != held.adapters.end();
    return held.model == model && adapter_there;
  });
}

/// The estimate drops to the shortest gap at once and rises slowly, since disturbances only lengthen a gap.
void Replica::recordGap(const ModelName& model, Duration gap) {
  Duration& estimate = event_gaps[model];
  estimate =
      estimate == Duration::zero() || gap < estimate ? gap : estimate + (gap - estimate) / kGapRiseDivisor;
}

void Replica::recordMeanGap(const ModelName& model, Duration gap) {
  const auto [unreported, inserted] = unreported_gaps.try_emplace(model, gap);
  unreported->second = inserted ? gap : std::min(unreported->second, gap);
}

Duration Replica::gapOf(const ModelName& model) const {
  const auto found = event_gaps.find(model);
  return found == event_gaps.end() ? Duration::zero() : found->second;
}

TimePoint Replica::missingUntil(const ModelName& model, const std::string& adapter) const {
  const auto found = missing.find({model, adapter});
  return found == missing.end() ? TimePoint{} : found->second.until;
}

void Replica::recordMissing(const ModelName& model, const std::string& adapter, TimePoint now) {
  MissingModel& missing_model = missing[{model, adapter}];
  missing_model.backoff = missing_model.backoff == Duration::zero()
                              ? kMinMissingBackoff
                              : std::min(kMaxMissingBackoff, missing_model.backoff * kMissingBackoffFactor);
  missing_model.until = now + missing_model.backoff;
}

void ReplicaTable::apply(const wire::ServiceUpdate& update, TimePoint now) {
  std::set<ReplicaId> listed_ids;
  for (const wire::RoutedReplica& routed : update.replicas) {
    if (!followIncarnation(routed.id)) {
      continue;
    }
    const auto [entry, inserted] = replicas_.try_emplace(routed.id);
    Replica& replica = entry->second;
    if (!inserted && !replica.routed.accepting && routed.accepting) {
      notices_.reopen(routed.id, now);
    }
    const bool same = !inserted && subscribed_ && replica.routed == routed;
    if (inserted || replica.routed.slow_start_ms != routed.slow_start_ms) {
      replica.slow_until = now + std::chrono::milliseconds(routed.slow_start_ms);
    }
    if (routed.limit_ended && !replica.routed.limit_ended) {
      limits_.onLeaderLimitEnd(routed.id);
    }
    replica.routed = routed;
    replica.load_key = balance::loadKey(routed.id.value);
    if (!same) {
      replica.missing.clear();
    }
    replica.listed = true;
    if (routed.calls_per_second) {
      limits_.onLeaderLimit(routed.id, *routed.calls_per_second, now);
    }
    by_service_[routed.service].insert(routed.id);
    listed_ids.insert(routed.id);
  }
  std::vector<ReplicaId> gone = update.removed;
  if (update.base == LogIndex{} && update.complete) {
    for (const auto& [id, replica] : replicas_) {
      if (!listed_ids.contains(id)) {
        gone.push_back(id);
      }
    }
  }
  for (const ReplicaId& id : gone) {
    // A leader that doesn't know the replica may name it without the start time of its incarnation.
    const auto incarnation = incarnations_.find(id.value);
    unlist(incarnation == incarnations_.end() ? id : ReplicaId(incarnation->second));
  }
}

/// A new leader may list the current incarnation long before it knows that the previous one has ended.
bool ReplicaTable::followIncarnation(const ReplicaId& id) {
  const std::uint64_t born = wire::replicaStartMs(id);
  if (born == 0) {
    return true;
  }
  const std::string name = wire::replicaName(id);
  const auto known = incarnations_.find(name);
  if (known != incarnations_.end() && wire::replicaStartMs(known->second) > born) {
    return false;
  }
  if (known != incarnations_.end() && known->second != id) {
    const ReplicaId former = known->second;
    unlist(former);
    notices_.forget(former);
    limits_.forget(former);
    brittle_.forget(former);
  }
  incarnations_[name] = id;
  return true;
}

void ReplicaTable::unlist(const ReplicaId& id) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) {
    return;
  }
  found->second.listed = false;
  const auto incarnation = incarnations_.find(wire::replicaName(id));
  if (incarnation != incarnations_.end() && incarnation->second == id) {
    incarnations_.erase(incarnation);
  }
  by_service_[found->second.routed.service].erase(id);
  if (found->second.outstanding == 0) {
    to_probe_.erase(id);
    replicas_.erase(found);
  }
}

Replica* ReplicaTable::find(const ReplicaId& id) {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

const Replica* ReplicaTable::findByAddress(const std::string& address) const {
  const auto found = std::find_if(replicas_.begin(), replicas_.end(), [&address](const auto& item) {
    return item.second.listed && item.second.routed.address == address;
  });
  return found == replicas_.end() ? nullptr : &found->second;
}

/// Keeps the matching options, or all of them if none matches.
void ReplicaTable::keepIf(Options& options, const std::function<bool(const Replica&)>& matches) {
  Options kept;
  std::copy_if(options.begin(), options.end(), std::back_inserter(kept),
               [&matches](const Replica* option) { return matches(*option); });
  if (!kept.empty()) {
    options = std::move(kept);
  }
}

Choice ReplicaTable::choose(const ReplicaNeed& need, TimePoint now) {
  Options options;
  Options relayed_options;
  Choice none;
  none.failure = subscribed_ && !need.model.empty() ? ChoiceFailure::NotHeld : ChoiceFailure::NoReplica;
  const auto exclude = [&none](ChoiceFailure failure, TimePoint until) {
    none.failure = std::max(none.failure, failure);
    none.recheck_at = std::min(none.recheck_at.value_or(until), until);
  };
  for (const ReplicaId& id : by_service_[need.service]) {
    Replica& replica = replicas_.at(id);
    // A notice to this router overrides the leader's list, which may be older.
    if (!replica.listed || !replica.routed.accepting || notices_.isLeaving(id) ||
        (need.source && !need.source->mayContinueAt(replica.routed))) {
      continue;
    }
    const TimePoint missing_until = replica.missingUntil(need.model, need.adapter);
    if (!replica.holds(need.model, need.adapter)) {
      none.failure = std::max(none.failure, ChoiceFailure::NotHeld);
    } else if (!reachedDirectly(replica, now) && !reachedByRelay(replica, now)) {
      none.unreachable = true;
      exclude(need.model.empty() ? ChoiceFailure::NoReplica : ChoiceFailure::NotHeld,
              retryTime(replica, now));
    } else if (now < missing_until) {
      exclude(ChoiceFailure::NotHeld, missing_until);
    } else if (const auto closed_until = notices_.closedUntil(id, now)) {
      exclude(ChoiceFailure::Backoff, *closed_until);
      none.opens_at = std::min(none.opens_at.value_or(*closed_until), *closed_until);
    } else if (now < replica.refused_until) {
      exclude(ChoiceFailure::Refusing, replica.refused_until);
    } else if (!notices_.admits(id, now)) {
      exclude(ChoiceFailure::Refusing, now + kReopeningRecheckInterval);
    } else if (const auto full_until = brittle_.closedUntil(id, replica.outstanding, now)) {
      exclude(ChoiceFailure::Refusing, *full_until);
    } else if (need.credit != id && !limits_.admits(id, now)) {
      exclude(ChoiceFailure::Limited, now + kLimitRecheckInterval);
      none.limited.push_back(id);
    } else {
      (reachedDirectly(replica, now) ? options : relayed_options).push_back(&replica);
    }
  }
  const auto promising = [&need, now](const Replica* option) {
    return option->health.admits(now) && !need.tried.contains(option->routed.id);
  };
  const bool relay =
      options.empty() || (std::none_of(options.begin(), options.end(), promising) &&
                          std::any_of(relayed_options.begin(), relayed_options.end(), promising));
  Options& used = relay ? relayed_options : options;
  if (used.empty()) {
    return none;
  }
  Choice choice = chooseAmong(std::move(used), need, now);
  choice.relayed = relay;
  choice.limited = std::move(none.limited);
  return choice;
}

Choice ReplicaTable::chooseAmong(Options options, const ReplicaNeed& need, TimePoint now) {
  keepIf(options, [now](const Replica& replica) { return replica.health.admits(now); });
  // A replica that has just started has no calls, so that all routers together would overload it.
  keepIf(options, [now](const Replica& replica) { return now >= replica.slow_until; });
  // Spare credits are few and expire if the next call doesn't use them.
  keepIf(options, [&](const Replica& replica) { return limits_.hasSpareCredit(replica.routed.id, now); });
  if (need.trial) {
    keepIf(options, [&need](const Replica& replica) { return need.trial->owns(replica.routed.id); });
  }
  keepIf(options, [&need](const Replica& replica) { return !need.tried.contains(replica.routed.id); });
  ++turn_;
  if (!need.model.empty() && board_.isFresh(now) && isUneven(options)) {
    Choice choice;
    choice.replica = cheapest(options, need);
    choice.use = fleetLoad(*choice.replica);
    return choice;
  }
  Choice choice;
  choice.replica = leastLoaded(options, need);
  return choice;
}

/// While there are relays, no call tries a connection that failed: the router's probes do.
bool ReplicaTable::reachedDirectly(const Replica& replica, TimePoint now) const {
  return !isSuspect(replica) && (paths_.relayed ? !replica.probe_at : !replica.unreachable(now));
}

bool ReplicaTable::reachedByRelay(const Replica& replica, TimePoint now) const {
  return paths_.relayed && !paths_.not_relayed.contains(replica.routed.service) &&
         !replica.unreachableByRelay(now);
}

TimePoint ReplicaTable::retryTime(const Replica& replica, TimePoint now) {
  TimePoint earliest = TimePoint::max();
  for (const std::optional<TimePoint>& at : {replica.probe_at, replica.relay_retry_at}) {
    earliest = at && *at > now ? std::min(earliest, *at) : earliest;
  }
  return earliest == TimePoint::max() ? now + kProbeInterval : earliest;
}

bool ReplicaTable::serves(const Replica& replica, const ReplicaNeed& need, TimePoint now) const {
  return replica.listed && replica.routed.accepting && !notices_.isLeaving(replica.routed.id) &&
         (!need.source || need.source->mayContinueAt(replica.routed)) &&
         (reachedDirectly(replica, now) || reachedByRelay(replica, now)) &&
         replica.holds(need.model, need.adapter);
}

bool ReplicaTable::anyHolds(const ReplicaNeed& need, TimePoint now) const {
  const auto ids = by_service_.find(need.service);
  return ids != by_service_.end() && std::any_of(ids->second.begin(), ids->second.end(), [&](const auto& id) {
           return serves(replicas_.at(id), need, now) && !notices_.closedUntil(id, now) &&
                  !limits_.isLimited(id);
         });
}

std::optional<TimePoint> ReplicaTable::opensAt(const ReplicaNeed& need, TimePoint now) const {
  std::optional<TimePoint> opens;
  const auto ids = by_service_.find(need.service);
  if (ids == by_service_.end()) {
    return opens;
  }
  for (const ReplicaId& id : ids->second) {
    if (!serves(replicas_.at(id), need, now)) {
      continue;
    }
    const auto closed_until = notices_.closedUntil(id, now);
    if (!closed_until) {
      return std::nullopt;
    }
    opens = std::min(opens.value_or(*closed_until), *closed_until);
  }
  return opens;
}

std::vector<ReplicaId> ReplicaTable::unreachable(TimePoint now) const {
  std::vector<ReplicaId> ids;
  for (const auto& [id, replica] : replicas_) {
    if (replica.listed && replica.unreachable(now) && !isSuspect(replica)) {
      ids.push_back(id);
    }
  }
  return ids;
}

const Replica* ReplicaTable::takeProbe(TimePoint now) {
  for (const ReplicaId& id : to_probe_) {
    Replica& replica = replicas_.at(id);
    if (replica.listed && now >= *replica.probe_at) {
      replica.probe_at = now + kProbeInterval;
      return &replica;
    }
  }
  if (paths_.suspect.empty() || replicas_.empty()) {
    return nullptr;
  }
  // The connections are in doubt, although none has failed so far.
  auto next = replicas_.upper_bound(last_probed_);
  next = next == replicas_.end() ? replicas_.begin() : next;
  last_probed_ = next->first;
  const Replica& replica = next->second;
  return replica.listed && !replica.probe_at && isSuspect(replica) ? &replica : nullptr;
}

TimePoint ReplicaTable::nextProbe() const {
  TimePoint next = TimePoint::max();
  for (const ReplicaId& id : to_probe_) {
    next = std::min(next, *replicas_.at(id).probe_at);
  }
  return next;
}

/// Keeps replicas whose event gap isn't much above the lowest one. Replicas without an estimate are kept.
void ReplicaTable::keepSmallGaps(Options& options, const ModelName& model) {
  Duration best = Duration::max();
  for (const Replica* option : options) {
    const Duration estimate = option->gapOf(model);
    best = estimate > Duration::zero() ? std::min(best, estimate) : best;
  }
  if (best == Duration::max()) {
    return;
  }
  const auto slow = static_cast<Duration::rep>(static_cast<double>(best.count()) * kSlowGapRatio);
  keepIf(options, [&](const Replica& option) { return option.gapOf(model).count() <= slow; });
}

/// A router sees only its own attempts. With many routers and small engines, its share of the permitted
/// surplus is less than one attempt; if the routers shared a home then, that replica would get all the calls.
std::uint32_t ReplicaTable::homeSurplus(const Replica& replica) const {
  return static_cast<std::uint32_t>(kHomeSurplusShare * replica.routed.slots / std::max(1U, routers_));
}

/// Applies these criteria in order: lowest prefill backlog, since each prefill delays the streams beside it;
/// low event gap; the local zone if it has enough candidates; the home of the affinity key; fewest calls.
Replica* ReplicaTable::leastLoaded(Options options, const ReplicaNeed& need) const {
  std::uint64_t least_unread = std::numeric_limits<std::uint64_t>::max();
  for (const Replica* option : options) {
    least_unread = std::min(least_unread, option->pending_prefill_tokens);
  }
  keepIf(options, [&](const Replica& option) {
    return option.pending_prefill_tokens <= least_unread + kNegligiblePrefillTokens;
  });
  keepSmallGaps(options, need.model);
  const auto local = std::count_if(options.begin(), options.end(),
                                   [this](const Replica* option) { return option->routed.zone == zone_; });
  if (local >= kMinLocalCandidates) {
    keepIf(options, [this](const Replica& option) { return option.routed.zone == zone_; });
  }
  std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
  for (const Replica* option : options) {
    least = std::min(least, option->outstanding);
  }
  const auto rank = [&](const Replica& replica) {
    const std::uint32_t surplus = homeSurplus(replica);
    const bool home_allowed = need.affinity_key != 0 && replica.outstanding <= least + surplus;
    // A home that is specific to this router spreads the calls of all routers and still reuses kept
    // connections.
    const std::uint64_t key = surplus > 0 ? need.affinity_key : need.affinity_key ^ local_home_salt_;
    const std::uint64_t home = home_allowed ? homeWeight(replica, key) : 0;
    const bool other_zone = replica.routed.zone != zone_;
    return std::make_tuple(~home, replica.outstanding, other_zone, homeWeight(replica, turn_));
  };
  return *std::min_element(
      options.begin(), options.end(),
      [&rank](const Replica* left, const Replica* right) { return rank(*left) < rank(*right); });
}

bool ReplicaTable::isUneven(const Options& options) const {
  return options.size() > 1 && std::any_of(options.begin(), options.end(), [this](const Replica* option) {
           return board_.slowness(option->load_key) >= balance::kSlowReplicaThreshold;
         });
}

balance::FleetLoad ReplicaTable::fleetLoad(const Replica& replica) const {
  return board_.estimateLoad(replica.load_key, {replica.outstanding, replica.pending_prefill_tokens});
}

Replica* ReplicaTable::cheapest(const Options& options, const ReplicaNeed& need) const {
  const Replica* home = nullptr;
  if (need.affinity_key != 0) {
    home =
        *std::max_element(options.begin(), options.end(), [&need](const Replica* left, const Replica* right) {
          return homeWeight(*left, need.affinity_key) < homeWeight(*right, need.affinity_key);
        });
  }
  const balance::CallShape call{static_cast<double>(need.prompt_tokens),
                                static_cast<double>(need.shared_tokens), toSeconds(need.stream_duration)};
  Replica* best = nullptr;
  double least = 0;
  for (Replica* option : options) {
    const balance::CallCandidate candidate{fleetLoad(*option), option == home, option->routed.zone != zone_};
    const double drawn = static_cast<double>(homeWeight(*option, turn_)) /
                         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double cost = balance::callCost(call, candidate) * (1 + kCostRandomSpread * drawn);
    if (best == nullptr || cost < least) {
      best = option;
      least = cost;
    }
  }
  return best;
}

std::vector<wire::LocalReplicaLoad> ReplicaTable::takeLocalLoads() {
  std::vector<wire::LocalReplicaLoad> local_loads;
  for (auto& [id, replica] : replicas_) {
    const std::uint64_t sent = std::exchange(replica.sent_tokens, 0);
    const bool reached = std::exchange(replica.reached, false);
    if (replica.outstanding > 0 || sent > 0 || reached) {
      local_loads.push_back({replica.load_key, replica.outstanding,
                             static_cast<std::uint32_t>(replica.pending_prefill_tokens),
                             static_cast<std::uint32_t>(sent), reached});
    }
  }
  board_.onReported(local_loads);
  return local_loads;
}

std::vector<wire::ObservedEventGap> ReplicaTable::takeEventGaps() {
  std::vector<wire::ObservedEventGap> event_gaps;
  for (auto& [id, replica] : replicas_) {
    for (const auto& [model, gap] : std::exchange(replica.unreported_gaps, {})) {
      const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(gap).count();
      event_gaps.push_back(
          {replica.load_key, balance::loadKey(model.value), static_cast<std::uint32_t>(microseconds)});
    }
  }
  return event_gaps;
}

std::optional<ReplicaNotices::Reopening> ReplicaTable::onSent(Replica& replica, TimePoint now) {
  brittle_.onSent(replica.routed.id, replica.outstanding, now);
  ++replica.outstanding;
  if (replica.probe_at) {
    replica.probe_at = now + kProbeInterval;
  }
  replica.health.onDispatched(now);
  return notices_.onSent(replica.routed.id, now);
}

void ReplicaTable::onUnreachable(Replica& replica, TimePoint now) {
  replica.probe_at = now + kProbeInterval;
  to_probe_.insert(replica.routed.id);
}

void ReplicaTable::onUnreachableByRelay(Replica& replica, TimePoint now) {
  if (++replica.relay_failures >= kMaxRelayFailures) {
    replica.relay_failures = 0;
    replica.relay_retry_at = now + kProbeInterval;
  }
}

bool ReplicaTable::onProgress(Replica& replica, TimePoint now) {
  replica.health.onProgress(now);
  replica.reached = true;
  to_probe_.erase(replica.routed.id);
  return std::exchange(replica.probe_at, std::nullopt).has_value();
}

bool ReplicaTable::onRelayedProgress(Replica& replica, TimePoint now) {
  replica.health.onProgress(now);
  replica.reached = true;
  replica.relay_failures = 0;
  return std::exchange(replica.relay_retry_at, std::nullopt).has_value();
}

void ReplicaTable::onReleased(Replica& replica) {
  replica.outstanding -= replica.outstanding > 0 ? 1 : 0;
  replica.health.onReleased();
  if (!replica.listed && replica.outstanding == 0) {
    to_probe_.erase(replica.routed.id);
    replicas_.erase(replica.routed.id);
  }
}

}  // namespace ferryrock::calls
