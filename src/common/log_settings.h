#pragma once

#include "common/logging.h"
#include "common/settings_reader.h"

namespace ferryrock {

/// Reads the section `log` of a process's settings file: level, format, file. Throws Error with the file,
/// line and key of the first fault.
LogSettings readLogSettings(SettingsReader reader);

}  // namespace ferryrock
