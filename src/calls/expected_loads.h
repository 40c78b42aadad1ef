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

/// Models that control is having loaded, and the callers who were told to come back for them. Used by one
/// thread.
class ExpectedLoads {
 public:
  using Key = std::pair<ServiceName, ModelName>;

  void accept(const std::vector<wire::ComingModel>& coming, TimePoint now);
  /// When the model should serve; nullopt: not known, or past.
  std::optional<TimePoint> readyAt(const ServiceName& service, const ModelName& model, TimePoint now) const;

  /// A caller was sent away until then; its model stays wanted.
  void expectBack(const ServiceName& service, const ModelName& model, TimePoint at);
  /// Callers that are still expected, by what they will ask for.
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
