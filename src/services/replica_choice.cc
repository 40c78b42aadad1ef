#include "services/replica_choice.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "common/hashing.h"

namespace ferryrock::services {
namespace {

using Ranked = std::pair<std::uint64_t, const IndexedReplica*>;

/// Finalizer of a 64-bit hash: each bit of the input flips half of the bits of the result on average.
std::uint64_t mixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// Keeps the `count` elements of lowest rank.
void keepLowestRanked(std::vector<Ranked>& ranked, std::size_t count) {
  if (ranked.size() > count) {
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(ranked.begin(), end, ranked.end());
    ranked.erase(end, ranked.end());
  }
}

bool orderedById(const IndexedReplica* left, const IndexedReplica* right) {
  return left->routed.id < right->routed.id;
}

}  // namespace

/// Builds the subset for one router.
class ReplicaChoice::Draw {
 public:
  Draw(const ReplicaIndex& index, const wire::CallRouterStatus& status)
      : index_(index), zone_(status.zone), router_hash_(stableHash(status.router.value)) {}

  void addGroup(const ModelKey& key) {
    if (!added_groups_.insert(key).second) {
      return;
    }
    std::vector<Ranked> own;
    std::vector<Ranked> others;
    for (const IndexedReplica* replica : index_.find(key)) {
      const std::uint64_t rank = mixBits(replica->name_hash ^ router_hash_);
      (replica->routed.zone == zone_ ? own : others).emplace_back(rank, replica);
    }
    keepLowestRanked(others, kMaxPerGroup - std::min(own.size(), kMaxFromOwnZone));
    keepLowestRanked(own, kMaxFromOwnZone);
    add(own);
    add(others);
  }

  std::vector<const IndexedReplica*> take() {
    std::sort(chosen_.begin(), chosen_.end(), orderedById);
    chosen_.erase(std::unique(chosen_.begin(), chosen_.end()), chosen_.end());
    return std::move(chosen_);
  }

 private:
  void add(const std::vector<Ranked>& ranked) {
    for (const auto& [rank, replica] : ranked) {
      chosen_.push_back(replica);
    }
  }

  const ReplicaIndex& index_;
  ZoneName zone_;
  std::uint64_t router_hash_;
  std::set<ModelKey> added_groups_;
  std::vector<const IndexedReplica*> chosen_;
};

std::vector<const IndexedReplica*> ReplicaChoice::choose(
    const wire::CallRouterStatus& status, const std::vector<ServiceName>& plain_services) const {
  Draw draw(index_, status);
  for (const ServiceName& service : plain_services) {
    draw.addGroup({service, {}, {}});
  }
  std::size_t looked_up = 0;
  const auto addInterest = [&](const auto& interest) {
    if (++looked_up > kMaxInterests) {
      return;
    }
    draw.addGroup({interest.service, interest.model, {}});
    if (!interest.adapter.empty()) {
      draw.addGroup({interest.service, interest.model, interest.adapter});
    }
  };
  for (const wire::ModelCallCounts& counts : status.model_calls) {
    addInterest(counts);
  }
  for (const wire::ModelInterest& interest : status.interests) {
    addInterest(interest);
  }
  return draw.take();
}

}  // namespace ferryrock::services
