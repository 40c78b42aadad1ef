#pragma once

#include <string>
#include <string_view>

namespace ferryrock {

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogFormat { Text, Json };

/// Destination and format of log lines; set once before the first line.
struct LogSettings {
  LogLevel level = LogLevel::Info;
  LogFormat format = LogFormat::Text;
  std::string file;  ///< empty means standard error
  /// Writes to standard output without ever blocking on its reader; lines beyond the buffer's bound are
  /// dropped and counted. Takes precedence over `file`.
  bool bounded_standard_output = false;
};

/// Configures log4cplus for the process. Called on the main thread before other threads start.
void configureLogging(const LogSettings& settings);

/// Returns "debug", "info", "warning" or "error".
const char* levelName(LogLevel level);
/// True when lines of this level are written.
bool logEnabled(LogLevel level);
/// Writes one formatted line.
void logLine(LogLevel level, const std::string& line);
/// Returns the current UTC time in the format of log lines, e.g. 2030-01-31T12:00:00.250Z.
std::string logTimestamp();

/// Writes log messages with the fixed prefix of a component, e.g. "[router] ...". Thread-safe, cheap to copy.
class Logger {
 public:
  /// part is the fixed prefix: "router", "control", "consensus", "placement", ...
  explicit Logger(std::string part) : part_(std::move(part)) {}

  void debug(std::string_view sentence, std::string_view request_id = {}) const;
  void info(std::string_view sentence, std::string_view request_id = {}) const;
  void warning(std::string_view sentence, std::string_view request_id = {}) const;
  void error(std::string_view sentence, std::string_view request_id = {}) const;

 private:
  std::string part_;
};

}  // namespace ferryrock
