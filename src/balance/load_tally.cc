#include "balance/load_tally.h"

#include <algorithm>
#include <cmath>

namespace ferryrock::balance {
namespace {

/// Routers report their load to the leader four times a second. Most streams of a router that hasn't reported
/// for this long have ended.
constexpr Duration kHeard = std::chrono::milliseconds(1500);
/// Time constant of the decay of the rate of sent prompt tokens (1/e). It is about the time for which a newly
/// placed stream runs alongside prompts that arrive later.
constexpr double kRateSeconds = 2.0;
/// Many routers receive an update within a few milliseconds, so the aggregates are cached for this long.
constexpr Duration kLoadsLast = std::chrono::milliseconds(50);
/// Slowness changes over windows of several seconds, and computing it takes milliseconds with thousands of
/// replicas, so it is cached for this long.
constexpr Duration kSlownessLasts = std::chrono::seconds(1);
constexpr double kLeastRate = 1.0;
constexpr double kPercent = 100;

std::uint32_t counted(std::int64_t value) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, value));
}

}  // namespace

void LoadTally::accept(const wire::CallRouterStatus& status, TimePoint now) {
  fade(now);
  RouterUse& known = routers_[status.router];
  add(known.uses, -1);
  add(status.uses, 1);
  for (const wire::ReplicaUse& use : status.uses) {
    sums_[use.replica].fading_tokens += use.sent_tokens;
  }
  known = {status.uses, now};
  paces_.accept(status.paces, now);
}

void LoadTally::add(const std::vector<wire::ReplicaUse>& uses, std::int64_t sign) {
  for (const wire::ReplicaUse& use : uses) {
    Sum& sum = sums_[use.replica];
    sum.streams += sign * use.streams;
    sum.unread_tokens += sign * use.unread_tokens;
  }
}

void LoadTally::fade(TimePoint now) {
  const double passed = std::max(0.0, toSeconds(now - faded_));
  faded_ = now;
  const double kept = std::exp(-passed / kRateSeconds);
  for (auto& [replica, sum] : sums_) {
    sum.fading_tokens *= kept;
  }
}

void LoadTally::expire(TimePoint now) {
  for (auto router = routers_.begin(); router != routers_.end();) {
    if (now - router->second.heard > kHeard) {
      add(router->second.uses, -1);
      router = routers_.erase(router);
    } else {
      ++router;
    }
  }
  fade(now);
  paces_.expire(now);
  std::erase_if(sums_, [](const auto& item) {
    const Sum& sum = item.second;
    return sum.streams == 0 && sum.unread_tokens == 0 && sum.fading_tokens < kLeastRate;
  });
}

const std::map<std::uint32_t, double>& LoadTally::slowness(TimePoint now) {
  if (now - slowness_made_ >= kSlownessLasts) {
    slowness_made_ = now;
    slowness_ = paces_.slowness();
  }
  return slowness_;
}

std::vector<wire::ReplicaLoad> LoadTally::loads(TimePoint now) {
  if (now - loads_made_ < kLoadsLast) {
    return loads_;
  }
  loads_made_ = now;
  fade(now);
  std::map<std::uint32_t, wire::ReplicaLoad> loads;
  for (const auto& [replica, sum] : sums_) {
    const double rate = sum.fading_tokens / kRateSeconds;
    if (sum.streams > 0 || rate >= kLeastRate) {
      loads[replica] = {replica, counted(sum.streams), counted(sum.unread_tokens),
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
