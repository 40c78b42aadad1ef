#include <ctime>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "catalog/settings_schema.h"
#include "catalog/tree_files.h"
#include "catalog/tree_json.h"
#include "cli/command.h"
#include "cli/output.h"
#include "cli/tree_client.h"

/// Subcommands that read the settings tree and its history.
namespace ferryrock::cli {
namespace {

using catalog::SettingsTree;
using nlohmann::ordered_json;

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::string settingsText(const wire::TreeNode& node) {
  std::string text;
  for (const wire::Setting& setting : node.settings) {
    text += (text.empty() ? "" : " ") + setting.key + "=" + setting.value;
  }
  return text.empty() ? "-" : text;
}

Table tableOfTree(const SettingsTree& tree) {
  Table table{{"name", "kind", "parent", "settings"}, {}};
  for (const auto& [name, node] : tree.nodes()) {
    table.rows.push_back({name, std::string(catalog::nodeKindName(node.kind)),
                          node.parent.empty() ? "-" : node.parent, settingsText(node)});
  }
  return table;
}

/// The whole tree, or the one node.
SettingsTree selectNodes(const FetchedTree& fetched, const std::vector<std::string>& names) {
  if (names.empty()) {
    return fetched.tree;
  }
  const wire::TreeNode* node = fetched.tree.find(names.front());
  if (node == nullptr) {
    throw Error(ResultCode::UnknownNode,
                "version " + std::to_string(fetched.version.value) + " has no node '" + names.front() + "'");
  }
  return SettingsTree({*node});
}

ordered_json treeToJson(TreeVersion version, const SettingsTree& tree) {
  ordered_json object = {{"version", version.value}, {"nodes", ordered_json::array()}};
  for (const auto& [name, node] : tree.nodes()) {
    object["nodes"].push_back(nlohmann::ordered_json(catalog::nodeToJson(node)));
  }
  return object;
}

void declareGet(cxxopts::Options& options) {
  options.add_options()("resolved", "Show each value after inheritance and the node that sets it")(
      "version", "A kept version instead of the current one",
      cxxopts::value<std::string>()->default_value(""), "N");
}

ExitCode getResolved(const CommandInput& input) {
  const std::vector<std::string> names = positionals(input);
  if (names.empty()) {
    throw Error(ResultCode::InvalidArgument, "--resolved needs the NAME of a node");
  }
  OperatorClient client(input);
  const ordered_json answer = client.get("/api/tree/resolved?node=" + encodeQueryValue(names.front()));
  if (outputFormat(input) == OutputFormat::Json) {
    input.environment.out << answer.dump(2) << "\n";
    return ExitCode::Success;
  }
  Table table{{"key", "value", "set by"}, {}};
  for (const ordered_json& setting : answer.at("settings")) {
    const std::string origin = setting.value("origin", "");
    table.rows.push_back({setting.at("key").get<std::string>(), cellText(setting.at("value")),
                          origin.empty() ? "(default)" : origin});
  }
  printTable(table, input.environment.out);
  return ExitCode::Success;
}

ExitCode runGet(const CommandInput& input) {
  if (input.options.count("resolved") > 0) {
    return getResolved(input);
  }
  std::optional<TreeVersion> version;
  if (const std::string text = input.options["version"].as<std::string>(); !text.empty()) {
    version = TreeVersion(parseWholeNumber(text, "--version"));
  }
  OperatorClient client(input);
  const FetchedTree fetched = fetchTree(client, version);
  const SettingsTree selected = selectNodes(fetched, positionals(input));
  switch (outputFormat(input)) {
    case OutputFormat::Json:
      input.environment.out << treeToJson(fetched.version, selected).dump(2) << "\n";
      break;
    case OutputFormat::Yaml:
      input.environment.out << catalog::formatTree(selected);
      break;
    case OutputFormat::Table:
      input.environment.out << "Version " << fetched.version << "\n";
      printTable(tableOfTree(selected), input.environment.out);
      break;
  }
  return ExitCode::Success;
}

std::string timeText(std::int64_t milliseconds) {
  const std::time_t seconds = milliseconds / kMillisecondsPerSecond;
  std::tm fields{};
  gmtime_r(&seconds, &fields);
  char text[sizeof "2026-01-31T12:00:00Z"];
  const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &fields);
  return std::string(text, length);
}

void declareNothing(cxxopts::Options&) {}

ExitCode runHistory(const CommandInput& input) {
  OperatorClient client(input);
  const ordered_json answer = client.get("/api/history");
  if (outputFormat(input) == OutputFormat::Json) {
    input.environment.out << answer.dump(2) << "\n";
    return ExitCode::Success;
  }
  Table table{{"version", "time", "author", "set", "removed", "change", "message"}, {}};
  for (const ordered_json& entry : answer.at("entries")) {
    table.rows.push_back({cellText(entry.at("version")), timeText(entry.at("time_ms").get<std::int64_t>()),
                          cellText(entry.at("author")), cellText(entry.at("upserts")),
                          cellText(entry.at("removals")), cellText(entry.at("change_id")),
                          cellText(entry.at("message"))});
  }
  printTable(table, input.environment.out);
  return ExitCode::Success;
}

constexpr CommandDefinition kCommands[] = {
    {"get", CommandKind::Operator, "[NAME]", "Show the settings tree or one node of it",
     "ferryrock get compressor-diagnosis --resolved", 0, 1, declareGet, runGet},
    {"history", CommandKind::Operator, "", "List the versions that are kept", "ferryrock history -o json", 0,
     0, declareNothing, runHistory},
};

}  // namespace

std::span<const CommandDefinition> readCommands() {
  return kCommands;
}

}  // namespace ferryrock::cli
