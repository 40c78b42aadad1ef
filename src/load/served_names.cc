#include "load/served_names.h"

#include <yaml-cpp/yaml.h>

#include <filesystem>

#include "common/error.h"

namespace ferryrock::load {

namespace {

constexpr const char* kServiceKind = "service";

}  // namespace

ServedNames ServedNames::fromTree(const std::string& path) {
  ServedNames names;
  if (!std::filesystem::is_directory(path)) {
    names.addFile(path);
    return names;
  }
  for (const auto& entry : std::filesystem::recursive_directory_iterator(path)) {
    if (entry.path().extension() == ".yaml") {
      names.addFile(entry.path().string());
    }
  }
  return names;
}

std::string ServedNames::engineName(const std::string& addressed) const {
  std::string name = addressed;
  for (std::size_t step = 0; step <= nodes_.size(); ++step) {
    const auto node = nodes_.find(name);
    if (node == nodes_.end() || node->second.kind != kServiceKind) {
      return name;
    }
    name = node->second.parent;
  }
  return addressed;
}

void ServedNames::addFile(const std::string& file) {
  try {
    for (const YAML::Node& node : YAML::LoadFile(file)["nodes"]) {
      nodes_[node["name"].as<std::string>()] = {node["kind"].as<std::string>(),
                                                node["parent"].as<std::string>("")};
    }
  } catch (const YAML::BadFile& fault) {
    throw Error(ResultCode::UnreadableFile, fault.what(), file);
  } catch (const YAML::Exception& fault) {
    throw Error(ResultCode::MalformedBody, fault.what(), file);
  }
}

}  // namespace ferryrock::load
