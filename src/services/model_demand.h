#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "common/time.h"
#include "services/router_directory.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Identifies a model of a service, or one adapter of that model.
struct ModelKey {
  ServiceName service;
  ModelName model;
  std::string adapter;                                                  ///< empty: the model itself
  friend auto operator<=>(const ModelKey&, const ModelKey&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Demand for one key, summed over all routers.
struct KeyDemand {
  /// Arrivals per second, averaged over the last few seconds.
  double rate() const;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  double recent_arrivals = 0;     ///< arrivals, decaying exponentially within seconds
  double long_term_arrivals = 0;  ///< arrivals, decaying more slowly; ranks what to evict
  TimePoint last_demand{};
};

/// Aggregates the call counts that routers report per model and adapter. Not thread-safe.
class ModelDemand {
 public:
  void accept(const NodeName& router, const std::vector<wire::ModelCallCounts>& model_calls, TimePoint now);
  /// Discards the counts of routers that the directory doesn't list.
  void keepRouters(const std::map<NodeName, RouterRecord>& routers);

  /// Keys with current or recent demand. Calls for an adapter also count for its model.
  const std::map<ModelKey, KeyDemand>& keys() const { return keys_; }
  KeyDemand find(const ModelKey& key) const;
  /// Decays the arrival counts up to `now` and removes keys without calls whose arrivals have decayed to
  /// almost zero.
  void decay(TimePoint now);

 private:
  void forgetRouter(const NodeName& router);
  void add(const ModelKey& key, const wire::ModelCallCounts& counts, int sign, TimePoint now);
  void addCounts(const wire::ModelCallCounts& counts, int sign, TimePoint now);

  std::map<ModelKey, KeyDemand> keys_;
  std::map<NodeName, std::vector<wire::ModelCallCounts>> last_reports_;
  TimePoint decayed_at_{};
};

}  // namespace ferryrock::services
