#include "balance/fleet_load_view.h"

#include <algorithm>

namespace ferryrock::balance {
namespace {

/// Maximum age of the aggregates. They are published about every 0.4 s. A stream lasts about 2 s on average,
/// so older aggregates describe streams that have ended.
constexpr Duration kMaxLoadsAge = std::chrono::milliseconds(2500);
/// Retention of a replica's slowness after its last update. Replicas stay slow for long, and a new
/// incarnation has another key.
constexpr Duration kSlownessTtl = std::chrono::seconds(60);
constexpr double kPercent = 100;

}  // namespace

void FleetLoadView::onReported(const std::vector<wire::LocalReplicaLoad>& local_loads) {
  reported_.clear();
  for (const wire::LocalReplicaLoad& use : local_loads) {
    reported_[use.replica] = use;
  }
}

void FleetLoadView::accept(const std::vector<wire::ReplicaLoad>& loads, TimePoint now) {
  loads_.clear();
  for (const wire::ReplicaLoad& load : loads) {
    loads_[load.replica] = load;
    if (load.slowness_percent > 0) {
      speeds_[load.replica] = {load.slowness_percent / kPercent, now};
    }
  }
  std::erase_if(speeds_, [now](const auto& item) { return now - item.second.updated_at > kSlownessTtl; });
  accepted_ = now;
}

bool FleetLoadView::isFresh(TimePoint now) const {
  return accepted_ && now - *accepted_ <= kMaxLoadsAge;
}

std::optional<Duration> FleetLoadView::age(TimePoint now) const {
  return accepted_ ? std::optional(now - *accepted_) : std::nullopt;
}

double FleetLoadView::slowness(std::uint32_t replica) const {
  const auto speed = speeds_.find(replica);
  return speed == speeds_.end() ? 1 : std::max(1.0, speed->second.slowness);
}

FleetLoad FleetLoadView::estimateLoad(std::uint32_t replica, const LocalLoad& own) const {
  FleetLoad use;
  use.slowness = slowness(replica);
  const auto load = loads_.find(replica);
  const auto reported = reported_.find(replica);
  if (load != loads_.end()) {
    use.streams = load->second.streams;
    use.pending_prefill_tokens = load->second.pending_prefill_tokens;
    use.tokens_per_s = load->second.tokens_per_s;
  }
  if (reported != reported_.end()) {
    use.streams -= reported->second.streams;
    use.pending_prefill_tokens -= reported->second.pending_prefill_tokens;
  }
  use.streams = std::max(0.0, use.streams) + own.streams;
  use.pending_prefill_tokens =
      std::max(0.0, use.pending_prefill_tokens) + static_cast<double>(own.pending_prefill_tokens);
  return use;
}

}  // namespace ferryrock::balance
