#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::calls {

/// The models and adapters that a router's calls used recently. The router subscribes to their replicas if
/// control doesn't send every replica to every router. An entry is kept for some time after its last call, so
/// that the next call needs no query to control. Bounded; the most recent entries are kept. Not thread-safe;
/// used by one thread.
class ModelInterests {
 public:
  void record(const ServiceName& service, const ModelName& model, const std::string& adapter, TimePoint now);
  /// Returns the current entries, ordered by name.
  std::vector<wire::ModelInterest> list(TimePoint now);

  /// Retention after the last call.
  static constexpr Duration kRetention = std::chrono::seconds(30);
  static constexpr std::size_t kMaxEntries = 64;

 private:
  using Key = std::tuple<ServiceName, ModelName, std::string>;

  void evictOldest();

  std::map<Key, TimePoint> last_used_;
};

}  // namespace ferryrock::calls
