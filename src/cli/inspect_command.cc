#include <cxxopts.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "cli/output.h"
#include "common/error.h"
#include "storage/folder_reader.h"
#include "storage/log_storage.h"

/// Subcommand that shows a control member's data folder while the member is stopped.
namespace ferryrock::cli {
namespace {

using nlohmann::ordered_json;

void declareInspect(cxxopts::Options& options) {
  options.add_options()("o,output", "table or json", cxxopts::value<std::string>()->default_value("table"),
                        "FORMAT");
}

ordered_json segmentObjects(const storage::FolderContents& contents) {
  ordered_json segments = ordered_json::array();
  for (const storage::SegmentContents& segment : contents.segments) {
    segments.push_back({{"segment", segment.name},
                        {"bytes", segment.bytes},
                        {"valid_bytes", segment.valid_bytes},
                        {"records", segment.frames},
                        {"entries", segment.entries},
                        {"highest_index", segment.highest_index.value}});
  }
  return segments;
}

ordered_json memberObjects(const wire::Membership& membership) {
  ordered_json members = ordered_json::array();
  for (const wire::Member& member : membership.members) {
    members.push_back({{"id", member.id.value},
                       {"node", member.node.value},
                       {"internal", member.address},
                       {"voter", member.voter}});
  }
  return members;
}

ordered_json describeSnapshot(const storage::SnapshotContents& contents) {
  return {{"snapshot", contents.name},
          {"snapshot_bytes", contents.bytes},
          {"snapshot_index", contents.snapshot.last_index.value},
          {"snapshot_term", contents.snapshot.last_term.value},
          {"members", memberObjects(contents.snapshot.membership)}};
}

/// The state is left out when reading ended before it was known.
ordered_json describe(const storage::FolderContents& contents) {
  ordered_json answer;
  if (contents.header) {
    answer["member"] = contents.header->member.value;
    answer["term"] = contents.hard_state.term.value;
    answer["voted_for"] = contents.hard_state.voted_for.value;
    answer["disk"] = contents.hard_state.disk.value;
    answer["entries"] = contents.entries.size();
  }
  if (!contents.entries.empty()) {
    answer["first_index"] = contents.entries.front().index.value;
    answer["last_index"] = contents.entries.back().index.value;
  }
  if (contents.snapshot) {
    answer.update(describeSnapshot(*contents.snapshot));
  }
  answer["segments"] = segmentObjects(contents);
  return answer;
}

void print(const CommandInput& input, const storage::FolderContents& contents) {
  if (outputFormat(input) == OutputFormat::Json) {
    input.environment.out << describe(contents).dump(2) << "\n";
  } else {
    printSections(describe(contents), input.environment.out);
  }
}

/// Shows what can be read, also of a damaged folder.
ExitCode runInspect(const CommandInput& input) {
  const std::string folder = positionals(input).front();
  if (!std::filesystem::is_directory(folder)) {
    throw Error(ResultCode::UnreadableFile, "there is no such folder", folder);
  }
  const auto files = storage::createPosixFileSystem(folder);
  storage::FolderContents contents;
  try {
    storage::readFolder(*files, contents);
  } catch (const Error&) {
    print(input, contents);
    throw;
  }
  print(input, contents);
  return ExitCode::Success;
}

constexpr CommandDefinition kCommands[] = {
    {"inspect", CommandKind::Local, "FOLDER", "Show the data folder of a stopped control member",
     "ferryrock inspect /var/lib/ferryrock/control-1", 1, 1, declareInspect, runInspect},
};

}  // namespace

std::span<const CommandDefinition> inspectCommands() {
  return kCommands;
}

}  // namespace ferryrock::cli
