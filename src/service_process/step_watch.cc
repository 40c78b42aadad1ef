#include "service_process/step_watch.h"

#include <utility>

namespace ferryrock::service_process {
namespace {

/// Equal to the heartbeat interval.
constexpr Duration kSlowStepThreshold = std::chrono::milliseconds(100);
constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

StepWatch::Step::Step(StepWatch& watch, std::string_view cause)
    : watch_(watch), cause_(cause), began_(watch.time_source_.monotonicTime()) {}

StepWatch::Step::~Step() {
  const TimePoint now = watch_.time_source_.monotonicTime();
  if (now - began_ >= kSlowStepThreshold) {
    watch_.onEnded(cause_, now - began_, now);
  }
}

void StepWatch::onEnded(std::string_view cause, Duration elapsed, TimePoint now) {
  if (now < next_log_) {
    ++suppressed_;
    return;
  }
  next_log_ = now + kLogInterval;
  log_.write(LogLevel::Warning, "process.slow_step",
             {{"cause", cause},
              {"took_ms", toMilliseconds(elapsed)},
              {"left_out", std::exchange(suppressed_, std::int64_t{0})}});
}

}  // namespace ferryrock::service_process
