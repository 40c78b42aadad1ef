#pragma once

#include <string>

/// The shell around ControlNode: binds it to the reactor, the sockets, the disk and HTTP.
namespace ferryrock::control_process {

/// Runs one control member until it is told to stop by SIGTERM or SIGINT. Returns the process's exit code.
/// Throws Error for settings and data that it can't start with.
int runControl(const std::string& config_file);

}  // namespace ferryrock::control_process
