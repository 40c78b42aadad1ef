#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "common/time.h"
#include "services/router_directory.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// A model of a service, or one of its adapters.
struct ModelKey {
  ServiceName service;
  ModelName model;
  std::string adapter;                                                  ///< empty: the model alone
  friend auto operator<=>(const ModelKey&, const ModelKey&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Demand for one key over all routers.
struct KeyDemand {
  /// Arrivals a second, of the last seconds.
  double rate() const;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  double recent_arrivals = 0;   ///< arrivals, each fading over some seconds
  double lasting_arrivals = 0;  ///< the same, fading more slowly
  TimePoint last_wanted{};
};

/// Merges what routers report that their calls want. Used by one thread.
class ModelDemand {
 public:
  void accept(const NodeName& router, const std::vector<wire::ModelWant>& wants, TimePoint now);
  /// Forgets the routers that the directory doesn't list.
  void keepRouters(const std::map<NodeName, RouterRecord>& routers);

  /// Keys that are or were wanted; adapters' calls count for their models too.
  const std::map<ModelKey, KeyDemand>& keys() const { return keys_; }
  KeyDemand find(const ModelKey& key) const;
  /// Lets arrivals fade up to now and drops keys that have faded away.
  void fade(TimePoint now);

 private:
  void forgetRouter(const NodeName& router);
  void add(const ModelKey& key, const wire::ModelWant& want, int sign, TimePoint now);
  void addWant(const wire::ModelWant& want, int sign, TimePoint now);

  std::map<ModelKey, KeyDemand> keys_;
  std::map<NodeName, std::vector<wire::ModelWant>> last_wants_;
  TimePoint faded_{};
};

}  // namespace ferryrock::services
