#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "common/logging.h"
#include "common/time.h"

namespace ferryrock {

/// One field of a structured log line.
struct LogField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Takes what a process decides and believes as structured lines: a name of the kind of event and fields.
/// Logic is handed one, so that it needs no output of its own.
class EventLog {
 public:
  virtual ~EventLog() = default;
  /// event is a constant such as "call.sent"; it names the kind whose rate is bounded.
  virtual void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) = 0;
};

/// Drops everything.
class NoEventLog : public EventLog {
 public:
  void write(LogLevel, std::string_view, std::initializer_list<LogField>) override {}
};

/// Bounds on what a process logs.
struct EventLogLimits {
  double lines_per_second = 100;  ///< of one kind, beyond its burst
  double burst = 300;             ///< lines of one kind
};

/// Lines go through the logging library. A kind over its rate is left out; the next line of it that passes
/// tells how many were. Used by one thread.
class RateLimitedEventLog : public EventLog {
 public:
  RateLimitedEventLog(TimeSource& time_source, std::string part, EventLogLimits limits);
  ~RateLimitedEventLog() override;
  void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) override;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// {"time":..,"level":..,"part":..,"event":..,fields}; the time is left to the caller.
std::string eventLine(std::string_view time, LogLevel level, std::string_view part, std::string_view event,
                      std::initializer_list<LogField> fields, std::uint64_t left_out);

}  // namespace ferryrock
