#include "router/replica_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <utility>

#include "common/hashing.h"

namespace ferryrock::router {
namespace {

constexpr std::size_t kRememberedSessions = 65'536;
/// Utilization of the own zone's least loaded replica at which requests spill over to other zones.
constexpr double kSpillOverUtilization = 0.75;
/// A prefix's home is taken while no report shows it full, and its load is at most the least load plus this
/// part of the concurrency.
constexpr double kWarmAllowance = 0.25;
/// Homes of a prompt prefix: the less loaded one is taken, so that a hot prefix has two replicas.
constexpr std::size_t kHomes = 2;
/// A session goes on with its replica up to this multiple of the concurrency; the engine queues the rest.
constexpr double kSessionAllowance = 2.0;
/// A replica counts as slower than the fastest by this factor at most, so that it goes on being measured.
constexpr double kMostSlowness = 4.0;

/// Each prompt prefix has its homes among the replicas, those of the highest ranks, the same at each router.
std::uint64_t homeRank(std::uint64_t prefix_key, SlotId slot) {
  const std::string_view bytes(reinterpret_cast<const char*>(&slot.value), sizeof(slot.value));
  return stableHash(bytes, prefix_key);
}

template <class Predicate>
void keepIfAny(auto& options, Predicate wanted) {
  if (std::any_of(options.begin(), options.end(), wanted)) {
    std::erase_if(options, [&wanted](const auto& option) { return !wanted(option); });
  }
}

}  // namespace

std::optional<SlotId> RecentReplicas::find(std::uint64_t key) {
  const auto position = slots_.find(key);
  if (position == slots_.end()) {
    return std::nullopt;
  }
  order_.splice(order_.begin(), order_, position->second);
  return position->second->second;
}

void RecentReplicas::remember(std::uint64_t key, SlotId slot) {
  const auto position = slots_.find(key);
  if (position != slots_.end()) {
    position->second->second = slot;
    order_.splice(order_.begin(), order_, position->second);
    return;
  }
  order_.emplace_front(key, slot);
  slots_[key] = order_.begin();
  if (slots_.size() > capacity_) {
    slots_.erase(order_.back().first);
    order_.pop_back();
  }
}

ReplicaSelector::ReplicaSelector(ReplicaPool& pool, ZoneName zone, std::unique_ptr<BalancingPolicy> policy,
                                 Random random)
    : pool_(pool),
      zone_(std::move(zone)),
      policy_(std::move(policy)),
      random_(std::move(random)),
      sessions_(kRememberedSessions) {}

std::optional<SlotId> ReplicaSelector::select(const wire::RouteEntry& entry, const SelectionRequest& request,
                                              TimePoint now) {
  if (const auto own = sessionReplica(entry, request, now)) {
    return own;
  }
  Options options = eligible(entry, now);
  if (options.empty()) {
    return std::nullopt;
  }
  preferHealthy(options, request);
  preferUntried(options, request);
  preferOwnZone(options);
  if (const auto warm = warmReplica(options, request, entry.settings.concurrency, now)) {
    return warm;
  }
  std::vector<Candidate> candidates;
  candidates.reserve(options.size());
  for (const auto& option : options) {
    candidates.push_back(option.candidate);
  }
  return candidates[policy_->choose(candidates, random_)].slot;
}

double ReplicaSelector::largestWeight(const wire::RouteEntry& entry, TimePoint now) const {
  double largest = 0;
  for (const auto& endpoint : entry.replicas) {
    const Replica* replica = std::as_const(pool_).find(endpoint.slot);
    if (replica != nullptr && servesName(endpoint, entry.settings) && pool_.takesNew(*replica, now)) {
      largest = std::max(largest, slowStartWeight(*replica, now));
    }
  }
  return largest;
}

ReplicaSelector::Options ReplicaSelector::eligible(const wire::RouteEntry& entry, TimePoint now) const {
  Options options;
  const double concurrency = std::max<std::uint32_t>(1, entry.settings.concurrency);
  const double whole = largestWeight(entry, now);
  for (const auto& endpoint : entry.replicas) {
    const Replica* replica = std::as_const(pool_).find(endpoint.slot);
    if (replica == nullptr || !servesName(endpoint, entry.settings) || !pool_.takesNew(*replica, now)) {
      continue;
    }
    if (!replica->health.admits(now) || now < replica->full_until) {
      continue;
    }
    const double weight = slowStartWeight(*replica, now) / whole;
    // Slow start steers requests to others while those have places; it keeps none waiting.
    const double limit = concurrency;
    if (replica->outstanding >= limit) {
      continue;
    }
    const double load = estimatedLoad(*replica, entry.settings.concurrency, now);
    options.push_back(Option{Candidate{endpoint.slot, load, weight}, replica, limit});
  }
  compareSpeeds(options, now);
  return options;
}

double ReplicaSelector::loadOf(const Option& option) {
  return option.candidate.load * option.candidate.slowness;
}

void ReplicaSelector::compareSpeeds(Options& options, TimePoint now) {
  double fastest = std::numeric_limits<double>::infinity();
  for (const auto& option : options) {
    fastest = std::min(fastest, option.replica->speed.secondsPerChunk(now).value_or(fastest));
  }
  if (!std::isfinite(fastest) || fastest <= 0) {
    return;
  }
  for (auto& option : options) {
    const double own = option.replica->speed.secondsPerChunk(now).value_or(fastest);
    option.candidate.slowness = std::clamp(own / fastest, 1.0, kMostSlowness);
  }
}

std::optional<SlotId> ReplicaSelector::sessionReplica(const wire::RouteEntry& entry,
                                                      const SelectionRequest& request, TimePoint now) {
  if (request.session_key == 0) {
    return std::nullopt;
  }
  const auto slot = sessions_.find(request.session_key);
  if (!slot || request.tried.contains(*slot)) {
    return std::nullopt;
  }
  const bool serves = std::any_of(entry.replicas.begin(), entry.replicas.end(), [&](const auto& endpoint) {
    return endpoint.slot == *slot && servesName(endpoint, entry.settings);
  });
  const Replica* replica = std::as_const(pool_).find(*slot);
  if (!serves || replica == nullptr || !pool_.takesNew(*replica, now)) {
    return std::nullopt;
  }
  if (replica->health.ejected() || !replica->health.admits(now) || now < replica->full_until) {
    return std::nullopt;
  }
  const double limit = std::max<std::uint32_t>(1, entry.settings.concurrency) * kSessionAllowance;
  return replica->outstanding < limit ? slot : std::nullopt;
}

void ReplicaSelector::preferHealthy(Options& options, const SelectionRequest& request) const {
  if (request.repeatable) {
    return;
  }
  keepIfAny(options, [](const Option& option) { return !option.replica->health.ejected(); });
}

void ReplicaSelector::preferUntried(Options& options, const SelectionRequest& request) const {
  keepIfAny(options, [&](const Option& option) { return !request.tried.contains(option.candidate.slot); });
  keepIfAny(options, [&](const Option& option) {
    return !request.failed_zones.contains(option.replica->endpoint.zone);
  });
}

void ReplicaSelector::preferOwnZone(Options& options) const {
  keepIfAny(options, [&](const Option& option) {
    return option.replica->endpoint.zone == zone_ && loadOf(option) / option.limit < kSpillOverUtilization;
  });
}

std::optional<SlotId> ReplicaSelector::warmReplica(const Options& options, const SelectionRequest& request,
                                                   std::uint32_t concurrency, TimePoint now) {
  if (request.prefix_key == 0) {
    return std::nullopt;
  }
  std::vector<std::pair<std::uint64_t, const Option*>> homes;
  double least = std::numeric_limits<double>::infinity();
  for (const auto& option : options) {
    homes.emplace_back(homeRank(request.prefix_key, option.candidate.slot), &option);
    least = std::min(least, loadOf(option));
  }
  const std::size_t count = std::min(kHomes, homes.size());
  std::partial_sort(homes.begin(), homes.begin() + static_cast<std::ptrdiff_t>(count), homes.end(),
                    [](const auto& left, const auto& right) { return left.first > right.first; });
  const Option* warm = homes[0].second;
  for (std::size_t home = 1; home < count; ++home) {
    warm = loadOf(*homes[home].second) < loadOf(*warm) ? homes[home].second : warm;
  }
  const double allowance = std::max(1.0, warm->limit * kWarmAllowance);
  if (reportedFull(*warm->replica, concurrency, now) || loadOf(*warm) > least + allowance) {
    return std::nullopt;
  }
  return warm->candidate.slot;
}

void ReplicaSelector::onDispatched(const SelectionRequest& request, SlotId slot) {
  if (request.session_key != 0) {
    const auto bound = sessions_.find(request.session_key);
    const bool alive = bound && std::as_const(pool_).find(*bound) != nullptr;
    if (!alive || request.tried.contains(*bound)) {
      sessions_.remember(request.session_key, slot);
    }
  }
}

}  // namespace ferryrock::router
