#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/time.h"
#include "router/control_link.h"
#include "wire/messages.h"

namespace ferryrock::router {

/// Tells the control leader which names are wanted here. Figures that changed go out every demand interval;
/// figures that aren't zero are repeated regularly, since messages get lost and leaders change. Used by one
/// thread.
class DemandReporter {
 public:
  DemandReporter(NodeName node, Duration interval, Duration repeat_interval, TimePoint now);

  void onArrival(const ModelName& name, TimePoint now);
  void onRunning(const ModelName& name, int change, TimePoint now);
  /// The number of waiting requests of the name may have changed.
  void onWaitingChanged(const ModelName& name, TimePoint now);

  /// True while requests for the name run.
  bool isRunning(const ModelName& name) const;

  /// Waiting requests of a name and their earliest deadline.
  struct Waiting {
    std::size_t count = 0;
    std::optional<TimePoint> earliest_deadline;
  };
  using WaitingLookup = std::function<Waiting(const ModelName&)>;

  std::vector<wire::SendEffect> tick(const ControlLink& link, const WaitingLookup& waiting, TimePoint now);
  TimePoint nextDeadline() const;

 private:
  struct Figures {
    std::uint32_t running = 0;
    std::uint64_t arrivals = 0;  ///< not reported yet
    bool changed = false;
    bool dispatched = false;  ///< since the last report
    std::uint32_t reported_waiting = 0;
    std::uint32_t repeats_left = 0;  ///< regular repetitions until the name is forgotten
  };

  Figures& touch(const ModelName& name, TimePoint now);
  /// Finds out whether a name touched since the last report has news that placement must not wait for.
  void lookForUrgency(const WaitingLookup& waiting);
  wire::DemandReport makeReport(const WaitingLookup& waiting, bool repeat, TimePoint now);

  NodeName node_;
  Duration interval_;
  Duration repeat_interval_;
  std::uint64_t sequence_ = 0;
  std::map<ModelName, Figures> figures_;
  std::set<ModelName> touched_;  ///< since urgency was last looked for
  bool any_changed_ = false;
  bool urgent_ = false;
  TimePoint next_report_;       ///< of urgent news
  TimePoint next_calm_report_;  ///< of other news
  TimePoint next_repeat_;
  std::optional<NodeName> last_leader_;
};

}  // namespace ferryrock::router
