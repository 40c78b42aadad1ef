/// A machine may be suspended for seconds. With a clock that stands still meanwhile, leases, catalog proofs
/// and quota credit would expire too late by the suspended time, and so would timers. CLOCK_MONOTONIC stands
/// still while a machine is suspended; CLOCK_BOOTTIME advances.
#include "event/suspended_machine.h"

#include <catch2/catch.hpp>

#include "event/dispatcher.h"

namespace ferryrock::event {
namespace {

using namespace std::chrono_literals;

TEST_CASE("the monotonic time includes the time during which the machine was suspended") {
  for (const Duration suspended : {1s, 5s, 30s}) {
    SystemTimeSource source;
    const TimePoint before = source.monotonicTime();
    suspendMachine(suspended);
    CHECK(source.monotonicTime() - before >= suspended);
  }
}

TEST_CASE("a timer that expired while the machine was suspended runs at once") {
  const auto dispatcher = createAceDispatcher();
  CHECK(lastTimerClock() == CLOCK_BOOTTIME);
  const TimePoint start = dispatcher->timeSource().monotonicTime();
  Duration waited{};
  const auto timer = dispatcher->createTimer([&] {
    waited = dispatcher->timeSource().monotonicTime() - start;
    dispatcher->exit();
  });
  timer->enable(10s);
  suspendMachine(11s);
  dispatcher->run();
  CHECK(waited >= 10s);
  CHECK(waited < 12s);
}

}  // namespace
}  // namespace ferryrock::event
