#include "cli/command_line.h"

#include <array>
#include <charconv>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "cli/operator_client.h"
#include "cli/output.h"

namespace ferryrock::cli {
namespace {

constexpr std::size_t kSummaryColumn = 12;

std::array<std::span<const CommandDefinition>, 8> commandGroups() {
  return {changeCommands(), readCommands(),    cellCommands(),       memberCommands(),
          localCommands(),  inspectCommands(), quarantineCommands(), evacuationCommands()};
}

const CommandDefinition* findCommand(const std::string& name) {
  for (const auto& group : commandGroups()) {
    for (const CommandDefinition& command : group) {
      if (command.name == name) {
        return &command;
      }
    }
  }
  return nullptr;
}

std::string padded(std::string_view text) {
  std::string column(text);
  column.resize(std::max(kSummaryColumn, column.size() + 1), ' ');
  return column;
}

void printHelp(const ProgramDescription& program, std::ostream& out) {
  out << "ferryrock serves rarely used language models.\n\nUsage: ferryrock COMMAND "
         "[ARGUMENTS]\n\nCommands:\n";
  for (const ProcessCommand& process : program.processes) {
    out << "  " << padded(process.name) << process.summary << "\n";
  }
  for (const auto& group : commandGroups()) {
    for (const CommandDefinition& command : group) {
      out << "  " << padded(command.name) << command.summary << "\n";
    }
  }
  out << "\n'ferryrock COMMAND --help' shows a command's options and an example.\n"
         "Exit codes: 0 done, 1 failed, 2 wrong usage.\n";
}

cxxopts::Options declareOptions(const CommandDefinition& command) {
  cxxopts::Options options("ferryrock " + std::string(command.name), std::string(command.summary));
  options.add_options()("h,help", "Show this help");
  options.add_options()("positionals", "", cxxopts::value<std::vector<std::string>>());
  if (command.kind == CommandKind::Operator) {
    declareOperatorOptions(options);
  }
  command.declare(options);
  options.custom_help("[OPTIONS]");
  options.positional_help(std::string(command.arguments));
  options.parse_positional({"positionals"});
  return options;
}

std::string commandHelp(const CommandDefinition& command, const cxxopts::Options& options) {
  return options.help() + "\nExample:\n  " + std::string(command.example) + "\n";
}

void checkPositionals(const CommandDefinition& command, const CommandInput& input) {
  const std::size_t count = positionals(input).size();
  if (count < command.least_positionals || count > command.most_positionals) {
    throw Error(ResultCode::InvalidArgument,
                "the arguments of '" + std::string(command.name) + "' are " +
                    (command.arguments.empty() ? "none" : std::string(command.arguments)));
  }
}

cxxopts::ParseResult parse(cxxopts::Options& options, const std::vector<std::string>& arguments) {
  std::vector<const char*> pointers;
  pointers.reserve(arguments.size());
  for (const std::string& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  return options.parse(static_cast<int>(pointers.size()), pointers.data());
}

ExitCode reportError(const Error& error, bool as_json, std::ostream& err) {
  printError(error, as_json, err);
  return error.code() == ResultCode::InvalidArgument ? ExitCode::Usage : ExitCode::Failure;
}

ExitCode runCommand(const CommandDefinition& command, const std::vector<std::string>& arguments,
                    Environment& environment) {
  bool as_json = false;
  try {
    cxxopts::Options options = declareOptions(command);
    const cxxopts::ParseResult result = parse(options, arguments);
    if (result.count("help") > 0) {
      environment.out << commandHelp(command, options);
      return ExitCode::Success;
    }
    const CommandInput input{result, environment};
    as_json = command.kind == CommandKind::Operator && outputFormat(input) == OutputFormat::Json;
    checkPositionals(command, input);
    return command.run(input);
  } catch (const Error& error) {
    return reportError(error, as_json, environment.err);
  } catch (const cxxopts::exceptions::exception& fault) {
    return reportError(Error(ResultCode::InvalidArgument, fault.what()), as_json, environment.err);
  } catch (const nlohmann::json::exception& fault) {
    return reportError(Error(ResultCode::MalformedMessage, std::string("the answer: ") + fault.what()),
                       as_json, environment.err);
  }
}

}  // namespace

std::vector<std::string> positionals(const CommandInput& input) {
  if (input.options.count("positionals") == 0) {
    return {};
  }
  return input.options["positionals"].as<std::vector<std::string>>();
}

std::uint64_t parseWholeNumber(const std::string& text, const std::string& what) {
  std::uint64_t number = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (fault != std::errc{} || end != text.data() + text.size()) {
    throw Error(ResultCode::InvalidArgument, what + " must be a whole number and is '" + text + "'");
  }
  return number;
}

ExitCode runCommandLine(const std::vector<std::string>& arguments, const ProgramDescription& program,
                        Environment& environment) {
  if (arguments.empty()) {
    printHelp(program, environment.err);
    return ExitCode::Usage;
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    printHelp(program, environment.out);
    return ExitCode::Success;
  }
  if (name == "--version") {
    environment.out << "ferryrock " << program.version << "\n";
    return ExitCode::Success;
  }
  const CommandDefinition* command = findCommand(name);
  if (command == nullptr) {
    return reportError(Error(ResultCode::InvalidArgument, "there is no command '" + name + "'"), false,
                       environment.err);
  }
  return runCommand(*command, arguments, environment);
}

}  // namespace ferryrock::cli
