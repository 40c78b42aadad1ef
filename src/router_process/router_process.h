#pragma once

#include <string>

/// The shell around RouterNode: binds it to the reactor, the sockets, the disk and HTTP.
namespace ferryrock::router_process {

/// Runs one router until a planned stop by SIGTERM or SIGINT has ended what it has begun. Returns the
/// process's exit code. Throws Error for settings and data that it can't start with.
int runRouter(const std::string& config_file);

}  // namespace ferryrock::router_process
