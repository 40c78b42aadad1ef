#include "balance/fleet_load_aggregator.h"

#include <algorithm>
#include <cmath>

namespace ferryrock::balance {
namespace {

/// Routers report their load to the leader four times a second. Most streams of a router that hasn't reported
/// for this long have ended.
constexpr Duration kRouterTimeout = std::chrono::milliseconds(1500);
/// Time constant of the decay of the rate of sent prompt tokens (1/e). It is about the time for which a newly
/// placed stream runs alongside prompts that arrive later.
constexpr double kRateDecaySeconds = 2.0;
/// Many routers receive an update within a few milliseconds, so the aggregates are cached for this long.
constexpr Duration kLoadsCacheTtl = std::chrono::milliseconds(50);
/// Slowness changes over windows of several seconds, and computing it takes milliseconds with thousands of
/// replicas, so it is cached for this long.
constexpr Duration kSlownessCacheTtl = std::chrono::seconds(1);
constexpr double kMinRate = 1.0;
constexpr double kPercent = 100;

std::uint32_t nonNegative(std::int64_t value) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, value));
}

}  // namespace

void FleetLoadAggregator::accept(const wire::CallRouterStatus& status, TimePoint now) {
  decay(now);
  RouterReport& previous = routers_[status.router];
  add(previous.local_loads, -1);
  add(status.local_loads, 1);
  for (const wire::LocalReplicaLoad& use : status.local_loads) {
    sums_[use.replica].decaying_tokens += use.sent_tokens;
  }
  previous = {status.local_loads, now};
  gap_table_.accept(status.event_gaps, now);
}

void FleetLoadAggregator::add(const std::vector<wire::LocalReplicaLoad>& local_loads, std::int64_t sign) {
  for (const wire::LocalReplicaLoad& use : local_loads) {
    Sum& sum = sums_[use.replica];
    sum.streams += sign * use.streams;
    sum.pending_prefill_tokens += sign * use.pending_prefill_tokens;
  }
}

void FleetLoadAggregator::decay(TimePoint now) {
  const double passed = std::max(0.0, toSeconds(now - decayed_at_));
  decayed_at_ = now;
  const double kept = std::exp(-passed / kRateDecaySeconds);
  for (auto& [replica, sum] : sums_) {
    sum.decaying_tokens *= kept;
  }
}

void FleetLoadAggregator::expire(TimePoint now) {
  for (auto router = routers_.begin(); router != routers_.end();) {
    if (now - router->second.received_at > kRouterTimeout) {
      add(router->second.local_loads, -1);
      router = routers_.erase(router);
    } else {
      ++router;
    }
  }
  decay(now);
  gap_table_.expire(now);
  std::erase_if(sums_, [](const auto& item) {
    const Sum& sum = item.second;
    return sum.streams == 0 && sum.pending_prefill_tokens == 0 && sum.decaying_tokens < kMinRate;
  });
}

const std::map<std::uint32_t, double>& FleetLoadAggregator::slowness(TimePoint now) {
  if (now - slowness_computed_at_ >= kSlownessCacheTtl) {
    slowness_computed_at_ = now;
    slowness_ = gap_table_.slowness();
  }
  return slowness_;
}

std::vector<wire::ReplicaLoad> FleetLoadAggregator::loads(TimePoint now) {
  if (now - loads_computed_at_ < kLoadsCacheTtl) {
    return loads_;
  }
  loads_computed_at_ = now;
  decay(now);
  std::map<std::uint32_t, wire::ReplicaLoad> loads;
  for (const auto& [replica, sum] : sums_) {
    const double rate = sum.decaying_tokens / kRateDecaySeconds;
    if (sum.streams > 0 || rate >= kMinRate) {
      loads[replica] = {replica, nonNegative(sum.streams), nonNegative(sum.pending_prefill_tokens),
                        static_cast<std::uint32_t>(rate), 0};
    }
  }
  for (const auto& [replica, slowness] : slowness(now)) {
    wire::ReplicaLoad& load = loads[replica];
    load.replica = replica;
    load.slowness_percent = static_cast<std::uint32_t>(std::lround(slowness * kPercent));
  }
  loads_.clear();
  for (const auto& [replica, load] : loads) {
    loads_.push_back(load);
  }
  return loads_;
}

}  // namespace ferryrock::balance
