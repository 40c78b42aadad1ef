#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/event_log.h"
#include "common/time.h"

namespace ferryrock::service_process {

/// Logs slow steps of a process's event loop as "process.slow_step". While a step runs, no message is read
/// and no heartbeat is sent, so that a member whose steps take longer than the election timeout loses
/// leadership with no other trace of the cause in its log. Logs at most one line per second, with the number
/// of lines suppressed before it. Used by one thread.
class StepWatch {
 public:
  StepWatch(TimeSource& time_source, EventLog& log) : time_source_(time_source), log_(log) {}

  /// Times one step, from construction to destruction.
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
  void onEnded(std::string_view cause, Duration elapsed, TimePoint now);

  TimeSource& time_source_;
  EventLog& log_;
  TimePoint next_log_{};
  std::int64_t suppressed_ = 0;
};

}  // namespace ferryrock::service_process
