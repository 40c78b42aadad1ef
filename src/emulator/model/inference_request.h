#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::emulator {

/// One connection that an answer is written to; numbered by the shell, never used again.
using ReaderId = Number<struct ReaderIdTag>;

/// Form of the answer's chunks.
enum class AnswerForm : std::uint8_t { Chat, Completion };

/// A well-formed inference request with its headers.
struct InferenceRequest {
  AttemptId attempt;
  RequestId request;
  IdempotencyKey key;
  ModelName model;  ///< model or adapter, as the body names it
  AnswerForm form = AnswerForm::Chat;
  std::string prompt;                      ///< last message or prompt; the generated text depends on it
  std::vector<std::string> prompt_tokens;  ///< words of all messages, each preceded by its role
  std::uint64_t max_tokens = 16;
  std::int32_t priority = 0;
  std::optional<Duration> deadline;  ///< time left
  std::optional<SlotId> slot;
  std::optional<Incarnation> incarnation;
  std::uint64_t from_chunk = 0;  ///< above 0: continues an answer that another replica began
};
using InferenceRequestPtr = std::shared_ptr<const InferenceRequest>;

}  // namespace ferryrock::emulator
