#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::balance {

/// Estimates how slow replicas are relative to others that hold the same model, from the shortest gaps
/// between two events of a stream. Concurrent prefill, full batches and the network only lengthen a gap, so
/// the shortest gap within a few seconds reflects the speed of the replica itself. Not thread-safe; used by
/// one thread.
class EventGapTable {
 public:
  void accept(const std::vector<wire::ObservedEventGap>& event_gaps, TimePoint now);
  /// Drops gaps that are older than the window, so that a replica that was slow only for a while is used
  /// again.
  void expire(TimePoint now);

  /// Returns the slowness of each replica relative to the fastest one, at least 1. Covers replicas that are
  /// connected to another one by a shared model, directly or through further replicas.
  std::map<std::uint32_t, double> slowness() const;

  /// A replica that becomes slow is detected within one to two windows. The window is long enough for 80
  /// routers that share one stream a second of a busy model to observe undisturbed gaps, and short compared
  /// with the minutes for which replicas stay slow.
  static constexpr Duration kWindow = std::chrono::seconds(6);

 private:
  /// Shortest gaps in the current window and in the latest earlier window in which streams were observed.
  /// Zero means that there was none.
  struct GapRecord {
    Duration current{};
    Duration previous{};
    std::uint32_t current_reports = 0;  ///< number of reports
    std::uint32_t previous_reports = 0;
    int idle_windows = 0;  ///< windows since streams of the model were last observed there
    Duration shortest() const;
  };
  using Key = std::pair<std::uint32_t, std::uint32_t>;  ///< model key, replica key

  std::map<Key, GapRecord> gap_records_;
  TimePoint window_end_{};
};

}  // namespace ferryrock::balance
