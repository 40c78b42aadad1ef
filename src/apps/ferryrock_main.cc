#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "cli/command_line.h"
#include "cli/exit_code.h"
#include "common/error.h"
#include "control_process/control_process.h"
#include "event/early_signal.h"
#include "router_process/router_process.h"

namespace {

using ferryrock::Error;
using ferryrock::ResultCode;
using ferryrock::cli::ExitCode;

/// A subcommand that runs a process until it is stopped.
struct ProcessRole {
  ferryrock::cli::ProcessCommand command;
  int (*run)(const std::string& config_file);
};

const std::vector<ProcessRole>& processRoles() {
  static const std::vector<ProcessRole> roles{
      {{"control", "run a member of the control cell"}, &ferryrock::control_process::runControl},
      {{"router", "run a router, which serves callers"}, &ferryrock::router_process::runRouter},
  };
  return roles;
}

int report(const std::exception& fault, ExitCode code) {
  std::cerr << fault.what() << "\n";
  return static_cast<int>(code);
}

int runRole(const ProcessRole& role, const std::vector<std::string>& arguments) {
  const std::string name(role.command.name);
  cxxopts::Options options("ferryrock " + name, std::string(role.command.summary));
  options.add_options()("config", "settings file (YAML)", cxxopts::value<std::string>())(
      "h,help", "show this help")("version", "show the version");
  options.custom_help("--config FILE");
  std::vector<const char*> words{"ferryrock"};
  for (const std::string& argument : arguments) {
    words.push_back(argument.c_str());
  }
  const cxxopts::ParseResult parsed = options.parse(static_cast<int>(words.size()), words.data());
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\nSIGTERM is a planned stop, SIGHUP reads the peers' keys again."
              << "\n\nExample:\n  ferryrock " << name << " --config /etc/ferryrock/" << name << ".yaml\n";
    return static_cast<int>(ExitCode::Success);
  }
  if (parsed.count("version") > 0) {
    std::cout << "ferryrock " << FERRYROCK_VERSION << "\n";
    return static_cast<int>(ExitCode::Success);
  }
  if (parsed.count("config") == 0 || !parsed.unmatched().empty()) {
    throw Error(ResultCode::InvalidArgument, "'ferryrock " + name + "' takes --config FILE");
  }
  return role.run(parsed["config"].as<std::string>());
}

int runProcess(const ProcessRole& role, const std::vector<std::string>& arguments) {
  try {
    return runRole(role, arguments);
  } catch (const cxxopts::exceptions::exception& fault) {
    return report(Error(ResultCode::InvalidArgument, fault.what()), ExitCode::Usage);
  } catch (const Error& fault) {
    return report(fault, fault.code() == ResultCode::InvalidArgument ? ExitCode::Usage : ExitCode::Failure);
  } catch (const std::exception& fault) {
    return report(fault, ExitCode::Failure);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  ferryrock::cli::ProgramDescription program{FERRYROCK_VERSION, {}};
  for (const ProcessRole& role : processRoles()) {
    if (!arguments.empty() && arguments.front() == role.command.name) {
      ferryrock::event::keepEarlySignal(SIGHUP);
      return runProcess(role, {arguments.begin() + 1, arguments.end()});
    }
    program.processes.push_back(role.command);
  }
  ferryrock::cli::Environment environment = ferryrock::cli::systemEnvironment();
  return static_cast<int>(ferryrock::cli::runCommandLine(arguments, program, environment));
}
