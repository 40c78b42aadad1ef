#include "placement/keep_alive_policy.h"

#include <algorithm>
#include <cmath>

namespace ferryrock::placement {
namespace {

constexpr double kMaxColdStartWeight = 0.9999;
/// Time ahead within which an expected use counts towards the retention value of an idle replica.
constexpr double kRetentionHorizonSeconds = 3600;
/// A prewarm begins this many expected load durations before the expected use.
constexpr double kPrewarmMargin = 1.5;
/// Lower bound on the accelerator share by which prices are divided.
constexpr double kMinAcceleratorShare = 0.01;

/// Cumulative sums of a distribution up to each bin's upper edge.
struct Cumulative {
  std::vector<double> probability;  ///< of a gap below the edge
  std::vector<double> length;       ///< probability times length, below the edge
};

Cumulative cumulate(const GapDistribution& bins) {
  Cumulative sums{{0}, {0}};
  for (const GapBin& bin : bins) {
    sums.probability.push_back(sums.probability.back() + bin.probability);
    sums.length.push_back(sums.length.back() + bin.probability * bin.representativeSeconds());
  }
  return sums;
}

/// Returns edge n, the upper edge of bin n - 1; edge 0 is the beginning of the gap.
double edge(const GapDistribution& bins, std::size_t index) {
  return index == 0 ? 0 : bins[index - 1].high_seconds;
}

/// Searches the bin edges for the cheapest combination of a decision's keep-alive end, prewarm begin and
/// prewarm end.
class KeepAliveSearch {
 public:
  KeepAliveSearch(const GapDistribution& bins, const IdleModel& model)
      : bins_(bins),
        sums_(cumulate(bins)),
        price_(coldStartPrice(model)),
        accelerators_(model.accelerators),
        lead_(toSeconds(model.expected_load) * kPrewarmMargin) {}

  KeepAliveDecision best() const {
    double best_cost = std::numeric_limits<double>::infinity();
    KeepAliveDecision decision;
    for (std::size_t keep = 0; keep <= bins_.size(); ++keep) {
      const double kept = keptCost(0, 0, keep);
      const double cost_without = kept + price_ * survival(keep);
      if (cost_without < best_cost) {
        best_cost = cost_without;
        decision = {fromSeconds(edge(bins_, keep)), std::nullopt};
      }
      considerPrewarm(keep, kept, best_cost, decision);
    }
    return decision;
  }

 private:
  double survival(std::size_t index) const { return std::max(0.0, 1 - sums_.probability[index]); }

  /// Expected idle accelerator seconds of a replica that is held from the lead time before one edge until a
  /// later edge.
  double keptCost(std::size_t from, double lead, std::size_t until) const {
    const double begin = edge(bins_, from);
    const double ended = (sums_.length[until] - sums_.length[from]) -
                         begin * (sums_.probability[until] - sums_.probability[from]);
    const double outlived = (edge(bins_, until) - begin) * survival(until);
    return accelerators_ * (ended + outlived + lead * survival(from));
  }

  void considerPrewarm(std::size_t keep, double kept, double& best_cost, KeepAliveDecision& decision) const {
    for (std::size_t begin = keep + 1; begin < bins_.size(); ++begin) {
      if (edge(bins_, begin) - lead_ <= edge(bins_, keep)) {
        continue;
      }
      const double missed = price_ * (sums_.probability[begin] - sums_.probability[keep]);
      if (kept + missed >= best_cost) {
        break;
      }
      for (std::size_t end = begin + 1; end <= bins_.size(); ++end) {
        const double cost = kept + missed + keptCost(begin, lead_, end) + price_ * survival(end);
        if (cost < best_cost) {
          best_cost = cost;
          decision = {fromSeconds(edge(bins_, keep)),
                      Prewarm{fromSeconds(edge(bins_, begin) - lead_), fromSeconds(edge(bins_, end))}};
        }
      }
    }
  }

  const GapDistribution& bins_;
  Cumulative sums_;
  double price_;
  double accelerators_;
  double lead_;
};

}  // namespace

double coldStartPrice(const IdleModel& model) {
  const double weight = std::clamp(model.cold_start_weight, 0.0, kMaxColdStartWeight);
  const double odds = weight / (1 - weight);
  const double load = toSeconds(model.expected_load);
  return load * (load / kReferenceColdStartSeconds) * kIdleSecondsPerColdSecond * odds;
}

LearnedKeepAlive::LearnedKeepAlive(std::size_t max_models) : max_models_(max_models) {}

void LearnedKeepAlive::onGap(const ModelName& model, Duration gap, TimePoint idle_since) {
  all_models_.add(gap, idle_since);
  auto entry = histories_.find(model);
  if (entry == histories_.end()) {
    if (histories_.size() >= max_models_) {
      histories_.erase(recency_.front());
      recency_.pop_front();
    }
    recency_.push_back(model);
    entry = histories_.emplace(model, Entry{GapHistory(), std::prev(recency_.end())}).first;
  }
  recency_.splice(recency_.end(), recency_, entry->second.recency);
  entry->second.history.add(gap, idle_since);
}

GapDistribution LearnedKeepAlive::distributionOf(const ModelName& model, TimePoint idle_since) {
  const GapDistribution prior = all_models_.distribution(idle_since, GapHistory().pooled());
  const auto entry = histories_.find(model);
  return entry == histories_.end() ? prior : entry->second.history.distribution(idle_since, prior);
}

KeepAliveDecision LearnedKeepAlive::decide(const IdleModel& model) {
  const GapDistribution bins = distributionOf(model.model, model.idle_since);
  KeepAliveDecision decision = KeepAliveSearch(bins, model).best();
  decision.keep =
      std::clamp(decision.keep, model.min_keep_alive, std::max(model.min_keep_alive, model.max_keep_alive));
  if (decision.prewarm && decision.prewarm->begin <= decision.keep) {
    decision.prewarm.reset();
  }
  return decision;
}

Duration LearnedKeepAlive::surplusKeepAlive(const IdleModel& model) const {
  const Duration break_even =
      fromSeconds(coldStartPrice(model) / std::max(kMinAcceleratorShare, model.accelerators));
  return std::clamp(break_even, Duration::zero(), std::max(model.min_keep_alive, model.max_keep_alive));
}

double LearnedKeepAlive::retentionValue(const IdleModel& model, TimePoint now) {
  const double idle = toSeconds(now - model.idle_since);
  double alive = 0;
  double used_soon = 0;
  for (const GapBin& bin : distributionOf(model.model, model.idle_since)) {
    if (bin.high_seconds <= idle) {
      continue;
    }
    alive += bin.probability;
    used_soon += bin.representativeSeconds() < idle + kRetentionHorizonSeconds ? bin.probability : 0;
  }
  const double probability = alive > 0 ? used_soon / alive : 0;
  return probability * coldStartPrice(model) / std::max(kMinAcceleratorShare, model.accelerators);
}

double FixedKeepAlive::retentionValue(const IdleModel& model, TimePoint now) {
  return -toSeconds(now - model.idle_since);
}

AlwaysLoaded::AlwaysLoaded() : FixedKeepAlive(std::chrono::hours(24 * 3650)) {}

std::uint32_t AlwaysLoaded::minimumReplicas(const wire::ResolvedModel& settings) const {
  return std::max(1U, settings.min_replicas);
}

}  // namespace ferryrock::placement
