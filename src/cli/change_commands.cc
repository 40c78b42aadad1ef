#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "catalog/tree_files.h"
#include "catalog/tree_json.h"
#include "cli/command.h"
#include "cli/output.h"
#include "cli/tree_client.h"

/// Subcommands that change the settings tree, and diff, which shows what they would change.
namespace ferryrock::cli {
namespace {

using catalog::SettingsTree;
using catalog::TreeEdits;

/// Reads the files of -f; prints their faults and gives nullopt if there are any.
std::optional<SettingsTree> loadFiles(const CommandInput& input) {
  if (input.options.count("file") == 0) {
    throw Error(ResultCode::InvalidArgument, "-f FILE or -f FOLDER is missing");
  }
  catalog::LoadedTree loaded = catalog::loadTree(input.options["file"].as<std::string>());
  if (!loaded.faults.empty()) {
    printFaults(loaded.faults, input.environment.err);
    return std::nullopt;
  }
  return SettingsTree(std::move(loaded.nodes));
}

/// Without prune, nodes that the files don't name stay.
TreeEdits editsOfFiles(const SettingsTree& current, const SettingsTree& files, bool prune) {
  TreeEdits edits = catalog::editsBetween(current, files);
  if (!prune) {
    edits.removals.clear();
  }
  return edits;
}

void printOutcome(const CommandInput& input, TreeVersion version, const TreeEdits& edits,
                  const std::string& sentence) {
  if (outputFormat(input) == OutputFormat::Json) {
    const nlohmann::ordered_json outcome = {{"version", version.value},
                                            {"upserts", edits.upserts.size()},
                                            {"removals", edits.removals.size()},
                                            {"message", sentence}};
    input.environment.out << outcome.dump(2) << "\n";
  } else {
    input.environment.out << sentence << "\n";
  }
}

void printEditsIn(const CommandInput& input, const SettingsTree& before, const TreeEdits& edits) {
  if (outputFormat(input) == OutputFormat::Json) {
    nlohmann::ordered_json difference = {{"upserts", nlohmann::json::array()}, {"removals", edits.removals}};
    for (const wire::TreeNode& node : edits.upserts) {
      difference["upserts"].push_back(nlohmann::ordered_json(catalog::nodeToJson(node)));
    }
    input.environment.out << difference.dump(2) << "\n";
  } else {
    printEdits(before, edits, input.environment.out);
  }
}

std::string countText(const TreeEdits& edits) {
  return std::to_string(edits.upserts.size()) + " set, " + std::to_string(edits.removals.size()) + " removed";
}

void declareFileOption(cxxopts::Options& options) {
  options.add_options()("f,file", "A YAML file, or a folder of them", cxxopts::value<std::string>(), "PATH");
}

void declareApply(cxxopts::Options& options) {
  declareFileOption(options);
  declareChangeOptions(options);
  options.add_options()("base-version", "Version that the change was made from (else the current one)",
                        cxxopts::value<std::string>()->default_value(""), "N")(
      "dry-run", "Show what would change")("prune", "Remove the nodes that the files don't name");
}

ExitCode runApply(const CommandInput& input) {
  const std::optional<SettingsTree> files = loadFiles(input);
  if (!files) {
    return ExitCode::Failure;
  }
  OperatorClient client(input);
  const std::string base_text = input.options["base-version"].as<std::string>();
  std::optional<TreeVersion> base;
  if (!base_text.empty()) {
    base = TreeVersion(parseWholeNumber(base_text, "--base-version"));
  }
  const FetchedTree current = fetchTree(client, base);
  const TreeEdits edits = editsOfFiles(current.tree, *files, input.options.count("prune") > 0);
  if (edits.empty()) {
    printOutcome(
        input, current.version, edits,
        "Nothing to change: version " + std::to_string(current.version.value) + " matches the files.");
    return ExitCode::Success;
  }
  SettingsTree changed = current.tree;
  changed.applyEdits(edits);
  const auto faults = changed.validateEdits(edits, 0);
  if (!faults.empty()) {
    printFaults(faults, input.environment.err);
    return ExitCode::Failure;
  }
  if (input.options.count("dry-run") > 0) {
    printEditsIn(input, current.tree, edits);
    return ExitCode::Success;
  }
  const TreeVersion accepted = submitChange(client, describeChange(input), current.version, edits);
  printOutcome(input, accepted, edits,
               "Accepted as version " + std::to_string(accepted.value) + ": " + countText(edits) + ".");
  return ExitCode::Success;
}

void declareDiff(cxxopts::Options& options) {
  declareFileOption(options);
  options.add_options()("prune", "Count nodes that the files don't name as removed")(
      "version", "Two kept versions instead of files", cxxopts::value<std::string>()->default_value(""),
      "A..B");
}

ExitCode diffVersions(const CommandInput& input, const std::string& range) {
  const std::size_t dots = range.find("..");
  if (dots == std::string::npos) {
    throw Error(ResultCode::InvalidArgument, "--version takes two versions, as in 3..5, not '" + range + "'");
  }
  const TreeVersion from(parseWholeNumber(range.substr(0, dots), "the first version"));
  const TreeVersion to(parseWholeNumber(range.substr(dots + 2), "the second version"));
  OperatorClient client(input);
  const FetchedTree before = fetchTree(client, from);
  const FetchedTree after = fetchTree(client, to);
  printEditsIn(input, before.tree, catalog::editsBetween(before.tree, after.tree));
  return ExitCode::Success;
}

ExitCode runDiff(const CommandInput& input) {
  const std::string range = input.options["version"].as<std::string>();
  if (!range.empty()) {
    return diffVersions(input, range);
  }
  const std::optional<SettingsTree> files = loadFiles(input);
  if (!files) {
    return ExitCode::Failure;
  }
  OperatorClient client(input);
  const FetchedTree current = fetchTree(client);
  printEditsIn(input, current.tree, editsOfFiles(current.tree, *files, input.options.count("prune") > 0));
  return ExitCode::Success;
}

ExitCode runRollback(const CommandInput& input) {
  const TreeVersion target(parseWholeNumber(positionals(input).front(), "the version"));
  OperatorClient client(input);
  const FetchedTree current = fetchTree(client);
  const FetchedTree wanted = fetchTree(client, target);
  const TreeEdits edits = catalog::editsBetween(current.tree, wanted.tree);
  if (edits.empty()) {
    printOutcome(input, current.version, edits,
                 "Nothing to change: version " + std::to_string(current.version.value) + " equals version " +
                     std::to_string(target.value) + ".");
    return ExitCode::Success;
  }
  ChangeDescription description = describeChange(input);
  if (description.message.empty()) {
    description.message = "Roll back to version " + std::to_string(target.value);
  }
  const TreeVersion accepted = submitChange(client, description, current.version, edits);
  printOutcome(input, accepted, edits,
               "Accepted as version " + std::to_string(accepted.value) + ", which equals version " +
                   std::to_string(target.value) + ": " + countText(edits) + ".");
  return ExitCode::Success;
}

constexpr CommandDefinition kCommands[] = {
    {"apply", CommandKind::Operator, "", "Make the settings tree what files say",
     "ferryrock apply -f settings/ --prune -m \"More replicas for the summer\"", 0, 0, declareApply,
     runApply},
    {"diff", CommandKind::Operator, "", "Show how files or two versions differ",
     "ferryrock diff -f settings/ --prune", 0, 0, declareDiff, runDiff},
    {"rollback", CommandKind::Operator, "VERSION", "Make an earlier version the newest again",
     "ferryrock rollback 41 -m \"The new limits were too low\"", 1, 1, declareChangeOptions, runRollback},
};

}  // namespace

std::span<const CommandDefinition> changeCommands() {
  return kCommands;
}

}  // namespace ferryrock::cli
