#include "simulation/event_queue.h"

#include <algorithm>
#include <utility>

namespace ferryrock::simulation {

void EventQueue::at(TimePoint time, Callback callback) {
  events_.push({std::max(time, now_), next_sequence_++, std::move(callback)});
}

void EventQueue::runUntil(TimePoint end) {
  while (!events_.empty() && events_.top().time <= end) {
    // The callback may schedule more, so the event leaves the queue first.
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.time;
    ++executed_;
    event.callback();
  }
  now_ = std::max(now_, end);
}

}  // namespace ferryrock::simulation
