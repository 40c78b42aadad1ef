#include "common/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>

#include "common/bounded_output.h"
#include "common/json_text.h"

namespace ferryrock {
namespace {

/// Exists until the process exits, because log4cplus must outlive every logger.
log4cplus::Initializer& initializer() {
  static log4cplus::Initializer instance;
  return instance;
}

LogFormat& configuredFormat() {
  static LogFormat format = LogFormat::Text;
  return format;
}

log4cplus::LogLevel toLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

std::string textLine(LogLevel level, const std::string& part, std::string_view sentence,
                     std::string_view request_id) {
  std::string line = logTimestamp() + " " + levelName(level) + " [" + part + "] " + std::string(sentence);
  if (!request_id.empty()) {
    line += " request=" + std::string(request_id);
  }
  return line;
}

std::string jsonLine(LogLevel level, const std::string& part, std::string_view sentence,
                     std::string_view request_id) {
  std::string line = R"({"time":")" + logTimestamp() + R"(","level":")" + levelName(level) + R"(","part":)";
  appendJsonString(line, part);
  line += R"(,"message":)";
  appendJsonString(line, sentence);
  if (!request_id.empty()) {
    line += R"(,"request":)";
    appendJsonString(line, request_id);
  }
  return line + '}';
}

/// Writes to standard output through a BoundedOutput.
class BoundedAppender : public log4cplus::Appender {
 public:
  BoundedAppender() : output_(STDOUT_FILENO) {}
  ~BoundedAppender() override { destructorImpl(); }
  void close() override { output_.flush(); }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override { output_.add(event.getMessage()); }

 private:
  BoundedOutput output_;
};

void write(LogLevel level, const std::string& part, std::string_view sentence, std::string_view request_id) {
  if (logEnabled(level)) {
    logLine(level, configuredFormat() == LogFormat::Json ? jsonLine(level, part, sentence, request_id)
                                                         : textLine(level, part, sentence, request_id));
  }
}

}  // namespace

const char* levelName(LogLevel level) {
  switch (level) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "info";
}

std::string logTimestamp() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 24> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 32> whole{};
  std::snprintf(whole.data(), whole.size(), "%s.%03dZ", date.data(), static_cast<int>(milliseconds));
  return whole.data();
}

bool logEnabled(LogLevel level) {
  initializer();
  return log4cplus::Logger::getRoot().isEnabledFor(toLog4cplus(level));
}

void logLine(LogLevel level, const std::string& line) {
  log4cplus::Logger::getRoot().forcedLog(toLog4cplus(level), line);
}

void configureLogging(const LogSettings& settings) {
  initializer();
  configuredFormat() = settings.format;
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  log4cplus::SharedAppenderPtr appender;
  if (settings.bounded_standard_output) {
    appender = new BoundedAppender();
  } else if (settings.file.empty()) {
    constexpr bool kToStandardError = true;
    constexpr bool kFlushEachLine = true;
    appender = new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine);
  } else {
    appender = new log4cplus::FileAppender(settings.file, std::ios_base::app);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  root.addAppender(appender);
  root.setLogLevel(toLog4cplus(settings.level));
}

void Logger::debug(std::string_view sentence, std::string_view request_id) const {
  write(LogLevel::Debug, part_, sentence, request_id);
}
void Logger::info(std::string_view sentence, std::string_view request_id) const {
  write(LogLevel::Info, part_, sentence, request_id);
}
void Logger::warning(std::string_view sentence, std::string_view request_id) const {
  write(LogLevel::Warning, part_, sentence, request_id);
}
void Logger::error(std::string_view sentence, std::string_view request_id) const {
  write(LogLevel::Error, part_, sentence, request_id);
}

}  // namespace ferryrock
