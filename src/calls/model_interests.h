#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::calls {

/// The models, and adapters of them, that a router's calls used of late: what its replica table has to list
/// where control doesn't tell every router every replica. Each is kept for some time after its last call, so
/// that the next one needs no question to control. Bounded: the latest are kept. Used by one thread.
class ModelInterests {
 public:
  void note(const ServiceName& service, const ModelName& model, const std::string& adapter, TimePoint now);
  /// Those that are kept, in the order of their names.
  std::vector<wire::ModelInterest> list(TimePoint now);

  /// After the last call.
  static constexpr Duration kKeptFor = std::chrono::seconds(30);
  static constexpr std::size_t kMostKept = 64;

 private:
  using Key = std::tuple<ServiceName, ModelName, std::string>;

  void dropOldest();

  std::map<Key, TimePoint> last_used_;
};

}  // namespace ferryrock::calls
