#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::calls {

/// Models that control is loading, and the callers who were asked to retry once they are loaded. Not
/// thread-safe; used by one thread.
class ExpectedLoads {
 public:
  using Key = std::pair<ServiceName, ModelName>;

  void accept(const std::vector<wire::ExpectedModelLoad>& coming, TimePoint now);
  /// Time at which the model is expected to be loaded; nullopt: unknown or past.
  std::optional<TimePoint> readyAt(const ServiceName& service, const ModelName& model, TimePoint now) const;

  /// Records a caller who was refused and is expected to retry at this time. Until then it counts as demand
  /// for the model.
  void addReturningCaller(const ServiceName& service, const ModelName& model, TimePoint at);
  /// Returns the number of callers who are still expected, by service and model.
  std::map<Key, std::uint32_t> returningCallers(TimePoint now);

 private:
  struct ReturningCaller {
    Key key;
    TimePoint expected_until;
  };
  std::map<Key, TimePoint> ready_;
  std::deque<ReturningCaller> returning_callers_;
};

}  // namespace ferryrock::calls
