#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/quantity.h"
#include "load/summary.h"
#include "load/time_series.h"
#include "load_commands.h"

namespace ferryrock::load {

using StringList = std::vector<std::string>;

int reportCommand(ArgumentList list) {
  cxxopts::Options options("ferryrock-load report",
                           "Prints counts and latencies of callers' records, and plots them.");
  options.add_options()("records", "file of callers' records; several times", cxxopts::value<StringList>())(
      "plot", "folder for a gnuplot script and its data: answers and latencies over time",
      cxxopts::value<std::string>())("faults", "fault log of tools/fleet, to mark failures in the plot",
                                     cxxopts::value<std::string>())(
      "interval", "of the plot", cxxopts::value<std::string>()->default_value("1s"))("help", "show this");
  const auto arguments = options.parse(list.count, list.values);
  if (arguments.count("help") > 0) {
    std::cout << options.help()
              << "\nExample:\n  ferryrock-load report --records calls.jsonl --faults .fleet/faults.jsonl "
                 "--plot plot "
                 "&& (cd plot && gnuplot plot.gp)\n";
    return 0;
  }
  if (arguments.count("records") == 0) {
    throw Error(ResultCode::InvalidArgument, "--records is missing");
  }
  std::vector<CallRecord> records;
  for (const std::string& file : arguments["records"].as<StringList>()) {
    const std::vector<CallRecord> some = readCallRecords(file);
    records.insert(records.end(), some.begin(), some.end());
  }
  std::cout << formatSummary(records);
  if (arguments.count("plot") > 0) {
    const FaultHistory faults = arguments.count("faults") > 0
                                    ? FaultHistory::fromFile(arguments["faults"].as<std::string>())
                                    : FaultHistory();
    const Duration interval = parseDuration(arguments["interval"].as<std::string>());
    writePlot(arguments["plot"].as<std::string>(), records, faults, toMilliseconds(interval));
  }
  return 0;
}

}  // namespace ferryrock::load
