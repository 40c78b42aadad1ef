#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/event_log.h"
#include "common/time.h"

namespace ferryrock::service_process {

/// Logs steps of a process's loop that took long, as "process.slow_step": while one runs, no message is read
/// and no heartbeat leaves, so that a member whose steps take longer than an election loses its leadership
/// without a word elsewhere in its log. One line a second at most; the next one tells how many were left out.
/// Used by one thread.
class StepWatch {
 public:
  StepWatch(TimeSource& time_source, EventLog& log) : time_source_(time_source), log_(log) {}

  /// One step, from its making to its end.
  class Step {
   public:
    Step(StepWatch& watch, std::string_view cause);
    ~Step();
    Step(const Step&) = delete;
    Step& operator=(const Step&) = delete;

   private:
    StepWatch& watch_;
    std::string_view cause_;
    TimePoint began_;
  };

 private:
  void onEnded(std::string_view cause, Duration took, TimePoint now);

  TimeSource& time_source_;
  EventLog& log_;
  TimePoint next_line_{};
  std::int64_t left_out_ = 0;
};

}  // namespace ferryrock::service_process
