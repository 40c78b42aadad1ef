#include "simulation/fault_kind.h"

namespace ferryrock::simulation {

std::string_view faultName(FaultKind kind) {
  static constexpr std::array<std::string_view, kFaultKinds> kNames = {"KillControl",
                                                                       "KillControlInWrite",
                                                                       "KillAllControl",
                                                                       "PauseControl",
                                                                       "CutControl",
                                                                       "CutOneWay",
                                                                       "LoseControlDisk",
                                                                       "KillRouter",
                                                                       "PauseRouter",
                                                                       "CutRouterFromControl",
                                                                       "KillEngine",
                                                                       "KillEngineInLoad",
                                                                       "CutEngineFromControl",
                                                                       "CutEngineFromRouters",
                                                                       "StallEngine",
                                                                       "CutStreams",
                                                                       "CrossAnswers",
                                                                       "DoubleChunks",
                                                                       "RefuseRequests",
                                                                       "SlowWeightStore",
                                                                       "StopWeightStore",
                                                                       "ReclaimMachine",
                                                                       "LoseZone",
                                                                       "DrainEngine",
                                                                       "RaceOfOperators",
                                                                       "LostAnswer",
                                                                       "CallerLeaves",
                                                                       "ClockDrift"};
  return kNames.at(static_cast<std::size_t>(kind));
}

}  // namespace ferryrock::simulation
