#include "cli/output.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "catalog/tree_json.h"
#include "cli/operator_client.h"

namespace ferryrock::cli {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t kColumnGap = 2;

bool isTableOfObjects(const ordered_json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(), [](const ordered_json& item) { return item.is_object(); });
}

std::string upperCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::toupper(letter)); });
  return text;
}

void printRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths,
              std::ostream& out) {
  std::string line;
  for (std::size_t column = 0; column < cells.size(); ++column) {
    line += cells[column];
    if (column + 1 < cells.size()) {
      line.append(widths[column] - cells[column].size() + kColumnGap, ' ');
    }
  }
  out << line << "\n";
}

}  // namespace

OutputFormat outputFormat(const CommandInput& input) {
  const std::string word = input.options["output"].as<std::string>();
  if (word == "table") {
    return OutputFormat::Table;
  }
  if (word == "json") {
    return OutputFormat::Json;
  }
  if (word == "yaml") {
    return OutputFormat::Yaml;
  }
  throw Error(ResultCode::InvalidArgument,
              "--output is table or json (and yaml for get), not '" + word + "'");
}

void printTable(const Table& table, std::ostream& out) {
  std::vector<std::size_t> widths;
  for (const std::string& column : table.columns) {
    widths.push_back(column.size());
  }
  for (const auto& row : table.rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::vector<std::string> head;
  for (const std::string& column : table.columns) {
    head.push_back(upperCase(column));
  }
  printRow(head, widths, out);
  for (const auto& row : table.rows) {
    printRow(row, widths, out);
  }
}

std::string cellText(const ordered_json& value) {
  if (value.is_string()) {
    return value.get<std::string>().empty() ? "-" : value.get<std::string>();
  }
  if (value.is_array()) {
    std::string text;
    for (const ordered_json& item : value) {
      text += (text.empty() ? "" : ",") + cellText(item);
    }
    return text.empty() ? "-" : text;
  }
  return value.is_null() ? "-" : value.dump();
}

Table tableOfObjects(const ordered_json& objects) {
  Table table;
  for (const ordered_json& object : objects) {
    for (const auto& [key, value] : object.items()) {
      if (std::find(table.columns.begin(), table.columns.end(), key) == table.columns.end()) {
        table.columns.push_back(key);
      }
    }
  }
  for (const ordered_json& object : objects) {
    std::vector<std::string> row;
    for (const std::string& column : table.columns) {
      row.push_back(object.contains(column) ? cellText(object.at(column)) : "-");
    }
    table.rows.push_back(std::move(row));
  }
  return table;
}

void printSections(const ordered_json& answer, std::ostream& out) {
  for (const auto& [key, value] : answer.items()) {
    if (!isTableOfObjects(value)) {
      out << key << ": " << cellText(value) << "\n";
    }
  }
  for (const auto& [key, value] : answer.items()) {
    if (isTableOfObjects(value)) {
      out << "\n" << key << "\n";
      printTable(tableOfObjects(value), out);
    }
  }
}

void printFaults(const std::vector<catalog::TreeFault>& faults, std::ostream& err) {
  for (const catalog::TreeFault& fault : faults) {
    const ResultCodeInfo& info = resultCodeInfo(fault.code);
    err << (fault.source.empty() ? "" : fault.source + ": ") << (fault.path.empty() ? "" : fault.path + ": ")
        << static_cast<int>(fault.code) << " " << info.name << ": " << fault.detail << ". " << info.remedy
        << "\n";
  }
}

void printError(const Error& error, bool as_json, std::ostream& err) {
  const auto* refused = dynamic_cast<const RefusedError*>(&error);
  if (!as_json) {
    err << "ferryrock: " << error.what() << "\n";
    if (refused != nullptr) {
      printFaults(refused->faults(), err);
    }
    return;
  }
  nlohmann::json object = {{"code", static_cast<int>(error.code())},
                           {"name", std::string(resultCodeInfo(error.code()).name)},
                           {"message", error.detail()},
                           {"remedy", std::string(resultCodeInfo(error.code()).remedy)}};
  if (refused != nullptr && !refused->faults().empty()) {
    for (const catalog::TreeFault& fault : refused->faults()) {
      object["faults"].push_back(catalog::faultToJson(fault));
    }
  }
  err << object.dump(2) << "\n";
}

}  // namespace ferryrock::cli
