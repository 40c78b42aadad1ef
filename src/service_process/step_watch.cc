#include "service_process/step_watch.h"

#include <utility>

namespace ferryrock::service_process {
namespace {

/// Equal to the heartbeat interval.
constexpr Duration kSlow = std::chrono::milliseconds(100);
constexpr Duration kLineInterval = std::chrono::seconds(1);

}  // namespace

StepWatch::Step::Step(StepWatch& watch, std::string_view cause)
    : watch_(watch), cause_(cause), began_(watch.time_source_.monotonicTime()) {}

StepWatch::Step::~Step() {
  const TimePoint now = watch_.time_source_.monotonicTime();
  if (now - began_ >= kSlow) {
    watch_.onEnded(cause_, now - began_, now);
  }
}

void StepWatch::onEnded(std::string_view cause, Duration took, TimePoint now) {
  if (now < next_line_) {
    ++left_out_;
    return;
  }
  next_line_ = now + kLineInterval;
  log_.write(LogLevel::Warning, "process.slow_step",
             {{"cause", cause},
              {"took_ms", toMilliseconds(took)},
              {"left_out", std::exchange(left_out_, std::int64_t{0})}});
}

}  // namespace ferryrock::service_process
