#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "emulator/model/generated_text.h"
#include "emulator/model/inference_request.h"
#include "emulator/model/prefix_cache.h"

namespace ferryrock::emulator {

enum class AttemptPhase : std::uint8_t { Waiting, Running, Finished, Ended };

/// One admitted attempt. Ended attempts (cancelled or failed) can't be resumed, finished ones can for a
/// while.
struct Attempt {
  explicit Attempt(InferenceRequestPtr admitted)
      : request(std::move(admitted)),
        text(request->model, request->prompt),
        next_chunk(request->from_chunk) {}

  InferenceRequestPtr request;
  GeneratedText text;
  SlotId slot;
  AttemptPhase phase = AttemptPhase::Waiting;
  std::uint64_t order = 0;         ///< arrival, for ties of priority
  std::uint64_t next_chunk = 0;    ///< the first one not yet generated
  std::uint64_t prefill_left = 0;  ///< cold prompt tokens to be processed before the first token
  std::vector<PrefixHash> blocks;  ///< of the prompt
  std::optional<ReaderId> reader;
  std::uint64_t sent_to_reader = 0;     ///< chunks on the reader's connection
  std::optional<TimePoint> run_before;  ///< a waiting attempt is dropped then
  TimePoint forget_at;                  ///< when cancelled for want of a reader, or no longer resumable
};
using AttemptPtr = std::shared_ptr<Attempt>;

}  // namespace ferryrock::emulator
