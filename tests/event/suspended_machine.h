#pragma once

#include <ctime>

#include "common/time.h"

/// Simulates a suspension of the machine: clocks that include suspended time advance, other clocks stand
/// still. The test program defines clock_gettime(), timerfd_create() and timerfd_settime(), which override
/// the C library's functions.
namespace ferryrock::event {

/// Simulates a suspension of the given duration that ends now.
void suspendMachine(Duration duration);
/// Returns the clock of the most recently created timer descriptor.
clockid_t lastTimerClock();

}  // namespace ferryrock::event
