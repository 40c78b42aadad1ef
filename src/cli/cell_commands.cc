#include <algorithm>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "cli/operator_client.h"
#include "cli/output.h"
#include "common/quantity.h"

/// Subcommands about the running cell: its members, engines and decisions.
namespace ferryrock::cli {
namespace {

using nlohmann::ordered_json;

constexpr Duration kDrainPollInterval = std::chrono::seconds(1);

void declareNothing(cxxopts::Options&) {}

void printAnswer(const CommandInput& input, const ordered_json& answer) {
  if (outputFormat(input) == OutputFormat::Json) {
    input.environment.out << answer.dump(2) << "\n";
  } else {
    printSections(answer, input.environment.out);
  }
}

/// Adds what each member itself says that it has in force.
void askMembers(OperatorClient& client, ordered_json& status) {
  for (ordered_json& member : status["members"]) {
    const auto own = client.askMember(member.value("http", ""), "/api/status");
    member["answers"] = own.has_value();
    member["tree_version"] = own ? own->value("tree_version", ordered_json()) : ordered_json();
    member["committed"] = own ? own->value("committed", ordered_json()) : ordered_json();
  }
}

ExitCode runStatus(const CommandInput& input) {
  OperatorClient client(input);
  ordered_json status = client.get("/api/status");
  if (status.contains("members")) {
    askMembers(client, status);
  }
  printAnswer(input, status);
  return ExitCode::Success;
}

ExitCode runExplain(const CommandInput& input) {
  OperatorClient client(input);
  printAnswer(input, client.get("/api/explain?model=" + encodeQueryValue(positionals(input).front())));
  return ExitCode::Success;
}

void declareDrain(cxxopts::Options& options) {
  options.add_options()("undo", "Let the engine take work again")("wait",
                                                                  "Return when it holds no replica any more")(
      "wait-timeout", "Longest wait", cxxopts::value<std::string>()->default_value("10m"), "TIME");
}

std::size_t slotsOn(const std::string& engine, const ordered_json& status) {
  const auto& slots = status.at("slots");
  return static_cast<std::size_t>(
      std::count_if(slots.begin(), slots.end(), [&engine](const ordered_json& slot) {
        return slot.value("engine", "") == engine && slot.value("state", "") != "freed";
      }));
}

ExitCode waitUntilEmpty(const CommandInput& input, OperatorClient& client, const std::string& engine) {
  const Duration limit = parseDuration(input.options["wait-timeout"].as<std::string>());
  for (Duration waited{}; waited <= limit; waited += kDrainPollInterval) {
    if (slotsOn(engine, client.get("/api/status?confirmed=true")) == 0) {
      input.environment.out << "Engine " << engine << " holds no replica any more.\n";
      return ExitCode::Success;
    }
    input.environment.sleep(kDrainPollInterval);
  }
  input.environment.err << "ferryrock: engine " << engine << " still holds replicas after "
                        << formatDuration(limit) << "; the drain goes on.\n";
  return ExitCode::Failure;
}

ExitCode runDrain(const CommandInput& input) {
  const std::string engine = positionals(input).front();
  const bool drain = input.options.count("undo") == 0;
  OperatorClient client(input);
  client.post("/api/drain", {{"engine", engine}, {"drain", drain}});
  input.environment.out << "Engine " << engine << (drain ? " is draining.\n" : " takes work again.\n");
  if (drain && input.options.count("wait") > 0) {
    return waitUntilEmpty(input, client, engine);
  }
  return ExitCode::Success;
}

constexpr CommandDefinition kCommands[] = {
    {"status", CommandKind::Operator, "", "Show members, engines, replicas and routers",
     "ferryrock status -o json", 0, 0, declareNothing, runStatus},
    {"explain", CommandKind::Operator, "MODEL", "Show why a model has the replicas that it has",
     "ferryrock explain compressor-diagnosis", 1, 1, declareNothing, runExplain},
    {"drain", CommandKind::Operator, "ENGINE", "Take an engine out of service, or back with --undo",
     "ferryrock drain engine-3 --wait", 1, 1, declareDrain, runDrain},
};

}  // namespace

std::span<const CommandDefinition> cellCommands() {
  return kCommands;
}

}  // namespace ferryrock::cli
