#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "cli/operator_client.h"
#include "cli/output.h"

/// Subcommands about zones whose replicas are taken out of use.
namespace ferryrock::cli {
namespace {

using nlohmann::ordered_json;

void declareNothing(cxxopts::Options&) {}

ExitCode printZones(const CommandInput& input, const ordered_json& answer) {
  if (outputFormat(input) == OutputFormat::Json) {
    input.environment.out << answer.dump(2) << "\n";
    return ExitCode::Success;
  }
  Table table{{"evacuated zone"}, {}};
  for (const ordered_json& zone : answer.at("zones")) {
    table.rows.push_back({zone.get<std::string>()});
  }
  printTable(table, input.environment.out);
  return ExitCode::Success;
}

ExitCode change(const CommandInput& input, const char* path) {
  OperatorClient client(input);
  return printZones(input, client.post(path, {{"zone", positionals(input).front()}}));
}

ExitCode runEvacuate(const CommandInput& input) {
  return change(input, "/api/evacuations/start");
}

ExitCode runRestore(const CommandInput& input) {
  return change(input, "/api/evacuations/stop");
}

ExitCode runEvacuations(const CommandInput& input) {
  OperatorClient client(input);
  return printZones(input, client.get("/api/evacuations"));
}

constexpr CommandDefinition kCommands[] = {
    {"evacuate", CommandKind::Operator, "ZONE", "Take a zone's replicas out of use; calls under way go on",
     "ferryrock evacuate hall-a", 1, 1, &declareNothing, &runEvacuate},
    {"restore", CommandKind::Operator, "ZONE", "Give an evacuated zone's replicas back",
     "ferryrock restore hall-a", 1, 1, &declareNothing, &runRestore},
    {"evacuations", CommandKind::Operator, "", "Zones that are evacuated", "ferryrock evacuations", 0, 0,
     &declareNothing, &runEvacuations},
};

}  // namespace

std::span<const CommandDefinition> evacuationCommands() {
  return kCommands;
}

}  // namespace ferryrock::cli
