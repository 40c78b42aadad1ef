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

/// Sink for structured log lines, each with an event name and fields, that record a process's decisions and
/// its view of the system. It is injected into logic classes, so that they do no I/O of their own.
class EventLog {
 public:
  virtual ~EventLog() = default;
  /// event is a constant such as "call.sent"; rate limits apply per event name.
  virtual void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) = 0;
};

/// Discards all lines.
class NoEventLog : public EventLog {
 public:
  void write(LogLevel, std::string_view, std::initializer_list<LogField>) override {}
};

/// Rate limits of a process's event log, per event name.
struct EventLogLimits {
  double lines_per_second = 100;  ///< sustained rate per event name, after the burst
  double burst = 300;             ///< lines per event name
};

/// Writes lines through the logging library. Lines beyond the rate limit of their event name are suppressed;
/// the next admitted line of that name reports how many in its field suppressed_lines. Used by one thread.
class RateLimitedEventLog : public EventLog {
 public:
  RateLimitedEventLog(TimeSource& time_source, std::string part, EventLogLimits limits);
  ~RateLimitedEventLog() override;
  void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) override;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Formats {"time":..,"level":..,"part":..,"event":..,fields}; the caller supplies the time.
std::string eventLine(std::string_view time, LogLevel level, std::string_view part, std::string_view event,
                      std::initializer_list<LogField> fields, std::uint64_t suppressed_lines);

}  // namespace ferryrock
