#include "router/answer_assembler.h"

namespace ferryrock::router {
namespace {

constexpr std::size_t kLargestAnswerBytes = 16 << 20;

}  // namespace

ChunkVerdict AnswerAssembler::add(const StreamChunk& chunk) {
  if (chunk.number < next_chunk_) {
    return ChunkVerdict::Duplicate;
  }
  if (chunk.number > next_chunk_) {
    return ChunkVerdict::Gap;
  }
  if (text_.size() + chunk.text.size() > kLargestAnswerBytes) {
    return ChunkVerdict::TooLarge;
  }
  addUnchecked(chunk);
  return ChunkVerdict::Taken;
}

void AnswerAssembler::addUnchecked(const StreamChunk& chunk) {
  ++next_chunk_;
  text_ += chunk.text;
  if (!chunk.finish_reason.empty()) {
    finish_reason_ = chunk.finish_reason;
  }
}

EndVerdict AnswerAssembler::checkEnd(const StreamEnd& end) const {
  if (end.count > next_chunk_) {
    return EndVerdict::Gap;
  }
  return end.count < next_chunk_ ? EndVerdict::Contradiction : EndVerdict::Whole;
}

}  // namespace ferryrock::router
