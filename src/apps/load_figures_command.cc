#include <iostream>
#include <string>

#include "common/error.h"
#include "common/quantity.h"
#include "load_commands.h"
#include "load_evidence.h"

namespace ferryrock::load {

int figuresCommand(ArgumentList list) {
  cxxopts::Options options("ferryrock-load figures",
                           "Prints the figures of a run on a fleet, one comparable line each.");
  declareEvidenceOptions(options);
  options.add_options()("burst", "cold model whose burst is measured", cxxopts::value<std::string>())(
      "concurrency", "requests that one replica of it runs at once",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "action", "action of the fault log whose effect is measured: kill, stop, pause, cut",
      cxxopts::value<std::string>())("name", "beginning of the names of the processes that it befell",
                                     cxxopts::value<std::string>()->default_value(""))(
      "window", "length of what is compared before and after it",
      cxxopts::value<std::string>()->default_value("5s"))("help", "show this");
  const auto arguments = options.parse(list.count, list.values);
  if (arguments.count("help") > 0) {
    std::cout << options.help()
              << "\nExample:\n  ferryrock-load figures --records calls.jsonl --journals .fleet/data "
                 "--faults .fleet/faults.jsonl --action kill --name control\n";
    return 0;
  }
  const RunEvidence evidence = readEvidence(arguments);
  if (arguments.count("burst") > 0) {
    std::cout << formatBurst(burstFigures(evidence, arguments["burst"].as<std::string>(),
                                          arguments["concurrency"].as<std::uint32_t>()));
  }
  if (arguments.count("action") > 0) {
    const Duration window = parseDuration(arguments["window"].as<std::string>());
    std::cout << formatDisturbances(disturbanceFigures(evidence, arguments["action"].as<std::string>(),
                                                       arguments["name"].as<std::string>(),
                                                       toMilliseconds(window)));
  }
  return 0;
}

}  // namespace ferryrock::load
