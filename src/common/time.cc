#include "common/time.h"

namespace ferryrock {

TimePoint SystemTimeSource::monotonicTime() {
  timespec now{};
  ::clock_gettime(kMonotonicClock, &now);
  return TimePoint{std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)};
}

WallMilliseconds SystemTimeSource::wallTime() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace ferryrock
