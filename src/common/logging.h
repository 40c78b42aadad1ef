#pragma once

#include <string>
#include <string_view>

namespace ferryrock {

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogFormat { Text, Json };

/// Where and how log lines are written; set once before the first line.
struct LogSettings {
  LogLevel level = LogLevel::Info;
  LogFormat format = LogFormat::Text;
  std::string file;  ///< empty: standard error
  /// To standard output without ever waiting for its reader; lines that find no room are dropped and counted.
  bool bounded_standard_output = false;
};

/// Configures log4cplus for the process. Call from the main thread before others start.
void configureLogging(const LogSettings& settings);

/// "debug", "info", "warning" or "error".
const char* levelName(LogLevel level);
/// True when lines of this level are written.
bool logEnabled(LogLevel level);
/// Writes one finished line.
void logLine(LogLevel level, const std::string& line);
/// The time of day as log lines carry it.
std::string logTimestamp();

/// Writes short sentences with a fixed prefix per part, e.g. "[router] ...". Thread-safe, cheap to copy.
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
