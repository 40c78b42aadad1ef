#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace ferryrock::simulation {

/// Faults that a run injects.
enum class FaultKind : std::uint8_t {
  KillControl,         ///< a control process dies, anywhere in its work, and comes back
  KillControlInWrite,  ///< it dies between two operations of its disk, tearing the last write
  KillAllControl,      ///< all control processes at once
  PauseControl,        ///< a control process stands still and goes on later
  CutControl,          ///< a control process is cut off in silence from everything
  CutOneWay,           ///< one direction between two processes
  LoseControlDisk,     ///< a member's disk is lost; a new identity takes its place
  KillRouter,
  PauseRouter,
  CutRouterFromControl,
  KillEngine,
  KillEngineInLoad,
  CutEngineFromControl,
  CutEngineFromRouters,
  StallEngine,
  CutStreams,
  CrossAnswers,
  DoubleChunks,
  RefuseRequests,
  SlowWeightStore,
  StopWeightStore,
  ReclaimMachine,   ///< leaves with little notice, comes back later
  LoseZone,         ///< every engine of a zone at once
  DrainEngine,      ///< by an operator
  RaceOfOperators,  ///< two changes from one version
  LostAnswer,       ///< an operator's answer is lost, the change is resent to another member
  CallerLeaves,
  ClockDrift,
  Count,
};

inline constexpr std::size_t kFaultKinds = static_cast<std::size_t>(FaultKind::Count);
using FaultCounts = std::array<std::uint64_t, kFaultKinds>;

/// The enumerator's name.
std::string_view faultName(FaultKind kind);

}  // namespace ferryrock::simulation
