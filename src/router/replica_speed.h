#pragma once

#include <cstdint>
#include <optional>

#include "common/time.h"

namespace ferryrock::router {

/// How fast a replica generates, as this router saw it: the time between chunks, averaged over its recent
/// answers. Unlike load reports it doesn't lag, and unlike counts it shows a replica that is slow rather than
/// busy. Used by one thread.
class ReplicaSpeed {
 public:
  /// An answer that ended well, on one attempt and read without a pause. chunks is above 1.
  void onAnswer(Duration first_to_last_chunk, std::uint64_t chunks, TimePoint now);
  /// nullopt: no answer of late.
  std::optional<double> secondsPerChunk(TimePoint now) const;

 private:
  double seconds_per_chunk_ = 0;
  std::optional<TimePoint> measured_;
};

}  // namespace ferryrock::router
