#pragma once

#include <optional>
#include <string>

#include "catalog/settings_tree.h"
#include "cli/operator_client.h"

/// Reads and changes the cell's settings tree.
namespace ferryrock::cli {

struct FetchedTree {
  TreeVersion version;
  catalog::SettingsTree tree;
};

/// The current tree, or that of a kept version.
FetchedTree fetchTree(OperatorClient& client, std::optional<TreeVersion> version = std::nullopt);

/// What the operator said about a change.
struct ChangeDescription {
  ChangeId change_id;
  std::string author;
  std::string message;
};
/// Adds --change-id, --author and --message.
void declareChangeOptions(cxxopts::Options& options);
/// The identifier is made where the operator gave none.
ChangeDescription describeChange(const CommandInput& input);

/// Sends the change, again with the same identifier while no answer comes; gives the accepted version.
TreeVersion submitChange(OperatorClient& client, const ChangeDescription& description, TreeVersion base,
                         const catalog::TreeEdits& edits);

/// One line per added, removed and changed node, and per changed setting below it.
void printEdits(const catalog::SettingsTree& before, const catalog::TreeEdits& edits, std::ostream& out);

}  // namespace ferryrock::cli
