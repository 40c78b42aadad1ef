#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/quantity.h"
#include "event/dispatcher.h"
#include "http/http.h"
#include "load/audit.h"
#include "load/experiment/placement_experiment.h"
#include "load/load_mix.h"
#include "load/load_run.h"
#include "load/planned_operation.h"
#include "load/record_file.h"
#include "load/summary.h"
#include "load_commands.h"
#include "load_evidence.h"

/// ferryrock-load: stand-in callers and the audit of what they were told.
namespace ferryrock::load {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr Duration kProgressInterval = std::chrono::seconds(5);

constexpr const char* kUsage = R"(ferryrock-load: stand-in callers for tests and measurements

  ferryrock-load run        send the load of a mix or a trace, write a record of each call
  ferryrock-load operators  change the settings, and watch which process has which version in force
  ferryrock-load trace      write the trace of a mix
  ferryrock-load report     print counts and latencies of records
  ferryrock-load figures    print the figures of a burst, a failure or a planned stop
  ferryrock-load audit      join records with engines' journals and look for broken promises
  ferryrock-load experiment compare placement policies on one trace under virtual time

'ferryrock-load COMMAND --help' shows the options and an example.
)";

/// Prints the help and returns true if it was asked for.
bool askedForHelp(const cxxopts::Options& options, const cxxopts::ParseResult& arguments,
                  const char* example) {
  if (arguments.count("help") == 0) {
    return false;
  }
  std::cout << options.help() << "\nExample:\n  " << example << "\n";
  return true;
}

std::string required(const cxxopts::ParseResult& arguments, const std::string& name) {
  if (arguments.count(name) == 0) {
    throw Error(ResultCode::InvalidArgument, "--" + name + " is missing");
  }
  return arguments[name].as<std::string>();
}

std::vector<std::string> list(const cxxopts::ParseResult& arguments, const std::string& name) {
  return arguments.count(name) == 0 ? std::vector<std::string>{}
                                    : arguments[name].as<std::vector<std::string>>();
}

std::vector<PlannedOperation> plannedOperations(const cxxopts::ParseResult& arguments) {
  if (arguments.count("trace") > 0) {
    return readTrace(arguments["trace"].as<std::string>());
  }
  LoadMix mix = readLoadMix(required(arguments, "mix"));
  if (arguments.count("seed") > 0) {
    mix.seed = arguments["seed"].as<std::uint64_t>();
  }
  return planOperations(mix, arguments["name"].as<std::string>());
}

void printProgress(const LoadProgress& progress) {
  std::cout << "load: " << progress.sent << " of " << progress.planned << " sent, " << progress.in_flight
            << " in flight, " << progress.answered << " answered (" << progress.refused << " refused), "
            << progress.broken << " broken" << std::endl;
}

void sendAll(std::vector<PlannedOperation> operations, const std::vector<std::string>& routers,
             RecordFile& output) {
  const std::unique_ptr<event::Dispatcher> dispatcher = event::createAceDispatcher();
  const std::unique_ptr<http::Client> client = http::createClient(*dispatcher);
  LoadRun run(
      *dispatcher, *client, routers, std::move(operations),
      [&output](const CallRecord& record) { output.append(toJsonLine(record)); },
      [&dispatcher] { dispatcher->exit(); });
  std::unique_ptr<event::Timer> progress_timer;
  progress_timer = dispatcher->createTimer([&] {
    printProgress(run.progress());
    output.sync();
    progress_timer->enable(kProgressInterval);
  });
  progress_timer->enable(kProgressInterval);
  dispatcher->onSignal(SIGINT, [&run] { run.stop(); });
  dispatcher->onSignal(SIGTERM, [&run] { run.stop(); });
  dispatcher->post([&run] { run.start(); });
  dispatcher->run();
  output.sync();
  printProgress(run.progress());
}

