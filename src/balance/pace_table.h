#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::balance {

/// How slow replicas are against others that hold the same model, from the shortest pauses between two events
/// of a stream. Prompts that are read beside a stream, full batches and the network only add to a pause, so
/// that the shortest one of some seconds tells the replica's own speed. Used by one thread.
class PaceTable {
 public:
  void accept(const std::vector<wire::ObservedPace>& paces, TimePoint now);
  /// Forgets pauses that are older than the window, so that a replica that was slow for a while is taken up
  /// again.
  void expire(TimePoint now);

  /// How slow each replica is against the fastest one, 1 and above, for those that share a model with others
  /// or with others of these.
  std::map<std::uint32_t, double> slowness() const;

  /// A replica that turns slow is known after one to two windows: long enough that undisturbed pauses of a
  /// busy model are seen by 80 routers with one stream a second among them, short against the minutes for
  /// which replicas stay slow.
  static constexpr Duration kWindow = std::chrono::seconds(6);

 private:
  /// The shortest pause of the present window and of the last one before in which streams were seen; zero:
  /// none.
  struct Pace {
    Duration present{};
    Duration before{};
    std::uint32_t seen_present = 0;  ///< reports
    std::uint32_t seen_before = 0;
    int idle_windows = 0;  ///< since streams of the model were last seen there
    Duration shortest() const;
  };
  using Key = std::pair<std::uint32_t, std::uint32_t>;  ///< model, replica

  std::map<Key, Pace> paces_;
  TimePoint window_end_{};
};

}  // namespace ferryrock::balance
