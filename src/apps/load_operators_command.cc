#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/quantity.h"
#include "event/dispatcher.h"
#include "http/http.h"
#include "load/change_record.h"
#include "load/change_run.h"
#include "load/record_file.h"
#include "load_commands.h"

namespace ferryrock::load {
namespace {

using StringList = std::vector<std::string>;

ChangeRunSettings readSettings(const cxxopts::ParseResult& arguments) {
  ChangeRunSettings settings;
  if (arguments.count("control") == 0) {
    throw Error(ResultCode::InvalidArgument, "--control is missing");
  }
  settings.access.controls = arguments["control"].as<StringList>();
  settings.processes = settings.access.controls;
  if (arguments.count("router") > 0) {
    const auto routers = arguments["router"].as<StringList>();
    settings.processes.insert(settings.processes.end(), routers.begin(), routers.end());
  }
  settings.access.token = arguments["token"].as<std::string>();
  settings.node = arguments["node"].as<std::string>();
  settings.name = arguments["name"].as<std::string>();
  settings.count = arguments["count"].as<std::uint32_t>();
  settings.interval = parseDuration(arguments["interval"].as<std::string>());
  settings.race_share = arguments["race-share"].as<double>();
  settings.resend_share = arguments["resend-share"].as<double>();
  settings.seed = arguments["seed"].as<std::uint64_t>();
  return settings;
}

void makeChanges(const ChangeRunSettings& settings, const std::string& file) {
  RecordFile records(file);
  const std::unique_ptr<event::Dispatcher> dispatcher = event::createAceDispatcher();
  const std::unique_ptr<http::Client> client = http::createClient(*dispatcher);
  ChangeRun run(
      *dispatcher, *client, settings, [&records](const std::string& line) { records.append(line); },
      [&dispatcher] { dispatcher->exit(); });
  dispatcher->onSignal(SIGINT, [&run] { run.stop(); });
  dispatcher->onSignal(SIGTERM, [&run] { run.stop(); });
  dispatcher->post([&run] { run.start(); });
  dispatcher->run();
  records.sync();
}

}  // namespace

int operatorsCommand(ArgumentList list) {
  const ChangeRunSettings defaults;
  cxxopts::Options options("ferryrock-load operators",
                           "Changes the settings as racing operators do, and records which process has which "
                           "version in force, when.");
  options.add_options()("control", "base URL of a control member; several times",
                        cxxopts::value<StringList>())(
      "router", "base URL of a router to watch; several times", cxxopts::value<StringList>())(
      "records", "file for the records", cxxopts::value<std::string>())(
      "token", "operator's token", cxxopts::value<std::string>()->default_value(""))(
      "node", "node of the tree that gets a new deadline with each change; created if it's missing",
      cxxopts::value<std::string>()->default_value(defaults.node))(
      "count", "rounds of changes",
      cxxopts::value<std::uint32_t>()->default_value(std::to_string(defaults.count)))(
      "interval", "between two rounds", cxxopts::value<std::string>()->default_value("200ms"))(
      "race-share", "share of rounds in which two operators change the same version",
      cxxopts::value<double>()->default_value("0.2"))(
      "resend-share", "share of accepted changes that are sent again to another member",
      cxxopts::value<double>()->default_value("0.2"))("seed", "seed of races and resends",
                                                      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "name", "prefix of change identifiers, unique among runs",
      cxxopts::value<std::string>()->default_value(defaults.name))("help", "show this");
  const auto arguments = options.parse(list.count, list.values);
  if (arguments.count("help") > 0) {
    std::cout << options.help()
              << "\nExample:\n  ferryrock-load operators --control http://127.0.0.1:7400 --router "
                 "http://127.0.0.1:8080 --records changes.jsonl\n";
    return 0;
  }
  if (arguments.count("records") == 0) {
    throw Error(ResultCode::InvalidArgument, "--records is missing");
  }
  const auto file = arguments["records"].as<std::string>();
  makeChanges(readSettings(arguments), file);
  std::cout << formatChangeSummary(readChangeHistory(file));
  return 0;
}

}  // namespace ferryrock::load
