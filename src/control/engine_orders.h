#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/identifiers.h"
#include "placement/planner.h"
#include "wire/model_types.h"

/// What control asks of engines and of the platform's list, and what comes back. The shells carry these over
/// HTTP as docs/ENGINE_PROTOCOL.md says; the simulator carries them over its own network.
namespace ferryrock::control {

enum class OrderKind : std::uint8_t {
  Load,
  Unload,
  LoadAdapter,
  UnloadAdapter,
  Drain,
  Resume,
  Prefetch,
  SetRole
};
enum class EngineRole : std::uint8_t { Both, Prefill, Decode };

struct EngineOrder {
  wire::Fence fence;
  Incarnation incarnation;
  OrderKind kind = OrderKind::Load;
  SlotId slot;
  ModelName model;
  ModelVersion version;
  ModelName adapter;
  std::vector<std::uint32_t> accelerators;
  std::uint64_t bytes_per_accelerator = 0;  ///< weights and cache reserve, or the adapter's bytes
  std::uint64_t checkpoint_bytes = 0;       ///< to transfer
  placement::CheckpointTier prefetch_to = placement::CheckpointTier::Disk;
  EngineRole role = EngineRole::Both;
};

/// One slot as the engine holds it.
enum class HeldState : std::uint8_t { Loading, Ready, Draining, Unloading, Failed };

struct HeldSlot {
  SlotId slot;
  ModelName model;
  ModelVersion version;
  HeldState state = HeldState::Loading;
  std::vector<ModelName> adapters;  ///< ready ones
  std::uint32_t running = 0;
  placement::CheckpointTier loaded_from = placement::CheckpointTier::Remote;
  std::int64_t load_ms = 0;  ///< duration of the load once it ended
};

/// GET /control/state and the answer to a fence.
struct EngineState {
  EngineName engine;
  Incarnation incarnation;
  wire::Fence highest_fence;
  std::uint64_t state_version = 0;  ///< rises with each change; for the long poll
  MachineName machine;
  ZoneName zone;
  std::uint32_t accelerators = 0;
  std::uint64_t bytes_per_accelerator = 0;
  bool draining = false;
  std::vector<HeldSlot> slots;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::vector<ModelName> in_memory;
  std::vector<ModelName> on_disk;
};

/// Effect: raise the engine's fence and read back its state.
struct RaiseFenceEffect {
  EngineName engine;
  std::string url;
  wire::Fence fence;
};

/// Effect: send an order. The answer comes back through ControlNode::onEngineAnswer(). The controller
/// never has two orders or fences in flight towards one engine, so they can't overtake each other.
struct OrderEffect {
  EngineName engine;
  std::string url;
  EngineOrder order;
};

/// Effect: read the engine's state, waiting up to wait for a version above after_version.
struct PollEngineEffect {
  EngineName engine;
  std::string url;
  std::uint64_t after_version = 0;
  Duration wait{};
};

/// Which of the effects an answer belongs to.
enum class EngineCall : std::uint8_t { Poll, RaiseFence, Order };

/// How an order, a fence or a poll ended. Each effect gets exactly one answer, unless the process stops
/// first.
struct EngineAnswer {
  EngineName engine;
  bool reached = false;              ///< false: no answer, nothing is known
  ResultCode code = ResultCode::Ok;  ///< FenceTooLow, WrongIncarnation, MemoryWouldOvercommit, ...
  std::optional<EngineState> state;
  EngineCall call = EngineCall::Poll;
  wire::Fence fence;  ///< of the order or of the raised fence; copied from the effect
};

enum class MachineState : std::uint8_t { Live, Leaving, Gone };

/// One row of the platform's list.
struct MachineRecord {
  MachineName machine;
  EngineName engine;
  std::string url;  ///< of the engine on it
  ZoneName zone;
  MachineState state = MachineState::Live;
  std::int64_t since_ms = 0;                 ///< how long the list has shown this state
  std::optional<std::int64_t> leaves_in_ms;  ///< for leaving machines, when known
};

struct MachineList {
  std::uint64_t version = 0;
  std::int64_t lag_ms = 0;  ///< the list's worst lag, as the platform states it
  std::vector<MachineRecord> machines;
};

}  // namespace ferryrock::control
