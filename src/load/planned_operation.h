#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace ferryrock::load {

/// What one caller is going to do, and when; one line of a trace.
struct PlannedOperation {
  std::string operation;     ///< identifier, unique in one trace
  Duration at{};             ///< since the start of the run
  std::uint32_t router = 0;  ///< index of the caller's own router, modulo the number of routers
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 16;
  bool stream = false;
  bool chat = true;     ///< /v1/chat/completions, else /v1/completions
  std::string key;      ///< Idempotency-Key; empty: the request may be repeated
  std::string session;  ///< `user` member of the body; empty: none
  Duration timeout{};   ///< X-Request-Timeout-Ms
  std::optional<std::int32_t> priority;
  std::optional<Duration> leave_after;  ///< the caller hangs up that long after sending
  std::optional<Duration>
      resend_after;          ///< the key is sent to another router too, that long after the first call
  bool slow_reader = false;  ///< the caller reads its stream slowly
};

/// Writes a trace as JSON lines, whole or not at all. Throws Error UnreadableFile.
void writeTrace(const std::string& file, const std::vector<PlannedOperation>& operations);
/// Reads a trace and sorts it by time. Throws Error UnreadableFile or MalformedBody.
std::vector<PlannedOperation> readTrace(const std::string& file);

}  // namespace ferryrock::load
