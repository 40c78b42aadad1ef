#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "cli/operator_client.h"
#include "cli/output.h"

/// Subcommand about the calls that are kept away from replicas.
namespace ferryrock::cli {
namespace {

using nlohmann::ordered_json;

void declareQuarantine(cxxopts::Options& options) {
  options.add_options()("release", "Let calls of this fingerprint run again",
                        cxxopts::value<std::string>()->default_value(""), "FINGERPRINT");
}

ExitCode runQuarantine(const CommandInput& input) {
  OperatorClient client(input);
  const auto fingerprint = input.options["release"].as<std::string>();
  const ordered_json answer = fingerprint.empty()
                                  ? client.get("/api/quarantine")
                                  : client.post("/api/quarantine/release", {{"fingerprint", fingerprint}});
  if (outputFormat(input) == OutputFormat::Json) {
    input.environment.out << answer.dump(2) << "\n";
    return ExitCode::Success;
  }
  Table table{{"fingerprint", "state", "ends", "last end", "suspect", "trials"}, {}};
  for (const ordered_json& call : answer.at("calls")) {
    std::string ends;
    for (const ordered_json& end : call.at("ends")) {
      ends += (ends.empty() ? "" : " ") + end.at("replica").get<std::string>() +
              (end.at("refuted").get<bool>() ? " (refuted)" : "");
    }
    table.rows.push_back({call.at("fingerprint").get<std::string>(), call.at("state").get<std::string>(),
                          ends, std::to_string(call.at("last_end_ms_ago").get<std::int64_t>()) + " ms ago",
                          call.value("kind", "call") + " " + call.value("name", ""),
                          std::to_string(call.value("trials", 0))});
  }
  printTable(table, input.environment.out);
  return ExitCode::Success;
}

constexpr CommandDefinition kCommands[] = {
    {"quarantine", CommandKind::Operator, "[--release FINGERPRINT]",
     "Calls, prompt parts and adapters kept away from replicas, since several ended under them",
     "ferryrock quarantine --release 5f0c1f0a3c1e4b7e9a60c2d18f3b4a55", 0, 0, &declareQuarantine,
     &runQuarantine},
};

}  // namespace

std::span<const CommandDefinition> quarantineCommands() {
  return kCommands;
}

}  // namespace ferryrock::cli
