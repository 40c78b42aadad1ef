#pragma once

#include <deque>

#include "common/time.h"
#include "emulator/model/engine_effects.h"

namespace ferryrock::emulator {

/// Remembers an engine's load for as long as its reports lag.
class LoadHistory {
 public:
  explicit LoadHistory(Duration lag) : lag_(lag) {}
  /// Notes the load from now on.
  void record(TimePoint now, LoadReport load);
  /// The load as it was one lag ago; zero before the first record.
  LoadReport reported(TimePoint now);

 private:
  struct Sample {
    TimePoint at;
    LoadReport load;
  };
  void forgetOld(TimePoint now);

  Duration lag_;
  LoadReport oldest_;
  std::deque<Sample> samples_;  ///< younger than the lag
};

}  // namespace ferryrock::emulator
