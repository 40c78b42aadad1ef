#pragma once

#include <string>
#include <vector>

#include "catalog/settings_tree.h"

/// Settings trees as YAML files. The only part of this folder that reads files; only command line programs
/// use it.
namespace ferryrock::catalog {

struct LoadedTree {
  std::vector<wire::TreeNode> nodes;
  std::vector<TreeFault>
      faults;  ///< shape, keys, values and names that are given twice; not the tree as a whole
};

/// Reads one file's text; file_name stands in the sources and faults.
LoadedTree parseTree(const std::string& text, const std::string& file_name);

/// Reads a file, or each *.yaml and *.yml of a folder in the order of their names. Collects faults instead of
/// throwing for each one; throws only UnreadableFile.
LoadedTree loadTree(const std::string& file_or_folder);

/// The nodes as text that parseTree() reads, in the order of their names.
std::string formatTree(const SettingsTree& tree);

}  // namespace ferryrock::catalog
