#pragma once

#include <list>
#include <map>
#include <memory>

#include "placement/gap_history.h"
#include "placement/policies.h"

namespace ferryrock::placement {

/// Price of one cold start of this model in idle accelerator seconds. At cold_start_weight 0.5, one second of
/// a cold start that takes kReferenceColdStartSeconds costs kIdleSecondsPerColdSecond accelerator seconds;
/// the odds weight / (1 - weight) scale the price. The price per second is proportional to the length of the
/// cold start, because tail latency matters most to callers.
double coldStartPrice(const IdleModel& model);
inline constexpr double kReferenceColdStartSeconds = 4;
inline constexpr double kIdleSecondsPerColdSecond = 100;

/// Learns from the idle gaps of each model. Chooses between keeping the replica, releasing it, and releasing
/// and prewarming it by the lowest expected sum of idle accelerator seconds and cold-start prices. Memory is
/// bounded by max_models histograms with least-recently-used eviction. A decision costs O(bins^3), at most
/// about 6,000 steps.
class LearnedKeepAlive : public KeepAlivePolicy {
 public:
  explicit LearnedKeepAlive(std::size_t max_models = 4096);
  void onGap(const ModelName& model, Duration gap, TimePoint idle_since) override;
  KeepAliveDecision decide(const IdleModel& model) override;
  Duration surplusKeepAlive(const IdleModel& model) const override;
  double retentionValue(const IdleModel& model, TimePoint now) override;
  std::size_t models() const { return histories_.size(); }

 private:
  struct Entry {
    GapHistory history;
    std::list<ModelName>::iterator recency;
  };
  GapDistribution distributionOf(const ModelName& model, TimePoint idle_since);

  std::size_t max_models_;
  GapHistory all_models_;
  std::map<ModelName, Entry> histories_;
  std::list<ModelName> recency_;  ///< least recently used first
};

/// Baseline: the same keep-alive time for every model.
class FixedKeepAlive : public KeepAlivePolicy {
 public:
  explicit FixedKeepAlive(Duration keep) : keep_(keep) {}
  void onGap(const ModelName&, Duration, TimePoint) override {}
  KeepAliveDecision decide(const IdleModel&) override { return {keep_, std::nullopt}; }
  Duration surplusKeepAlive(const IdleModel&) const override { return keep_; }
  double retentionValue(const IdleModel& model, TimePoint now) override;

 private:
  Duration keep_;
};

/// Baseline: every model stays loaded as long as memory suffices.
class AlwaysLoaded : public FixedKeepAlive {
 public:
  AlwaysLoaded();
  std::uint32_t minimumReplicas(const wire::ResolvedModel& settings) const override;
};

}  // namespace ferryrock::placement
