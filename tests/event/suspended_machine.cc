#include "event/suspended_machine.h"

#include <sys/syscall.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <atomic>

namespace ferryrock::event {
namespace {

std::atomic<std::int64_t> suspended_nanoseconds = 0;
std::atomic<clockid_t> last_timer_clock = -1;

/// Latest setting of a timer descriptor.
struct TimerSetting {
  int descriptor = -1;
  int flags = 0;
  itimerspec setting{};
};
TimerSetting last_timer;

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

void add(timespec& time, std::int64_t nanoseconds) {
  const std::int64_t sum = time.tv_sec * kNanosecondsPerSecond + time.tv_nsec + nanoseconds;
  time.tv_sec = sum / kNanosecondsPerSecond;
  time.tv_nsec = sum % kNanosecondsPerSecond;
}

}  // namespace

clockid_t lastTimerClock() {
  return last_timer_clock;
}

/// Reads the clock with the simulated suspended time added.
int readClock(clockid_t clock, timespec* time) {
  const long result = ::syscall(SYS_clock_gettime, clock, time);
  if (result == 0 && clock == CLOCK_BOOTTIME) {
    add(*time, suspended_nanoseconds);
  }
  return static_cast<int>(result);
}

int createTimer(clockid_t clock, int flags) {
  last_timer_clock = clock;
  return static_cast<int>(::syscall(SYS_timerfd_create, clock, flags));
}

/// The kernel's clock lacks the simulated suspended time, so an absolute expiry is converted to kernel time.
int armInKernel(const TimerSetting& timer, itimerspec* before) {
  itimerspec kernel_setting = timer.setting;
  if (last_timer_clock == CLOCK_BOOTTIME && (timer.flags & TFD_TIMER_ABSTIME) != 0) {
    add(kernel_setting.it_value, -suspended_nanoseconds);
  }
  return static_cast<int>(
      ::syscall(SYS_timerfd_settime, timer.descriptor, timer.flags, &kernel_setting, before));
}

int setTimer(int descriptor, int flags, const itimerspec* setting, itimerspec* before) {
  last_timer = {descriptor, flags, *setting};
  return armInKernel(last_timer, before);
}

/// Re-arms the last timer, so that a timer that expired during the suspension fires at once, as in the
/// kernel.
void suspendMachine(Duration duration) {
  suspended_nanoseconds += duration.count();
  if (last_timer.descriptor >= 0) {
    armInKernel(last_timer, nullptr);
  }
}

}  // namespace ferryrock::event

extern "C" int clock_gettime(clockid_t clock, struct timespec* time) noexcept {
  return ferryrock::event::readClock(clock, time);
}

extern "C" int timerfd_create(clockid_t clock, int flags) noexcept {
  return ferryrock::event::createTimer(clock, flags);
}

extern "C" int timerfd_settime(int descriptor, int flags, const struct itimerspec* setting,
                               struct itimerspec* before) noexcept {
  return ferryrock::event::setTimer(descriptor, flags, setting, before);
}
