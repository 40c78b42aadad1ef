#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "common/identifiers.h"
#include "common/result_code.h"
#include "emulator/model/inference_request.h"

/// A router's connection to an engine, as HTTP would carry it: in order, never doubled, cut by a death or a
/// cut link.
namespace ferryrock::simulation {

struct AdmittedEvent {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};
struct RefusedEvent {
  int status = 503;
  ResultCode code = ResultCode::EngineRefused;
  std::optional<bool> admitted = false;  ///< absent: the answer doesn't say
};
struct ChunkEvent {
  AttemptId attempt;  ///< that the engine wrote into the event; may be another connection's
  std::uint64_t number = 0;
  std::string text;
  bool last = false;
};
struct EndEvent {
  AttemptId attempt;
  std::uint64_t count = 0;
};
struct FailedEvent {};
/// The connection was cut; nothing follows.
struct ClosedEvent {};
/// The connection could not be opened; no byte of the request left.
struct UnopenedEvent {};

using ConnectionEvent =
    std::variant<AdmittedEvent, RefusedEvent, ChunkEvent, EndEvent, FailedEvent, ClosedEvent, UnopenedEvent>;

struct EngineConnection {
  std::uint64_t id = 0;
  std::string router;
  EngineName engine;
  emulator::ReaderId reader;
  bool closed = false;  ///< by either side; nothing is delivered any more
  /// Runs in the router's process.
  std::function<void(const ConnectionEvent&)> on_event;
};
using EngineConnectionPtr = std::shared_ptr<EngineConnection>;

}  // namespace ferryrock::simulation
