#pragma once

#include <cstdint>
#include <optional>

#include "common/random.h"
#include "common/time.h"

namespace ferryrock::router {

/// What went wrong on a replica, as far as its health is concerned.
enum class HealthFailure : std::uint8_t {
  Unreachable,  ///< no connection: ejected at once, as nothing is lost by asking elsewhere
  Stalled,      ///< no progress within the stall time: ejected at once
  Failed,       ///< an answer was cut off or failed: ejected after several in a row
};

/// Whether one replica may get new requests. After an ejection one request probes it; its success ends the
/// ejection, its failure doubles it. A replica whose requests all stand still is suspected before the stall
/// time passes. Used by one thread.
class ReplicaHealth {
 public:
  void onDispatched(TimePoint now);
  /// Any sign of life of a request: its admission, a chunk, its end.
  void onProgress(TimePoint now);
  /// A request ended well; ends an ejection.
  void onSuccess(TimePoint now);
  void onFailure(HealthFailure failure, TimePoint now, Random& random);
  /// A request left in whatever way.
  void onReleased();

  /// True when a request may be sent now.
  bool admits(TimePoint now) const;
  bool ejected() const { return ejected_until_.has_value(); }
  /// Instant of the last return from an ejection, for a slow start.
  std::optional<TimePoint> returnedAt() const { return returned_at_; }
  /// Last sign of life, or the dispatch that broke a silence.
  TimePoint lastProgress() const { return last_progress_; }
  std::uint64_t ejections() const { return ejections_; }

 private:
  bool suspected(TimePoint now) const;
  void eject(TimePoint now, Random& random);

  std::uint32_t outstanding_ = 0;
  std::uint32_t failures_in_row_ = 0;
  std::uint32_t ejections_in_row_ = 0;
  std::uint64_t ejections_ = 0;
  std::optional<TimePoint> ejected_until_;
  bool probing_ = false;
  TimePoint last_progress_{};
  std::optional<TimePoint> returned_at_;
};

}  // namespace ferryrock::router
