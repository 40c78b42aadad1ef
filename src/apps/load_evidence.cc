#include "load_evidence.h"

#include <string>
#include <vector>

#include "common/error.h"

namespace ferryrock::load {

using StringList = std::vector<std::string>;

void declareEvidenceOptions(cxxopts::Options& options) {
  options.add_options()("records", "file of callers' records; several times", cxxopts::value<StringList>())(
      "journals", "folder of an engine, or of several engines' folders; several times",
      cxxopts::value<StringList>())("decisions", "decisions of control, JSON lines; several times",
                                    cxxopts::value<StringList>())("faults", "fault log of tools/fleet",
                                                                  cxxopts::value<std::string>());
}

RunEvidence readEvidence(const cxxopts::ParseResult& arguments) {
  const auto list = [&arguments](const std::string& name) {
    return arguments.count(name) == 0 ? StringList{} : arguments[name].as<StringList>();
  };
  RunEvidence evidence;
  if (list("records").empty()) {
    throw Error(ResultCode::InvalidArgument, "--records is missing");
  }
  for (const std::string& file : list("records")) {
    const std::vector<CallRecord> records = readCallRecords(file);
    evidence.calls.insert(evidence.calls.end(), records.begin(), records.end());
  }
  evidence.journals = readJournals(list("journals"));
  if (evidence.journals.empty()) {
    throw Error(ResultCode::InvalidArgument, "--journals names no folder that holds a journal.jsonl");
  }
  evidence.decisions = readDecisions(list("decisions"));
  if (arguments.count("faults") > 0) {
    evidence.faults = FaultHistory::fromFile(arguments["faults"].as<std::string>());
  }
  return evidence;
}

}  // namespace ferryrock::load
