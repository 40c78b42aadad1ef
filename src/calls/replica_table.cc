#include "calls/replica_table.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>

#include "common/hashing.h"

namespace ferryrock::calls {
namespace {

/// Attempts that an affinity key's home may have beyond the least loaded replica.
constexpr std::uint32_t kHomeSurplus = 6;
/// Prompt tokens that are read so soon that they don't matter.
constexpr std::uint64_t kReadAtOnce = 200;
/// Replicas of the own zone among which calls stay there.
constexpr std::ptrdiff_t kLocalChoices = 4;

std::uint64_t homeWeight(const Replica& replica, std::uint64_t key) {
  return stableHash(replica.routed.id.value, key);
}

}  // namespace

bool Replica::holds(const ModelName& model, const std::string& adapter) const {
  if (model.empty()) {
    return true;
  }
  return std::any_of(routed.held.begin(), routed.held.end(), [&](const wire::HeldModel& held) {
    const bool adapter_there = adapter.empty() || std::find(held.adapters.begin(), held.adapters.end(),
                                                            adapter) != held.adapters.end();
    return held.model == model && adapter_there;
  });
}

bool Replica::refuses(const ModelName& model, const std::string& adapter, TimePoint now) const {
  const auto missing = missing_until.find({model, adapter});
  return now < refused_until || (missing != missing_until.end() && now < missing->second);
}

void ReplicaTable::apply(const wire::ServiceUpdate& update) {
  std::set<ReplicaId> named;
  for (const wire::RoutedReplica& routed : update.replicas) {
    Replica& replica = replicas_[routed.id];
    replica.routed = routed;
    replica.listed = true;
    by_service_[routed.service].insert(routed.id);
    named.insert(routed.id);
  }
  std::vector<ReplicaId> gone = update.removed;
  if (update.base == LogIndex{} && update.complete) {
    for (const auto& [id, replica] : replicas_) {
      if (!named.contains(id)) {
        gone.push_back(id);
      }
    }
  }
  for (const ReplicaId& id : gone) {
    unlist(id);
  }
}

void ReplicaTable::unlist(const ReplicaId& id) {
  const auto found = replicas_.find(id);
  if (found == replicas_.end()) {
    return;
  }
  found->second.listed = false;
  by_service_[found->second.routed.service].erase(id);
  if (found->second.outstanding == 0) {
    replicas_.erase(found);
  }
}

Replica* ReplicaTable::find(const ReplicaId& id) {
  const auto found = replicas_.find(id);
  return found == replicas_.end() ? nullptr : &found->second;
}

/// Keeps the options that are wanted, or all if none is.
void ReplicaTable::keepIf(Options& options, const std::function<bool(const Replica&)>& wanted) {
  Options kept;
  std::copy_if(options.begin(), options.end(), std::back_inserter(kept),
               [&wanted](const Replica* option) { return wanted(*option); });
  if (!kept.empty()) {
    options = std::move(kept);
  }
}

Choice ReplicaTable::choose(const ReplicaNeed& need, TimePoint now) {
  Options options;
  bool any_accepting = false;
  bool any_holding = false;
  for (const ReplicaId& id : by_service_[need.service]) {
    Replica& replica = replicas_.at(id);
    if (!replica.listed || !replica.routed.accepting) {
      continue;
    }
    any_accepting = true;
    if (!replica.holds(need.model, need.adapter)) {
      continue;
    }
    any_holding = true;
    if (!replica.refuses(need.model, need.adapter, now)) {
      options.push_back(&replica);
    }
  }
  if (options.empty()) {
    const ChoiceFailure failure = !any_accepting ? ChoiceFailure::NoReplica
                                  : !any_holding ? ChoiceFailure::NotHeld
                                                 : ChoiceFailure::Refusing;
    return {nullptr, failure};
  }
  keepIf(options, [now](const Replica& replica) { return replica.health.admits(now); });
  keepIf(options, [&need](const Replica& replica) { return !need.tried.contains(replica.routed.id); });
  ++turn_;
  return {leastLoaded(options, need), ChoiceFailure::None};
}

bool ReplicaTable::anyHolds(const ReplicaNeed& need) const {
  const auto ids = by_service_.find(need.service);
  return ids != by_service_.end() && std::any_of(ids->second.begin(), ids->second.end(), [&](const auto& id) {
           const Replica& replica = replicas_.at(id);
           return replica.listed && replica.routed.accepting && replica.holds(need.model, need.adapter);
         });
}

/// First the replicas that read the least of other prompts just now, as each prompt holds up the streams
/// beside it; then the own zone where it has a choice; then the key's home; then the fewest calls.
Replica* ReplicaTable::leastLoaded(Options options, const ReplicaNeed& need) const {
  std::uint64_t least_unread = std::numeric_limits<std::uint64_t>::max();
  for (const Replica* option : options) {
    least_unread = std::min(least_unread, option->unread_tokens);
  }
  keepIf(options, [&](const Replica& option) { return option.unread_tokens <= least_unread + kReadAtOnce; });
  const auto local = std::count_if(options.begin(), options.end(),
                                   [this](const Replica* option) { return option->routed.zone == zone_; });
  if (local >= kLocalChoices) {
    keepIf(options, [this](const Replica& option) { return option.routed.zone == zone_; });
  }
  std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
  for (const Replica* option : options) {
    least = std::min(least, option->outstanding);
  }
  const auto rank = [&](const Replica& replica) {
    const bool home_allowed = need.affinity_key != 0 && replica.outstanding <= least + kHomeSurplus;
    const std::uint64_t home = home_allowed ? homeWeight(replica, need.affinity_key) : 0;
    const bool other_zone = replica.routed.zone != zone_;
    return std::make_tuple(~home, replica.outstanding, other_zone, homeWeight(replica, turn_));
  };
  return *std::min_element(
      options.begin(), options.end(),
      [&rank](const Replica* left, const Replica* right) { return rank(*left) < rank(*right); });
}

void ReplicaTable::onSent(Replica& replica, TimePoint now) {
  ++replica.outstanding;
  replica.health.onDispatched(now);
}

void ReplicaTable::onReleased(Replica& replica) {
  replica.outstanding -= replica.outstanding > 0 ? 1 : 0;
  replica.health.onReleased();
  if (!replica.listed && replica.outstanding == 0) {
    replicas_.erase(replica.routed.id);
  }
}

}  // namespace ferryrock::calls
