#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cli/environment.h"
#include "cli/exit_code.h"

namespace ferryrock::cli {

/// A subcommand that another part runs, listed in the help: `ferryrock router`.
struct ProcessCommand {
  std::string_view name;
  std::string_view summary;
};

struct ProgramDescription {
  std::string version;
  std::vector<ProcessCommand> processes;
};

/// Runs one operators' subcommand; arguments begin after the program's name. Reports errors itself.
ExitCode runCommandLine(const std::vector<std::string>& arguments, const ProgramDescription& program,
                        Environment& environment);

}  // namespace ferryrock::cli
