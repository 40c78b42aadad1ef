#include "common/log_settings.h"

#include <string>

namespace ferryrock {

LogSettings readLogSettings(SettingsReader reader) {
  LogSettings log;
  const std::string level = reader.choice("level", {"debug", "info", "warning", "error"}, "info");
  log.level = level == "debug"     ? LogLevel::Debug
              : level == "warning" ? LogLevel::Warning
              : level == "error"   ? LogLevel::Error
                                   : LogLevel::Info;
  log.format =
      reader.choice("format", {"text", "json"}, "text") == "json" ? LogFormat::Json : LogFormat::Text;
  log.file = reader.text("file", "");
  reader.finish();
  return log;
}

}  // namespace ferryrock
