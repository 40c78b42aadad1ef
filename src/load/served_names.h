#pragma once

#include <map>
#include <string>

namespace ferryrock::load {

/// Which model or adapter an engine runs for a name that callers address: the name itself, or for a service
/// the nearest model or adapter above it in the settings tree.
class ServedNames {
 public:
  ServedNames() = default;
  /// Reads the settings tree's files: a YAML file or a folder of them. Throws Error UnreadableFile or
  /// MalformedBody.
  static ServedNames fromTree(const std::string& path);

  /// A name that the tree doesn't hold is returned as it is.
  std::string engineName(const std::string& addressed) const;

 private:
  struct Node {
    std::string kind;
    std::string parent;
  };

  void addFile(const std::string& file);

  std::map<std::string, Node> nodes_;
};

}  // namespace ferryrock::load
