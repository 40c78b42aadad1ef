#include "catalog/tree_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <utility>

#include "catalog/settings_schema.h"
#include "common/settings_reader.h"

namespace ferryrock::catalog {
namespace {

/// Reads the nodes of one file and keeps each fault with its place.
class TreeParser {
 public:
  LoadedTree parse(const std::string& text, const std::string& file_name) {
    keepFaults("", file_name, [&] {
      SettingsReader file = SettingsReader::fromText(text, file_name);
      for (SettingsReader& node : file.sections("nodes")) {
        readNode(node);
      }
      file.finish();
    });
    return std::move(loaded_);
  }

 private:
  template <class Step>
  void keepFaults(const std::string& path, const std::string& source, Step step) {
    try {
      step();
    } catch (const Error& fault) {
      loaded_.faults.push_back(
          {fault.code(), path, fault.place().empty() ? source : fault.place(), fault.detail()});
    }
  }

  void readNode(SettingsReader& reader) {
    wire::TreeNode node;
    node.source = reader.place();
    keepFaults("", node.source, [&] { node.name = reader.text("name"); });
    keepFaults(node.name, node.source, [&] { node.kind = readKind(reader); });
    keepFaults(node.name, node.source, [&] { node.parent = reader.text("parent", ""); });
    keepFaults(node.name, node.source, [&] { readSettings(reader, node); });
    keepFaults(node.name, node.source, [&] { reader.finish(); });
    if (!node.name.empty()) {
      loaded_.nodes.push_back(std::move(node));
    }
  }

  static wire::NodeKind readKind(SettingsReader& reader) {
    const std::string word = reader.text("kind");
    const auto kind = parseNodeKind(word);
    if (!kind) {
      throw Error(ResultCode::SettingOutOfRange,
                  "'kind' is '" + word + "' and must be one of defaults, model, adapter, service",
                  reader.place("kind"));
    }
    return *kind;
  }

  void readSettings(SettingsReader& reader, wire::TreeNode& node) {
    SettingsReader settings = reader.section("settings");
    for (const std::string& key : settings.keys()) {
      keepFaults(node.name + "." + key, node.source,
                 [&] { node.settings.push_back(readSetting(settings, key)); });
    }
    std::sort(node.settings.begin(), node.settings.end(),
              [](const wire::Setting& left, const wire::Setting& right) { return left.key < right.key; });
  }

  static wire::Setting readSetting(SettingsReader& settings, const std::string& key) {
    const auto position = findSetting(key);
    if (!position) {
      throw Error(ResultCode::UnknownSetting, "the settings tree has no key '" + key + "'",
                  settings.place(key));
    }
    const SettingDefinition& definition = settingsSchema()[*position];
    const bool is_list = definition.type == SettingType::TextList;
    const std::string value = is_list ? joinList(settings.textList(key)) : settings.text(key);
    if (const auto fault = checkValue(definition, value)) {
      throw Error(fault->code, fault->detail, settings.place(key));
    }
    return {key, value};
  }

  LoadedTree loaded_;
};

std::string readFile(const std::filesystem::path& file) {
  std::ifstream input(file, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
  if (!input.is_open() || input.bad()) {
    throw Error(ResultCode::UnreadableFile, "'" + file.string() + "' can't be read", file.string());
  }
  return text;
}

std::vector<std::filesystem::path> treeFilesOf(const std::string& file_or_folder) {
  std::error_code fault;
  if (!std::filesystem::is_directory(file_or_folder, fault)) {
    return {file_or_folder};
  }
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(file_or_folder, fault)) {
    const std::string extension = entry.path().extension().string();
    if (extension == ".yaml" || extension == ".yml") {
      files.push_back(entry.path());
    }
  }
  if (fault || files.empty()) {
    throw Error(ResultCode::UnreadableFile, "'" + file_or_folder + "' holds no *.yaml file that can be read",
                file_or_folder);
  }
  std::sort(files.begin(), files.end());
  return files;
}

void addRepeatedNames(LoadedTree& loaded) {
  std::map<std::string, std::string> sources;
  for (const wire::TreeNode& node : loaded.nodes) {
    const auto [first, is_new] = sources.emplace(node.name, node.source);
    if (!is_new) {
      loaded.faults.push_back({ResultCode::InvalidTree, node.name, node.source,
                               "the name is given twice, first at " + first->second});
    }
  }
}

void formatNode(std::ostringstream& text, const wire::TreeNode& node) {
  text << "  - name: " << node.name << "\n    kind: " << nodeKindName(node.kind) << "\n";
  if (!node.parent.empty()) {
    text << "    parent: " << node.parent << "\n";
  }
  if (node.settings.empty()) {
    return;
  }
  text << "    settings:\n";
  for (const wire::Setting& setting : node.settings) {
    const auto position = findSetting(setting.key);
    const bool is_list = position && settingsSchema()[*position].type == SettingType::TextList;
    text << "      " << setting.key << ": " << (is_list ? "[" + setting.value + "]" : setting.value) << "\n";
  }
}

}  // namespace

LoadedTree parseTree(const std::string& text, const std::string& file_name) {
  LoadedTree loaded = TreeParser().parse(text, file_name);
  addRepeatedNames(loaded);
  return loaded;
}

LoadedTree loadTree(const std::string& file_or_folder) {
  LoadedTree whole;
  for (const std::filesystem::path& file : treeFilesOf(file_or_folder)) {
    LoadedTree part = TreeParser().parse(readFile(file), file.string());
    std::move(part.nodes.begin(), part.nodes.end(), std::back_inserter(whole.nodes));
    std::move(part.faults.begin(), part.faults.end(), std::back_inserter(whole.faults));
  }
  addRepeatedNames(whole);
  return whole;
}

std::string formatTree(const SettingsTree& tree) {
  std::ostringstream text;
  text << "nodes:\n";
  for (const auto& [name, node] : tree.nodes()) {
    formatNode(text, node);
  }
  return text.str();
}

}  // namespace ferryrock::catalog
