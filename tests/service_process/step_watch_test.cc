#include "service_process/step_watch.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace ferryrock::service_process {
namespace {

using namespace std::chrono_literals;

class ScriptedClock : public TimeSource {
 public:
  TimePoint monotonicTime() override { return now; }
  WallMilliseconds wallTime() override { return toMilliseconds(now.time_since_epoch()); }
  TimePoint now{1000s};
};

class RecordingLog : public EventLog {
 public:
  void write(LogLevel, std::string_view event, std::initializer_list<LogField>) override {
    lines.emplace_back(event);
  }
  std::vector<std::string> lines;
};

TEST_CASE("A step is logged only if it takes at least one heartbeat interval") {
  ScriptedClock clock;
  RecordingLog log;
  StepWatch watch(clock, log);
  {
    const StepWatch::Step step(watch, "tick");
    clock.now += 99ms;
  }
  CHECK(log.lines.empty());
  {
    const StepWatch::Step step(watch, "tick");
    clock.now += 100ms;
  }
  CHECK(log.lines == std::vector<std::string>{"process.slow_step"});
}

TEST_CASE("Slow steps are logged at most once per second") {
  ScriptedClock clock;
  RecordingLog log;
  StepWatch watch(clock, log);
  for (int i = 0; i < 30; ++i) {
    const StepWatch::Step step(watch, "tick");
    clock.now += 100ms;
  }
  CHECK(log.lines.size() == 3);
}

}  // namespace
}  // namespace ferryrock::service_process
