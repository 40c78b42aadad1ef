#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "router/router_node.h"

/// Reads the server-sent events of an engine's answer, see docs/ENGINE_PROTOCOL.md.
namespace ferryrock::router_process {

/// The engine states that the attempt failed on it.
struct EngineFault {
  std::string reason;
};

/// The bytes can't belong to this attempt's answer: another attempt's event, or one that can't be read.
struct ForeignEvent {
  std::string reason;
};

using EngineEvent = std::variant<router::StreamChunk, router::StreamEnd, EngineFault, ForeignEvent>;

/// Takes the bytes of one connection as they come. Used by one thread.
class EngineEventReader {
 public:
  explicit EngineEventReader(const AttemptId& attempt) : attempt_(attempt.value) {}

  void add(std::string_view bytes);
  /// The next whole event; nullopt until more bytes have come. Events without meaning here are skipped.
  std::optional<EngineEvent> next();

 private:
  std::optional<EngineEvent> readEvent(std::string_view event) const;

  std::string attempt_;
  std::string buffer_;
  std::size_t position_ = 0;  ///< of the first byte that wasn't read
};

}  // namespace ferryrock::router_process
