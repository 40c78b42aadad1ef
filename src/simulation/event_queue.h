#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "common/time.h"

namespace ferryrock::simulation {

using Callback = std::function<void()>;

/// The simulator's only clock and its pending events. Events at one instant run in the order they were
/// scheduled in, so a run depends on nothing but its seed.
class EventQueue {
 public:
  TimePoint now() const { return now_; }
  /// Schedules a callback; an instant in the past counts as now.
  void at(TimePoint time, Callback callback);
  void after(Duration delay, Callback callback) { at(now_ + delay, std::move(callback)); }
  /// Runs all events up to and at the instant, then sets the clock to it.
  void runUntil(TimePoint end);
  std::uint64_t executed() const { return executed_; }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t sequence = 0;
    Callback callback;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
    }
  };

  TimePoint now_;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t executed_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace ferryrock::simulation
