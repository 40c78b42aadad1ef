#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// Readers of bytes that come from outside a process, fed with any bytes. A reader may refuse its input with
/// ferryrock::Error and nothing else; what it accepts must read the same once written again.
namespace ferryrock::fuzz {

/// A promise of a reader was broken.
class PromiseBroken : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

struct FuzzTarget {
  std::string_view name;  ///< also the folder of its corpus
  /// Throws anything but ferryrock::Error if a promise is broken. Returns true if the input was accepted.
  bool (*run)(std::string_view bytes);
  /// Inputs that are accepted, to begin mutations with.
  std::vector<std::string> (*seeds)();
};

std::span<const FuzzTarget> allTargets();
/// Throws std::out_of_range for an unknown name.
const FuzzTarget& findTarget(std::string_view name);

// The targets, by file.
bool runWireEnvelope(std::string_view bytes);
std::vector<std::string> wireEnvelopeSeeds();
bool runWireCommand(std::string_view bytes);
std::vector<std::string> wireCommandSeeds();
bool runStorageFrames(std::string_view bytes);
std::vector<std::string> storageFrameSeeds();
bool runStorageFolder(std::string_view bytes);
std::vector<std::string> storageFolderSeeds();
bool runSettingsText(std::string_view bytes);
std::vector<std::string> settingsTextSeeds();
bool runTreeFile(std::string_view bytes);
std::vector<std::string> treeFileSeeds();
bool runTreeJson(std::string_view bytes);
std::vector<std::string> treeJsonSeeds();
bool runOperatorJson(std::string_view bytes);
std::vector<std::string> operatorJsonSeeds();
bool runEngineJson(std::string_view bytes);
std::vector<std::string> engineJsonSeeds();
bool runEngineStream(std::string_view bytes);
std::vector<std::string> engineStreamSeeds();
bool runCallerRequest(std::string_view bytes);
std::vector<std::string> callerRequestSeeds();
bool runLoadAnswer(std::string_view bytes);
std::vector<std::string> loadAnswerSeeds();
bool runReplicaReport(std::string_view bytes);
std::vector<std::string> replicaReportSeeds();
bool runResponseHead(std::string_view bytes);
std::vector<std::string> responseHeadSeeds();

}  // namespace ferryrock::fuzz
