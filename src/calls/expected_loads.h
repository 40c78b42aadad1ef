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

  void accept(const std::vector<wire::ComingModel>& coming, TimePoint now);
  /// Time at which the model is expected to be loaded; nullopt: unknown or past.
  std::optional<TimePoint> readyAt(const ServiceName& service, const ModelName& model, TimePoint now) const;

  /// Records a caller who was refused and is expected to retry at this time. Until then it counts as demand
  /// for the model.
  void expectBack(const ServiceName& service, const ModelName& model, TimePoint at);
  /// Returns the number of callers who are still expected, by service and model.
  std::map<Key, std::uint32_t> expectedBack(TimePoint now);

 private:
  struct Absence {
    Key key;
    TimePoint over;
  };
  std::map<Key, TimePoint> ready_;
  std::deque<Absence> absences_;
};

}  // namespace ferryrock::calls
