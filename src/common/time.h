#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace ferryrock {

/// Duration with nanosecond resolution, used throughout the code base.
using Duration = std::chrono::nanoseconds;

/// Tag type of the monotonic clock. Shells and the simulator read the clock and pass the time to logic
/// classes, which never read it themselves.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// Point in time on the monotonic clock of one process; not comparable with those of other processes.
using TimePoint = MonotonicClock::time_point;

/// Milliseconds since the Unix epoch; for display and records only, never for ordering.
using WallMilliseconds = std::int64_t;

/// System clock behind every TimePoint. Unlike CLOCK_MONOTONIC it advances while the machine is suspended, so
/// that leases and deadlines expire on time on a machine that was suspended meanwhile.
inline constexpr clockid_t kMonotonicClock = CLOCK_BOOTTIME;

/// Source of time: the system implementation reads kMonotonicClock, the simulator provides virtual time.
class TimeSource {
 public:
  virtual ~TimeSource() = default;
  virtual TimePoint monotonicTime() = 0;
  virtual WallMilliseconds wallTime() = 0;
};

/// TimeSource of the operating system. Safe to call from any thread.
class SystemTimeSource : public TimeSource {
 public:
  TimePoint monotonicTime() override;
  WallMilliseconds wallTime() override;
};

/// Converts a duration to whole milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Converts a duration to fractional seconds.
constexpr double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Converts seconds to a duration, rounded towards zero to whole nanoseconds.
constexpr Duration fromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace ferryrock