int runCommand(ArgumentList list_of_arguments) {
  cxxopts::Options options("ferryrock-load run", "Sends load to routers and writes a record of each call.");
  options.add_options()("mix", "described mix of load (YAML)", cxxopts::value<std::string>())(
      "trace", "trace to replay instead of a mix", cxxopts::value<std::string>())(
      "router", "base URL of a router; several times", cxxopts::value<std::vector<std::string>>())(
      "records", "file for the callers' records", cxxopts::value<std::string>())(
      "seed", "seed in place of the mix's", cxxopts::value<std::uint64_t>())(
      "name", "prefix of operations and keys, unique among runs",
      cxxopts::value<std::string>()->default_value("o"))("help", "show this");
  const auto arguments = options.parse(list_of_arguments.count, list_of_arguments.values);
  if (askedForHelp(options, arguments,
                   "ferryrock-load run --mix examples/load/demo.yaml --router http://127.0.0.1:8080 "
                   "--records calls.jsonl")) {
    return kExitOk;
  }
  const std::vector<std::string> routers = list(arguments, "router");
  if (routers.empty()) {
    throw Error(ResultCode::InvalidArgument, "--router is missing");
  }
  const std::string file = required(arguments, "records");
  RecordFile output(file);
  sendAll(plannedOperations(arguments), routers, output);
  std::cout << formatSummary(readCallRecords(file));
  return kExitOk;
}

int traceCommand(ArgumentList list_of_arguments) {
  cxxopts::Options options("ferryrock-load trace", "Writes the trace of a mix.");
  options.add_options()("mix", "described mix of load (YAML)", cxxopts::value<std::string>())(
      "seed", "seed in place of the mix's", cxxopts::value<std::uint64_t>())(
      "name", "prefix of operations and keys, unique among runs",
      cxxopts::value<std::string>()->default_value("o"))("out", "file for the trace",
                                                         cxxopts::value<std::string>())("help", "show this");
  const auto arguments = options.parse(list_of_arguments.count, list_of_arguments.values);
  if (askedForHelp(options, arguments,
                   "ferryrock-load trace --mix examples/load/soak.yaml --out soak.trace")) {
    return kExitOk;
  }
  LoadMix mix = readLoadMix(required(arguments, "mix"));
  if (arguments.count("seed") > 0) {
    mix.seed = arguments["seed"].as<std::uint64_t>();
  }
  const std::vector<PlannedOperation> operations = planOperations(mix, arguments["name"].as<std::string>());
  writeTrace(required(arguments, "out"), operations);
  std::cout << operations.size() << " operations\n";
  return kExitOk;
}

AuditInput readAuditInput(const cxxopts::ParseResult& arguments) {
  RunEvidence evidence = readEvidence(arguments);
  AuditInput input;
  input.calls = std::move(evidence.calls);
  input.journals = std::move(evidence.journals);
  input.faults = std::move(evidence.faults);
  if (arguments.count("decisions") > 0) {
    input.decisions = std::move(evidence.decisions);
  }
  if (arguments.count("tree") > 0) {
    input.names = ServedNames::fromTree(arguments["tree"].as<std::string>());
  }
  if (arguments.count("changes") > 0) {
    input.changes = readChangeHistory(arguments["changes"].as<std::string>());
  }
  if (arguments.count("trace") > 0) {
    input.planned = readTrace(arguments["trace"].as<std::string>());
  }
  return input;
}

int auditCommand(ArgumentList list_of_arguments) {
  cxxopts::Options options(
      "ferryrock-load audit",
      "Joins callers' records with engines' journals and looks for broken promises. Exits 0 if "
      "there are none, else 1.");
  declareEvidenceOptions(options);
  options.add_options()("tree",
                        "settings tree that was applied, a file or a folder: tells what a service runs",
                        cxxopts::value<std::string>())("changes", "records of 'ferryrock-load operators'",
                                                       cxxopts::value<std::string>())(
      "trace", "trace that was sent: every operation of it must have a record",
      cxxopts::value<std::string>())(
      "slack-ms", "how long after its deadline an answer still counts as in time",
      cxxopts::value<std::int64_t>()->default_value(std::to_string(AuditSettings{}.late_slack_ms)))(
      "max-offenders", "how many offenders of each kind are printed",
      cxxopts::value<std::size_t>()->default_value("20"))("help", "show this");
  const auto arguments = options.parse(list_of_arguments.count, list_of_arguments.values);
  if (askedForHelp(
          options, arguments,
          "ferryrock-load audit --records calls.jsonl --journals .fleet/data --faults .fleet/faults.jsonl")) {
    return kExitOk;
  }
  AuditSettings settings;
  settings.late_slack_ms = arguments["slack-ms"].as<std::int64_t>();
  const AuditReport report = audit(readAuditInput(arguments), settings);
  std::cout << formatReport(report, arguments["max-offenders"].as<std::size_t>());
  return report.clean() ? kExitOk : kExitFailed;
}

