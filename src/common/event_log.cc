#include "common/event_log.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <map>
#include <utility>

#include "common/json_text.h"

namespace ferryrock {
namespace {

/// Token bucket of one event name.
struct EventRate {
  double tokens = 0;
  TimePoint refilled{};
  std::uint64_t suppressed_lines = 0;
};

void appendNumber(std::string& line, std::int64_t number) {
  std::array<char, 24> digits{};
  const auto [end, fault] = std::to_chars(digits.data(), digits.data() + digits.size(), number);
  static_cast<void>(fault);
  line.append(digits.data(), end);
}

void appendValue(std::string& line, const LogField& field) {
  if (const auto* text = std::get_if<std::string_view>(&field.value)) {
    appendJsonString(line, *text);
  } else if (const auto* integer = std::get_if<std::int64_t>(&field.value)) {
    appendNumber(line, *integer);
  } else if (const auto* number = std::get_if<double>(&field.value)) {
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "%.6g", *number);
    line += digits.data();
  } else {
    line += std::get<bool>(field.value) ? "true" : "false";
  }
}

void appendMember(std::string& line, std::string_view name, std::string_view text) {
  line += ",\"";
  line += name;
  line += "\":";
  appendJsonString(line, text);
}

}  // namespace

std::string eventLine(std::string_view time, LogLevel level, std::string_view part, std::string_view event,
                      std::initializer_list<LogField> fields, std::uint64_t suppressed_lines) {
  std::string line = "{\"time\":";
  appendJsonString(line, time);
  appendMember(line, "level", levelName(level));
  appendMember(line, "part", part);
  appendMember(line, "event", event);
  for (const LogField& field : fields) {
    line += ",\"";
    line += field.name;
    line += "\":";
    appendValue(line, field);
  }
  if (suppressed_lines > 0) {
    line += ",\"left_out\":";
    appendNumber(line, static_cast<std::int64_t>(suppressed_lines));
  }
  line += '}';
  return line;
}

struct RateLimitedEventLog::State {
  TimeSource& time_source;
  std::string part;
  EventLogLimits limits;
  std::map<std::string, EventRate, std::less<>> rates;

  /// Returns the number of lines suppressed since the last admitted line of this event name, or -1 if the
  /// rate limit suppresses this line.
  std::int64_t admit(std::string_view event) {
    const TimePoint now = time_source.monotonicTime();
    auto found = rates.find(event);
    if (found == rates.end()) {
      found = rates.emplace(std::string(event), EventRate{limits.burst, now, 0}).first;
    }
    EventRate& rate = found->second;
    const double passed = toSeconds(now - rate.refilled);
    rate.tokens = std::min(limits.burst, rate.tokens + passed * limits.lines_per_second);
    rate.refilled = now;
    if (rate.tokens < 1) {
      ++rate.suppressed_lines;
      return -1;
    }
    rate.tokens -= 1;
    return static_cast<std::int64_t>(std::exchange(rate.suppressed_lines, 0));
  }
};

RateLimitedEventLog::RateLimitedEventLog(TimeSource& time_source, std::string part, EventLogLimits limits)
    : state_(std::make_unique<State>(State{time_source, std::move(part), limits, {}})) {}

RateLimitedEventLog::~RateLimitedEventLog() = default;

void RateLimitedEventLog::write(LogLevel level, std::string_view event,
                                std::initializer_list<LogField> fields) {
  if (!logEnabled(level)) {
    return;
  }
  const std::int64_t suppressed_lines = state_->admit(event);
  if (suppressed_lines >= 0) {
    logLine(level, eventLine(logTimestamp(), level, state_->part, event, fields,
                             static_cast<std::uint64_t>(suppressed_lines)));
  }
}

}  // namespace ferryrock
