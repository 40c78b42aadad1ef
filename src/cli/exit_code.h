#pragma once

namespace ferryrock::cli {

/// Exit codes of every subcommand; docs/CLI.md lists them.
enum class ExitCode : int {
  Success = 0,  ///< done, or nothing to do
  Failure = 1,  ///< refused, invalid files, or the control cell can't be reached
  Usage = 2,    ///< unknown subcommand, option or argument
};

}  // namespace ferryrock::cli
