// ferryrock-sim: the product's logic under a virtual clock, with faults and an oracle.

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>

#include "common/error.h"
#include "common/logging.h"
#include "simulation/simulation_run.h"
#include "simulation/sweep.h"

namespace {

namespace simulation = ferryrock::simulation;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsage = R"(ferryrock-sim COMMAND [options]

  run    --seed N [--minutes M] [--trace FILE] [--shrink]   one run
  sweep  --seeds A..B [--minutes M] [--threads T]           many runs, counts of faults, failing seeds
  defects --seeds A..B [--threads T]                         first seed that finds each deliberate defect

  --defect NAME puts a deliberate defect into a run or a sweep, to show that it is found.

Example: ferryrock-sim sweep --seeds 1..1000 --threads 8
)";

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 1;
};

SeedRange parseRange(const std::string& text) {
  const std::size_t dots = text.find("..");
  try {
    if (dots == std::string::npos) {
      const std::uint64_t seed = std::stoull(text);
      return {seed, seed};
    }
    return {std::stoull(text.substr(0, dots)), std::stoull(text.substr(dots + 2))};
  } catch (const std::exception&) {
    throw ferryrock::Error(ferryrock::ResultCode::InvalidArgument,
                           "'" + text + "' isn't a range such as 1..100", "--seeds");
  }
}

simulation::RunSettings runSettings(const cxxopts::ParseResult& options) {
  simulation::RunSettings settings;
  settings.seed = options["seed"].as<std::uint64_t>();
  if (options.count("minutes") > 0) {
    const std::chrono::duration<double, std::ratio<60>> minutes(options["minutes"].as<double>());
    settings.faults_for = std::chrono::duration_cast<ferryrock::Duration>(minutes);
  }
  if (options.count("defect") > 0) {
    settings.defects = simulation::defectsByName(options["defect"].as<std::string>());
  }
  return settings;
}

void printFailure(const simulation::RunReport& report) {
  std::cout << "FAILED seed " << report.seed << ": " << report.violation << '\n'
            << "  replay: ferryrock-sim run --seed " << report.seed << '\n';
}

void printShrunk(const simulation::RunSettings& settings, const simulation::RunReport& report) {
  constexpr std::uint32_t kMaximumRuns = 200;
  const simulation::FaultPlan smallest = simulation::shrink(settings, report.plan, kMaximumRuns);
  std::cout << "shrunk from " << report.plan.size() << " to " << smallest.size() << " faults:\n";
  for (const simulation::PlannedFault& fault : smallest) {
    std::cout << "  " << simulation::describe(fault) << '\n';
  }
}

int runOne(const cxxopts::ParseResult& options) {
  simulation::RunSettings settings = runSettings(options);
  std::ofstream trace;
  if (options.count("trace") > 0) {
    trace.open(options["trace"].as<std::string>());
    settings.trace = &trace;
  }
  const simulation::RunReport report = simulation::run(settings);
  simulation::printCounts(std::cout, report);
  std::cout << "seed " << report.seed << " trace digest " << std::hex << report.trace_digest << std::dec
            << " events " << report.events << '\n';
  if (report.passed) {
    std::cout << "passed\n";
    return kExitOk;
  }
  printFailure(report);
  for (const simulation::PlannedFault& fault : report.plan) {
    std::cout << "  " << simulation::describe(fault) << '\n';
  }
  if (options.count("shrink") > 0) {
    printShrunk(settings, report);
  }
  return kExitFailed;
}

int findDefects(const cxxopts::ParseResult& options) {
  const SeedRange range = parseRange(options["seeds"].as<std::string>());
  bool all_found = true;
  for (const simulation::NamedDefect& defect : simulation::namedDefects()) {
    simulation::RunSettings settings = runSettings(options);
    defect.turn_on(settings.defects);
    const std::optional<simulation::RunReport> found =
        simulation::firstFailure(settings, range.first, range.last, options["threads"].as<std::uint32_t>());
    std::cout << defect.name << ": "
              << (found ? "seed " + std::to_string(found->seed) + ", " + found->violation : "not found")
              << std::endl;
    all_found = all_found && found.has_value();
  }
  return all_found ? kExitOk : kExitFailed;
}

int runSweep(const cxxopts::ParseResult& options) {
  simulation::SweepSettings settings;
  const SeedRange range = parseRange(options["seeds"].as<std::string>());
  settings.first_seed = range.first;
  settings.last_seed = range.last;
  settings.threads = options["threads"].as<std::uint32_t>();
  settings.run = runSettings(options);
  const simulation::SweepReport report = simulation::sweep(settings, printFailure);
  simulation::printCounts(std::cout, report.sum);
  std::cout << report.passed << " of " << report.runs << " seeds passed\n";
  return report.passed == report.runs ? kExitOk : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    ferryrock::LogSettings log;
    log.level = ferryrock::LogLevel::Error;
    ferryrock::configureLogging(log);
    cxxopts::Options options("ferryrock-sim", "Runs the system under a virtual clock.");
    options.add_options()("command", "run or sweep", cxxopts::value<std::string>()->default_value(""))(
        "seed", "seed of one run", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "range of seeds", cxxopts::value<std::string>()->default_value("1..100"))(
        "minutes", "virtual time with faults", cxxopts::value<double>())(
        "threads", "runs at once",
        cxxopts::value<std::uint32_t>()->default_value(
            std::to_string(std::thread::hardware_concurrency() / 2 + 1)))(
        "defect", "deliberate defect", cxxopts::value<std::string>())("trace", "file for the trace",
                                                                      cxxopts::value<std::string>())(
        "shrink", "look for a smaller failing plan")("help", "this text")("version", "print the version");
    options.parse_positional({"command"});
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    const std::string command = parsed["command"].as<std::string>();
    if (parsed.count("version") > 0) {
      std::cout << "ferryrock-sim " << FERRYROCK_VERSION << '\n';
      return kExitOk;
    }
    if (parsed.count("help") > 0) {
      std::cout << kUsage;
      return kExitOk;
    }
    if (command == "run") {
      return runOne(parsed);
    }
    if (command == "sweep") {
      return runSweep(parsed);
    }
    if (command == "defects") {
      return findDefects(parsed);
    }
    std::cerr << kUsage;
    return kExitUsage;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n' << kUsage;
    return kExitUsage;
  } catch (const ferryrock::Error& error) {
    std::cerr << error.what() << '\n';
    return kExitUsage;
  }
}
