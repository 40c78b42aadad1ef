#pragma once

#include <cstdint>
#include <string>

#include "router/router_node.h"

namespace ferryrock::router {

/// What became of a chunk.
enum class ChunkVerdict : std::uint8_t {
  Taken,      ///< the next one
  Duplicate,  ///< had before
  Gap,        ///< one before it is missing
  TooLarge,   ///< the answer grew beyond its bound
};

/// What the engine's end means for what was received.
enum class EndVerdict : std::uint8_t {
  Whole,
  Gap,            ///< chunks are missing
  Contradiction,  ///< more chunks were received than the answer has
};

/// Puts one answer together from numbered chunks, over all attempts. Used by one thread.
class AnswerAssembler {
 public:
  ChunkVerdict add(const StreamChunk& chunk);
  /// Takes a chunk whatever its number is; only for a deliberate defect in tests.
  void addUnchecked(const StreamChunk& chunk);
  EndVerdict checkEnd(const StreamEnd& end) const;

  std::uint64_t nextChunk() const { return next_chunk_; }
  const std::string& text() const { return text_; }
  const std::string& finishReason() const { return finish_reason_; }

 private:
  std::uint64_t next_chunk_ = 0;
  std::string text_;
  std::string finish_reason_;
};

}  // namespace ferryrock::router
