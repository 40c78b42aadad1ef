#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cli/environment.h"
#include "cli/exit_code.h"

namespace cxxopts {
class Options;
class ParseResult;
}  // namespace cxxopts

namespace ferryrock::cli {

/// A subcommand's arguments after parsing.
struct CommandInput {
  const cxxopts::ParseResult& options;
  Environment& environment;
};

/// Which shared options a subcommand takes.
enum class CommandKind {
  Local,     ///< works without a control cell
  Operator,  ///< calls the control cell: --control, --token-file, --ca-file, -o
};

/// One subcommand of `ferryrock`.
struct CommandDefinition {
  std::string_view name;
  CommandKind kind;
  std::string_view arguments;  ///< of the usage line, "NAME [--resolved]"
  std::string_view summary;
  std::string_view example;
  std::size_t least_positionals;
  std::size_t most_positionals;
  void (*declare)(cxxopts::Options&);  ///< adds the own options
  ExitCode (*run)(const CommandInput&);
};

/// The subcommands of one file each.
std::span<const CommandDefinition> changeCommands();
std::span<const CommandDefinition> readCommands();
std::span<const CommandDefinition> cellCommands();
std::span<const CommandDefinition> memberCommands();
std::span<const CommandDefinition> localCommands();
std::span<const CommandDefinition> inspectCommands();
std::span<const CommandDefinition> quarantineCommands();
std::span<const CommandDefinition> evacuationCommands();

/// Positional arguments in their order.
std::vector<std::string> positionals(const CommandInput& input);
/// Throws Error InvalidArgument unless the text is a whole number.
std::uint64_t parseWholeNumber(const std::string& text, const std::string& what);

}  // namespace ferryrock::cli