int experimentCommand(ArgumentList list_of_arguments) {
  cxxopts::Options options("ferryrock-load experiment",
                           "Replays one trace under virtual time for the product's placement policies, the "
                           "baselines and a clairvoyant bound.");
  options.add_options()("file", "settings of the experiment (YAML)", cxxopts::value<std::string>())(
      "seed", "seed in place of the file's", cxxopts::value<std::uint64_t>())(
      "length", "simulated time in place of the file's", cxxopts::value<std::string>())(
      "csv", "file for the figures", cxxopts::value<std::string>())(
      "jobs", "variants that run at once", cxxopts::value<unsigned>()->default_value("1"))("help",
                                                                                           "show this");
  options.parse_positional({"file"});
  const auto arguments = options.parse(list_of_arguments.count, list_of_arguments.values);
  if (askedForHelp(options, arguments,
                   "ferryrock-load experiment examples/experiment/vandermeulen.yaml --csv figures.csv")) {
    return kExitOk;
  }
  experiment::ExperimentSettings settings = experiment::readExperimentSettings(required(arguments, "file"));
  if (arguments.count("seed") > 0) {
    settings.seed = arguments["seed"].as<std::uint64_t>();
  }
  if (arguments.count("length") > 0) {
    settings.length = parseDuration(arguments["length"].as<std::string>());
  }
  const experiment::ExperimentResult result = experiment::runExperiment(
      settings, arguments["jobs"].as<unsigned>(),
      [](const std::string& variant) { std::cerr << "experiment: " << variant << " is done\n"; });
  experiment::printTable(result, std::cout);
  if (arguments.count("csv") > 0) {
    std::ofstream csv(arguments["csv"].as<std::string>(), std::ios::trunc);
    experiment::writeCsv(result, csv);
  }
  return kExitOk;
}

int dispatchCommand(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  const ArgumentList rest{argc - 1, argv + 1};
  if (command == "run") {
    return runCommand(rest);
  }
  if (command == "operators") {
    return operatorsCommand(rest);
  }
  if (command == "figures") {
    return figuresCommand(rest);
  }
  if (command == "trace") {
    return traceCommand(rest);
  }
  if (command == "report") {
    return reportCommand(rest);
  }
  if (command == "audit") {
    return auditCommand(rest);
  }
  if (command == "experiment") {
    return experimentCommand(rest);
  }
  if (command == "--version") {
    std::cout << "ferryrock-load " << FERRYROCK_VERSION << "\n";
    return kExitOk;
  }
  const bool help = command == "--help" || command == "help";
  (help ? std::cout : std::cerr) << kUsage;
  return help ? kExitOk : kExitUsage;
}

}  // namespace
}  // namespace ferryrock::load

int main(int argc, char** argv) {
  try {
    return ferryrock::load::dispatchCommand(argc, argv);
  } catch (const ferryrock::Error& fault) {
    std::cerr << "ferryrock-load: " << fault.what() << "\n";
    const bool usage = fault.code() == ferryrock::ResultCode::InvalidArgument;
    return usage ? ferryrock::load::kExitUsage : ferryrock::load::kExitFailed;
  } catch (const cxxopts::exceptions::exception& fault) {
    std::cerr << "ferryrock-load: " << fault.what() << ". Run with --help for the options.\n";
    return ferryrock::load::kExitUsage;
  } catch (const std::exception& fault) {
    std::cerr << "ferryrock-load: " << fault.what() << "\n";
    return ferryrock::load::kExitFailed;
  }
}
