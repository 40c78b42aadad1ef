#pragma once

#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "catalog/settings_tree.h"
#include "cli/command.h"
#include "common/error.h"

/// How results are shown: aligned columns for people, JSON for programs.
namespace ferryrock::cli {

enum class OutputFormat { Table, Json, Yaml };

/// Throws InvalidArgument for an unknown word after -o.
OutputFormat outputFormat(const CommandInput& input);

struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};
void printTable(const Table& table, std::ostream& out);

/// One row per object, one column per member, in the order of the first object that has it.
Table tableOfObjects(const nlohmann::ordered_json& objects);
/// A value as one cell of a table.
std::string cellText(const nlohmann::ordered_json& value);

/// An object for people: single values first, then one table per list of objects.
void printSections(const nlohmann::ordered_json& answer, std::ostream& out);

/// One line per fault: place, path, what is wrong, remedy.
void printFaults(const std::vector<catalog::TreeFault>& faults, std::ostream& err);
/// One sentence, or the object that the operators' interface would answer.
void printError(const Error& error, bool as_json, std::ostream& err);

}  // namespace ferryrock::cli
