#include "fuzz_target.h"

#include <algorithm>
#include <array>
#include <string>

namespace ferryrock::fuzz {
namespace {

constexpr std::array kTargets{
    FuzzTarget{"wire_envelope", runWireEnvelope, wireEnvelopeSeeds},
    FuzzTarget{"wire_command", runWireCommand, wireCommandSeeds},
    FuzzTarget{"storage_frames", runStorageFrames, storageFrameSeeds},
    FuzzTarget{"storage_folder", runStorageFolder, storageFolderSeeds},
    FuzzTarget{"settings_text", runSettingsText, settingsTextSeeds},
    FuzzTarget{"tree_file", runTreeFile, treeFileSeeds},
    FuzzTarget{"tree_json", runTreeJson, treeJsonSeeds},
    FuzzTarget{"operator_json", runOperatorJson, operatorJsonSeeds},
    FuzzTarget{"engine_json", runEngineJson, engineJsonSeeds},
    FuzzTarget{"engine_stream", runEngineStream, engineStreamSeeds},
    FuzzTarget{"caller_request", runCallerRequest, callerRequestSeeds},
    FuzzTarget{"load_answer", runLoadAnswer, loadAnswerSeeds},
    FuzzTarget{"replica_report", runReplicaReport, replicaReportSeeds},
    FuzzTarget{"response_head", runResponseHead, responseHeadSeeds},
};

}  // namespace

std::span<const FuzzTarget> allTargets() {
  return kTargets;
}

const FuzzTarget& findTarget(std::string_view name) {
  const auto found = std::find_if(kTargets.begin(), kTargets.end(),
                                  [name](const FuzzTarget& target) { return target.name == name; });
  if (found == kTargets.end()) {
    throw std::out_of_range("there is no fuzz target " + std::string(name));
  }
  return *found;
}

}  // namespace ferryrock::fuzz
